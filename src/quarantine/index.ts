export * from './Evidence.js'

export * from './Evidence.js'
export * from './PartQuarantine.js'

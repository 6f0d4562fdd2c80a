export * from './documents.js'
export * from './ConfigurationReader.js'

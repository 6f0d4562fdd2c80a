export * from './RecordSource.js'
export * from './StreamFold.js'

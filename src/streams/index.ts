export * from './RecordSource.js'
export * from './StreamFold.js'
export * from './RecordWriter.js'

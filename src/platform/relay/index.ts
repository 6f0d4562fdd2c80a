export * from './RelayPart.js'

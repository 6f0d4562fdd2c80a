export * from './UsageRecord.js'
export * from './UsageSink.js'
export * from './UsageManager.js'
export * from './Ledger.js'

export * from './UsageWindows.js'
export * from './UsageCollector.js'
export * from './UsageJournal.js'
export * from './UsageReporter.js'

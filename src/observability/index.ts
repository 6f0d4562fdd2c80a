export * from './HybridClock.js'
export * from './Timeline.js'
export * from './EventLog.js'
export * from './Metrics.js'

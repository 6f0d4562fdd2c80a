export * from './Trace.js'
export * from './TraceGenerator.js'
export * from './ReplayReport.js'
export * from './ReplayRunner.js'

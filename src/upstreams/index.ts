export * from './LoadReport.js'
export * from './Upstream.js'
export * from './UpstreamWork.js'
export * from './UpstreamManager.js'

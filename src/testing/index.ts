export * from './ProcessGroup.js'
export * from './StartedProcess.js'
export * from './Deployment.js'

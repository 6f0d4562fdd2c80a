export * from './ProcessGroup.js'
export * from './StartedProcess.js'

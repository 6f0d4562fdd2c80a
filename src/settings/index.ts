export * from './loadSettings.js'
export * from './HostSettings.js'

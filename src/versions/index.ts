export * from './VersionExchange.js'
export * from './StreamVersions.js'

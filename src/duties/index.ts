export * from './DutyPlatform.js'
export * from './HostReport.js'

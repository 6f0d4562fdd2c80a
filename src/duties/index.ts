export * from './DutyPlatform.js'
export * from './HostReport.js'
export * from './HostReporter.js'
export * from './HostReportBoard.js'

export * from './ClientIntake.js'
export * from './intakeLimits.js'
export * from './RequestIntake.js'
export * from './sendBody.js'

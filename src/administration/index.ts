export * from './reports.js'
export * from './AdministrationOptions.js'
export { administrationApplication } from './administrationApplication.js'
export { changeIdHeader } from './settingsRoutes.js'

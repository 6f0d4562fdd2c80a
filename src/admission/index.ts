export * from './AdmissionManager.js'

export * from './Admission.js'
export * from './AdmissionManager.js'
export * from './TokenBucket.js'

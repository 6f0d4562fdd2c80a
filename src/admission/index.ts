export * from './AdmissionManager.js'
export * from './TokenBucket.js'

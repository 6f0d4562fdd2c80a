export * from './leaseRecords.js'
export * from './LeaseProjection.js'
export * from './LeaseManager.js'
export * from './GroupLease.js'

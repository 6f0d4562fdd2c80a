export * from './leaseRecords.js'
export * from './LeaseFold.js'
export * from './LeaseManager.js'
export * from './GroupLease.js'

export * from './PermitQueue.js'
export * from './RequestPermits.js'
export * from './SharingHosts.js'

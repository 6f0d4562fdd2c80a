export * from './ServerLoad.js'
export * from './UsualLatencies.js'
export * from './WorkerCapacity.js'
export * from './CapacityChanges.js'

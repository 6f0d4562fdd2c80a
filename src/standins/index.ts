export * from './Fault.js'
export * from './HostListStandIn.js'
export * from './LogStandIn.js'
export * from './StandIn.js'

export * from './LogClient.js'
export * from './HostListClient.js'
export * from './HttpClient.js'
export * from './InMemoryLogClient.js'

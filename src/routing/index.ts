export * from './RoutingPolicy.js'
export * from './RoundRobinPolicy.js'
export * from './PromptTokenizer.js'

export * from './IssuerClient.js'
export * from './IdempotencyManager.js'
export type { OnceOutcome } from './OutcomeTable.js'
export * from './PeerIssuerClient.js'

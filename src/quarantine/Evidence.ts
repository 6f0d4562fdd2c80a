/**
 * Evidence that a part of prompts crashes the workers that answer prompts with it, and the exchange of evidence between
 * hosts. Each host sees only a few requests with a part, so that only the evidence of all hosts identifies it.
 */
import type { WorkerId } from '../common/index.js'

/** The loss of a worker shortly after it began to answer prompts with a part, or before it began. */
export interface WorkerLoss {
  worker: WorkerId
  /** Unix time in milliseconds, by the clock of the host that reported the loss first. */
  at: number
  /** Names of the last parts of the affected prompts, which tell prompts apart. */
  prompts: string[]
}

/** All that is known against one part. Without losses, the part is known to be harmless. */
export interface PartEvidence {
  /** Name of the part, with its model. */
  part: string
  losses: WorkerLoss[]
}

/** Passes evidence to all hosts. */
export abstract class EvidenceExchange {
  /**
   * Sends evidence to all hosts. For each part it replaces what was published before. Returns at once; failed calls are
   * repeated for a limited time.
   */
  abstract publish (evidence: readonly PartEvidence[]): void
}

/** Receives the evidence of all hosts, in the order in which it was published. */
export interface EvidenceReceiver {
  /** Adds evidence of a host, which may be this one. */
  receive: (evidence: readonly PartEvidence[]) => void
  /**
   * Takes all evidence of an exchange that came back from an older copy. What was published since that copy is missing
   * from it, and what was deleted since then is back.
   */
  restore: (evidence: readonly PartEvidence[]) => void
}

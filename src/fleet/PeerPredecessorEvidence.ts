/**
 * Evidence from other hosts that a former lease holder can no longer send an order to an engine.
 */
import type { Result } from 'true-myth'
import type { Failure, WorkerId } from '../common/index.js'
import { type EvidenceKind, type PossibleSender, PredecessorEvidence } from '../orders/index.js'

/** What a former holder says about one engine. */
export interface FormerHolderStatus {
  knowsLeaseIsOver: boolean
  orderInFlight: boolean
}

/** What the evidence is drawn from. */
export interface EvidenceSources {
  /** Asks the very start of the host that held the lease. */
  askStatus: (sender: PossibleSender, engine: WorkerId) => Promise<Result<FormerHolderStatus, Failure>>
  /** What the membership view says about that start of the host. */
  stateOf: (sender: PossibleSender) => 'present' | 'replaced' | 'left_list' | 'unknown'
}

/** Asks the host first, since its own answer is the strongest evidence. */
export class PeerPredecessorEvidence extends PredecessorEvidence {
  constructor (private readonly sources: EvidenceSources) {
    super()
  }

  async find (sender: PossibleSender, engine: WorkerId): Promise<EvidenceKind | undefined> {
    const state = this.sources.stateOf(sender)
    if (state === 'replaced') return 'new_incarnation'
    if (state === 'left_list') return 'left_list'
    const answered = await this.sources.askStatus(sender, engine)
    if (answered.isErr) return answered.error.kind === 'wrong_incarnation' ? 'new_incarnation' : undefined
    const { knowsLeaseIsOver, orderInFlight } = answered.value
    return knowsLeaseIsOver && !orderInFlight ? 'lease_status' : undefined
  }
}

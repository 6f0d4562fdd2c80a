/**
 * Finds evidence, from the membership view and from the former lease holder itself, that the former holder can no longer
 * send an order to an engine.
 */
import type { Result } from 'true-myth'
import type { Failure, WorkerId } from '../common/index.js'
import { type EvidenceKind, type PossibleSender, PredecessorEvidence } from '../orders/index.js'

/** What a former lease holder reports about its lease and its orders to one engine. */
export interface FormerHolderStatus {
  knowsLeaseIsOver: boolean
  orderInFlight: boolean
}

/** Sources of the evidence. */
export interface EvidenceSources {
  /**
   * Asks the incarnation of the host that held the lease. Error `wrong_incarnation`: another incarnation of the host
   * answered.
   */
  requestLeaseStatus: (sender: PossibleSender, engine: WorkerId) => Promise<Result<FormerHolderStatus, Failure>>
  /** State of that incarnation in the membership view. */
  senderState: (sender: PossibleSender) => 'present' | 'replaced' | 'left_list' | 'unknown'
}

/** Checks the membership view and asks the former holder only if the view is not conclusive. */
export class PeerPredecessorEvidence extends PredecessorEvidence {
  constructor (private readonly sources: EvidenceSources) {
    super()
  }

  async find (sender: PossibleSender, engine: WorkerId): Promise<EvidenceKind | undefined> {
    const state = this.sources.senderState(sender)
    if (state === 'replaced') return 'new_incarnation'
    if (state === 'left_list') return 'left_list'
    const status = await this.sources.requestLeaseStatus(sender, engine)
    if (status.isErr) return status.error.kind === 'wrong_incarnation' ? 'new_incarnation' : undefined
    const { knowsLeaseIsOver, orderInFlight } = status.value
    return knowsLeaseIsOver && !orderInFlight ? 'lease_status' : undefined
  }
}

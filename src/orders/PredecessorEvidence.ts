/**
 * Evidence that a former holder of a lease can no longer send orders to an engine (design section 4.3). It is
 * needed only for engines that ignore fencing numbers. An operator's confirmation is not looked up here: it is a
 * record, which the projection applies.
 */
import type { WorkerId } from '../common/index.js'
import type { PossibleSender } from './orderRecords.js'

/** The kinds of evidence that a former holder can no longer send orders. */
export type EvidenceKind =
  /** The former holder answered that its lease is over and that it has no order in flight. */
  | 'lease_status'
  /** Another incarnation responds at the host's address. */
  | 'new_incarnation'
  /** The host is no longer on the platform's host list. */
  | 'left_list'

/** Looks for evidence that a former holder of a lease can no longer send orders to an engine. */
export abstract class PredecessorEvidence {
  /** Returns evidence that is available at the time of the call; undefined if there is none. Does not throw. */
  abstract find (sender: PossibleSender, engine: WorkerId): Promise<EvidenceKind | undefined>
}

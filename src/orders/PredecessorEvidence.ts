/**
 * Evidence that a former holder of a lease can no longer send orders to an engine (design section 4.3). It is
 * needed only for engines that ignore fencing numbers. An operator's confirmation is a record and comes
 * through the fold.
 */
import type { WorkerId } from '../common/index.js'
import type { PossibleSender } from './orderRecords.js'

/** How it is known that a former holder can no longer send. */
export type EvidenceKind =
  /** It answered that its lease is over and that no order is on its way. */
  | 'lease_status'
  /** Another start of the host answers at its address. */
  | 'new_incarnation'
  /** The host left the platform's list. */
  | 'left_list'

/** Finds evidence. */
export abstract class PredecessorEvidence {
  /** Looks for evidence now; undefined if there is none. Does not throw. */
  abstract find (sender: PossibleSender, engine: WorkerId): Promise<EvidenceKind | undefined>
}

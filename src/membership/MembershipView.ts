/**
 * A host's view of the other hosts of the deployment.
 */
import type { HostId, Incarnation } from '../common/index.js'
import type { ListedHost } from '../clients/index.js'
import type { RelayTree } from './RelayTree.js'

/**
 * State of a peer. `silent`: this host watches the peer and has heard nothing from it for `silenceMilliseconds`.
 * `leaving`: the host list says so, or the peer reported draining. `gone`: the peer was removed from the list, or
 * another incarnation or host replaced it.
 */
export type PeerState = 'live' | 'silent' | 'leaving' | 'gone'

/** The list entry and the current state of a peer. */
export interface Peer {
  host: ListedHost
  state: PeerState
}

/** A change of a peer's state. */
export interface MembershipChange {
  hostId: HostId
  incarnation: Incarnation
  /** The previous state; undefined for a new peer. */
  from: PeerState | undefined
  to: PeerState
  /** `replaced`: the host id or the address now belongs to another incarnation or host. */
  reason: 'list' | 'heartbeat' | 'replaced'
}

/** The hosts of the deployment as this host sees them. */
export interface MembershipView {
  /** This host. */
  self: ListedHost
  /** Version of the host list; undefined before the first read. */
  listVersion: number | undefined
  /** The other hosts, except those that are gone. */
  peers: ReadonlyMap<HostId, Peer>
  /** The relay tree of all hosts that are not leaving, this host included. */
  tree: RelayTree<ListedHost>
}

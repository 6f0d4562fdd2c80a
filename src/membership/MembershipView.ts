/**
 * What a host knows of the other hosts.
 */
import type { HostId, Incarnation } from '../common/index.js'
import type { ListedHost } from '../clients/index.js'
import type { RelayTree } from './RelayTree.js'

/**
 * State of a peer. `silent`: it is watched directly and did not answer for the time of silence. `leaving`:
 * the list or the peer itself says so. `gone`: it left the list, or another start took its place.
 */
export type PeerState = 'live' | 'silent' | 'leaving' | 'gone'

/** A peer as it is known now. */
export interface Peer {
  host: ListedHost
  state: PeerState
}

/** A peer's state changed. `replaced`: the same host id or address now belongs to another start. */
export interface MembershipChange {
  hostId: HostId
  incarnation: Incarnation
  /** Undefined: the peer is new. */
  from: PeerState | undefined
  to: PeerState
  reason: 'list' | 'heartbeat' | 'replaced'
}

/** The hosts of the deployment as this host sees them. */
export interface MembershipView {
  /** This host. */
  self: ListedHost
  /** Version of the host list; undefined before the first read. */
  listVersion: number | undefined
  /** The other hosts, without those that are gone. */
  peers: ReadonlyMap<HostId, Peer>
  /** The relay tree of this host and the peers that are not leaving. */
  tree: RelayTree<ListedHost>
}

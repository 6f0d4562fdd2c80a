/**
 * The peers of a host, derived from two kinds of evidence: the platform's host list, which lags, and heartbeats, which
 * are direct but reach only the neighbours in the relay tree. This class contains the rules for combining the two; it
 * does no input or output.
 */
import type { Clock, HostId, Incarnation } from '../common/index.js'
import type { PeerIdentity } from '../peers/index.js'
import type { HostList, ListedHost } from '../clients/index.js'
import type { MembershipChange, Peer, PeerState } from './MembershipView.js'

/** Options of a `PeerTable`. */
export interface PeerTableOptions {
  self: PeerIdentity
  clock: Clock
  /** Time without a heartbeat or heartbeat response after which a watched peer is silent, in milliseconds. */
  silenceMilliseconds: number
  /** Called with each change, after the table contains it. */
  onChange: (change: MembershipChange) => void
}

interface PeerRecord extends Peer {
  /** Number of consecutive reads of the list that lacked the peer. */
  missingReads: number
  /** True if the peer reported draining in its last heartbeat response. */
  isDraining: boolean
  /** True while this host sends heartbeats to the peer, or expects heartbeats from it because the peer has sent one. */
  isWatched: boolean
  /** Monotonic time in milliseconds of the last direct evidence, of the last change of `isWatched`, or of the addition. */
  lastHeardAt: number
}

/** Maximum number of ended incarnations that are remembered; at 100 bytes each, they take 400 KB. */
const maxEndedIncarnations = 4096

/** Reads of the list that may lack a peer which still responds; a lagging list can omit an entry in one read. */
const toleratedMissingReads = 1

/** Combines the host list and direct contact into one state per peer. */
export class PeerTable {
  private readonly records = new Map<HostId, PeerRecord>()
  /** Ended incarnations, with the reason. An incarnation that was removed from the list can return; a replaced one cannot. */
  private readonly endedIncarnations = new Map<string, 'list' | 'replaced'>()
  private list: HostList | undefined

  constructor (private readonly options: PeerTableOptions) {}

  /** Version of the list that was applied last; undefined before the first read. */
  get listVersion (): number | undefined {
    return this.list?.version
  }

  /** The peers that are not gone. */
  get peers (): ReadonlyMap<HostId, Peer> {
    return this.records
  }

  /** True if the list that was applied last has an entry for the host id, of any incarnation. */
  isListed (hostId: HostId): boolean {
    return this.list?.hosts.some(host => host.hostId === hostId) ?? false
  }

  /** State of one incarnation of a host; undefined if the incarnation is not known. */
  stateOf ({ hostId, incarnation }: PeerIdentity): PeerState | undefined {
    const record = this.records.get(hostId)
    if (record?.host.incarnation === incarnation) return record.state
    return this.endedIncarnations.has(keyOf(hostId, incarnation)) ? 'gone' : undefined
  }

  /** Applies the result of one read of the list. */
  applyList (read: HostList | 'unchanged'): void {
    if (read !== 'unchanged') this.list = read
    const listed = (this.list?.hosts ?? []).filter(({ hostId }) => hostId !== this.options.self.hostId)
    for (const host of listed) this.applyEntry(host)
    const listedIds = new Set(listed.map(({ hostId }) => hostId))
    for (const record of [...this.records.values()]) {
      if (listedIds.has(record.host.hostId)) record.missingReads = 0
      else this.recordMissingRead(record)
    }
  }

  /** Starts or stops watching a peer. Only a watched peer becomes silent. */
  setWatched (hostId: HostId, isWatched: boolean): void {
    const record = this.records.get(hostId)
    if (record === undefined || record.isWatched === isWatched) return
    record.isWatched = isWatched
    record.lastHeardAt = this.options.clock.monotonic()
    this.updateState(record, 'heartbeat')
  }

  /** Records direct evidence that a peer is alive. Returns false if this incarnation of the host is not in the table. */
  recordContact ({ hostId, incarnation }: PeerIdentity, response?: { draining: boolean }): boolean {
    const record = this.records.get(hostId)
    if (record?.host.incarnation !== incarnation) return false
    record.lastHeardAt = this.options.clock.monotonic()
    if (response !== undefined) record.isDraining = response.draining
    this.updateState(record, 'heartbeat')
    return true
  }

  /**
   * Applies the error `wrong_incarnation`: another incarnation or host now responds at the address of a peer. The list
   * may not show the replacement yet.
   */
  replaceIncarnation (old: PeerIdentity, currentIdentity: PeerIdentity): void {
    const record = this.records.get(old.hostId)
    if (record === undefined || !isSameIncarnation(record.host, old) || isSameIncarnation(currentIdentity, old)) return
    this.removePeer(record, 'replaced')
    if (currentIdentity.hostId !== old.hostId) return
    this.addPeer({ ...record.host, incarnation: currentIdentity.incarnation, state: 'live' }, 'replaced')
  }

  /** Detects watched peers that have become silent. */
  checkSilence (): void {
    for (const record of this.records.values()) this.updateState(record, 'heartbeat')
  }

  private applyEntry (host: ListedHost): void {
    // The lagging list can still show an incarnation that a heartbeat has shown to be replaced.
    if (this.endedIncarnations.get(keyOf(host.hostId, host.incarnation)) === 'replaced') return
    const existing = this.records.get(host.hostId)
    if (existing !== undefined && isSameIncarnation(existing.host, host)) {
      existing.host = host
      this.updateState(existing, 'list')
      return
    }
    if (existing !== undefined) this.removePeer(existing, 'replaced')
    this.addPeer(host, 'list')
  }

  private recordMissingRead (record: PeerRecord): void {
    record.missingReads += 1
    const isResponding = record.isWatched && !this.isSilent(record)
    if (isResponding && record.missingReads <= toleratedMissingReads) return
    this.removePeer(record, 'list')
  }

  private addPeer (host: ListedHost, reason: MembershipChange['reason']): void {
    this.endedIncarnations.delete(keyOf(host.hostId, host.incarnation))
    const lastHeardAt = this.options.clock.monotonic()
    const state = host.state
    this.records.set(host.hostId, { host, state, missingReads: 0, isDraining: false, isWatched: false, lastHeardAt })
    this.options.onChange({ hostId: host.hostId, incarnation: host.incarnation, from: undefined, to: state, reason })
  }

  private removePeer (record: PeerRecord, reason: 'list' | 'replaced'): void {
    const { hostId, incarnation } = record.host
    this.records.delete(hostId)
    this.endedIncarnations.set(keyOf(hostId, incarnation), reason)
    const oldest = this.endedIncarnations.keys().next()
    if (this.endedIncarnations.size > maxEndedIncarnations && oldest.done !== true) this.endedIncarnations.delete(oldest.value)
    this.options.onChange({ hostId, incarnation, from: record.state, to: 'gone', reason })
  }

  private updateState (record: PeerRecord, reason: MembershipChange['reason']): void {
    const from = record.state
    const to = this.stateFor(record)
    if (from === to) return
    record.state = to
    this.options.onChange({ hostId: record.host.hostId, incarnation: record.host.incarnation, from, to, reason })
  }

  private stateFor (record: PeerRecord): PeerState {
    if (record.host.state === 'leaving' || record.isDraining) return 'leaving'
    return this.isSilent(record) ? 'silent' : 'live'
  }

  private isSilent (record: PeerRecord): boolean {
    if (!record.isWatched) return false
    return this.options.clock.monotonic() - record.lastHeardAt >= this.options.silenceMilliseconds
  }
}

function keyOf (hostId: HostId, incarnation: Incarnation): string {
  return `${hostId}/${incarnation}`
}

function isSameIncarnation (left: PeerIdentity, right: PeerIdentity): boolean {
  return left.hostId === right.hostId && left.incarnation === right.incarnation
}

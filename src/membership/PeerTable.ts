/**
 * The peers of a host, from two kinds of evidence: the platform's list, which lags, and heartbeats, which
 * are direct but reach only the neighbours in the relay tree. This class holds the rules by which the two
 * are combined; it does no input or output.
 */
import type { Clock, HostId, Incarnation } from '../common/index.js'
import type { PeerIdentity } from '../peers/index.js'
import type { HostList, ListedHost } from '../clients/index.js'
import type { MembershipChange, Peer, PeerState } from './MembershipView.js'

/** Options of a `PeerTable`. */
export interface PeerTableOptions {
  self: PeerIdentity
  clock: Clock
  /** A watched peer that is not heard for this long is silent. */
  silenceMilliseconds: number
  /** Called after each change, when the table already has it. */
  onChange: (change: MembershipChange) => void
}

interface PeerRecord extends Peer {
  /** Reads of the list in a row that lacked the peer. */
  missingReads: number
  /** The peer said in a heartbeat that it drains. */
  isDraining: boolean
  /** True while this host sends heartbeats to the peer, or expects them from it since it sent some. */
  isWatched: boolean
  /** Monotonic time of the last direct evidence, or of the start of the watch. */
  heardAt: number
}

/** Identities of ended starts that are remembered; at 100 bytes each this is 400 KB. */
const maxEnded = 4096

/** A peer that the list lacks is kept for this many reads while it answers heartbeats; a lagging list can lose one for a read. */
const toleratedMissingReads = 1

/** The table of peers. */
export class PeerTable {
  private readonly records = new Map<HostId, PeerRecord>()
  /** Starts that are over, with the reason. A start that left the list can come back; a replaced one cannot. */
  private readonly ended = new Map<string, 'list' | 'replaced'>()
  private list: HostList | undefined

  constructor (private readonly options: PeerTableOptions) {}

  /** Version of the list that was applied last. */
  get listVersion (): number | undefined {
    return this.list?.version
  }

  /** The peers that are not gone. */
  get peers (): ReadonlyMap<HostId, Peer> {
    return this.records
  }

  /** True if the list that was applied last has an entry for the host id, of whatever start. */
  lists (hostId: HostId): boolean {
    return this.list?.hosts.some(host => host.hostId === hostId) ?? false
  }

  /** State of a start of a host; undefined if nothing is known of it. */
  stateOf ({ hostId, incarnation }: PeerIdentity): PeerState | undefined {
    const record = this.records.get(hostId)
    if (record?.host.incarnation === incarnation) return record.state
    return this.ended.has(keyOf(hostId, incarnation)) ? 'gone' : undefined
  }

  /** Takes the answer of one read of the list. */
  applyList (read: HostList | 'unchanged'): void {
    if (read !== 'unchanged') this.list = read
    const listed = (this.list?.hosts ?? []).filter(({ hostId }) => hostId !== this.options.self.hostId)
    for (const host of listed) this.applyEntry(host)
    const listedIds = new Set(listed.map(({ hostId }) => hostId))
    for (const record of [...this.records.values()]) {
      if (listedIds.has(record.host.hostId)) record.missingReads = 0
      else this.miss(record)
    }
  }

  /** Starts or stops to judge a peer by the time of its last answer or call. */
  watch (hostId: HostId, isWatched: boolean): void {
    const record = this.records.get(hostId)
    if (record === undefined || record.isWatched === isWatched) return
    record.isWatched = isWatched
    record.heardAt = this.options.clock.monotonic()
    this.evaluate(record, 'heartbeat')
  }

  /** Takes direct evidence that a peer is alive. Returns false if this start of the host is not in the table. */
  hear ({ hostId, incarnation }: PeerIdentity, answer?: { draining: boolean }): boolean {
    const record = this.records.get(hostId)
    if (record?.host.incarnation !== incarnation) return false
    record.heardAt = this.options.clock.monotonic()
    if (answer !== undefined) record.isDraining = answer.draining
    this.evaluate(record, 'heartbeat')
    return true
  }

  /** Takes the answer `wrong_incarnation`: another start has the address of a peer. The list may not know it yet. */
  replace (old: PeerIdentity, present: PeerIdentity): void {
    const record = this.records.get(old.hostId)
    if (record === undefined || !isSame(record.host, old) || isSame(present, old)) return
    this.end(record, 'replaced')
    if (present.hostId !== old.hostId) return
    this.join({ ...record.host, incarnation: present.incarnation, state: 'live' }, 'replaced')
  }

  /** Finds watched peers that have become silent. */
  checkSilence (): void {
    for (const record of this.records.values()) this.evaluate(record, 'heartbeat')
  }

  private applyEntry (host: ListedHost): void {
    // The list can still show a start that was seen to be replaced.
    if (this.ended.get(keyOf(host.hostId, host.incarnation)) === 'replaced') return
    const known = this.records.get(host.hostId)
    if (known !== undefined && isSame(known.host, host)) {
      known.host = host
      this.evaluate(known, 'list')
      return
    }
    if (known !== undefined) this.end(known, 'replaced')
    this.join(host, 'list')
  }

  private miss (record: PeerRecord): void {
    record.missingReads += 1
    const isHeard = record.isWatched && !this.isSilent(record)
    if (isHeard && record.missingReads <= toleratedMissingReads) return
    this.end(record, 'list')
  }

  private join (host: ListedHost, reason: MembershipChange['reason']): void {
    this.ended.delete(keyOf(host.hostId, host.incarnation))
    const heardAt = this.options.clock.monotonic()
    const state = host.state
    this.records.set(host.hostId, { host, state, missingReads: 0, isDraining: false, isWatched: false, heardAt })
    this.options.onChange({ hostId: host.hostId, incarnation: host.incarnation, from: undefined, to: state, reason })
  }

  private end (record: PeerRecord, reason: 'list' | 'replaced'): void {
    const { hostId, incarnation } = record.host
    this.records.delete(hostId)
    this.ended.set(keyOf(hostId, incarnation), reason)
    const oldest = this.ended.keys().next()
    if (this.ended.size > maxEnded && oldest.done !== true) this.ended.delete(oldest.value)
    this.options.onChange({ hostId, incarnation, from: record.state, to: 'gone', reason })
  }

  private evaluate (record: PeerRecord, reason: MembershipChange['reason']): void {
    const from = record.state
    const to = this.judge(record)
    if (from === to) return
    record.state = to
    this.options.onChange({ hostId: record.host.hostId, incarnation: record.host.incarnation, from, to, reason })
  }

  private judge (record: PeerRecord): PeerState {
    if (record.host.state === 'leaving' || record.isDraining) return 'leaving'
    return this.isSilent(record) ? 'silent' : 'live'
  }

  private isSilent (record: PeerRecord): boolean {
    if (!record.isWatched) return false
    return this.options.clock.monotonic() - record.heardAt >= this.options.silenceMilliseconds
  }
}

function keyOf (hostId: HostId, incarnation: Incarnation): string {
  return `${hostId}/${incarnation}`
}

function isSame (left: PeerIdentity, right: PeerIdentity): boolean {
  return left.hostId === right.hostId && left.incarnation === right.incarnation
}

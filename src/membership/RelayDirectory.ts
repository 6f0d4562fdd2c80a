/**
 * Chooses where a host gets the records of the log's streams: its parent, the further ancestors, the log,
 * the first hosts of the other zones; a zone's first host starts at the log. Silent peers are passed over.
 *
 * So that no source holds a follower for good:
 * 1. A source that lacks the wanted offset for 3 s is left and tried last for the next 5 s.
 * 2. A source that fails or falls silent is tried last for the next 3 s.
 * 3. A host's ancestors and the log may be used without limit (the follower itself looks for a better one now
 *    and then). Any other source is left after 5 s: the first hosts of other zones take turns, and a host that
 *    is no longer an ancestor could itself come to follow this one, so that neither gets anything new.
 *
 * During an outage of the log, a zone's first host thus visits all other zones and collects the newest
 * state that any of them has, returns to the log within 5 s after the outage, and the hosts below it get
 * all of it through their parents.
 */
import type { Clock, HostId } from '../common/index.js'
import type { PeerTarget } from '../peers/index.js'
import type { ListedHost } from '../clients/index.js'
import { type RecordSource, SourceDirectory } from '../streams/RecordSource.js'
import type { MembershipView } from './MembershipView.js'
import { type LeaveReason, WatchedSource } from './WatchedSource.js'

/** Options of a `RelayDirectory`. */
export interface RelayDirectoryOptions {
  view: () => MembershipView
  /** The log itself. */
  log: RecordSource
  /** Makes the source for a peer. Its name has to be the peer's host id. */
  peerSource: (target: PeerTarget) => RecordSource
  clock: Clock
  /** Rule 1. Default 3000. */
  behindMilliseconds?: number
  /** Rule 3, and how long a source that was behind is tried last. Default 5000. */
  termMilliseconds?: number
}

/** How long a source that failed is tried last, in milliseconds. */
const failedMilliseconds = 3000

/** The sources of a host, by the relay tree. */
export class RelayDirectory extends SourceDirectory {
  /** Monotonic time until which a source is tried last, by its name. */
  private readonly avoidedUntil = new Map<string, number>()
  /** Monotonic time at which a first host of another zone was last left, by its name. */
  private readonly leftAt = new Map<string, number>()

  constructor (private readonly options: RelayDirectoryOptions) {
    super()
  }

  sources (): RecordSource[] {
    const names = this.order()
    const now = this.options.clock.monotonic()
    const isAvoided = (name: string): boolean => (this.avoidedUntil.get(name) ?? 0) > now
    return [...names.filter(name => !isAvoided(name)), ...names.filter(isAvoided)].flatMap(name => this.sourceOf(name) ?? [])
  }

  /** Names of the sources, without regard to what became of earlier uses except for the turns of other zones. */
  private order (): string[] {
    const { self, tree } = this.options.view()
    const ancestors = this.audible(tree.ancestorsOf(self))
    const others = this.audible(tree.firstsOfOtherZones(self))
      .sort((left, right) => (this.leftAt.get(left) ?? -1) - (this.leftAt.get(right) ?? -1))
    return [...ancestors, this.options.log.name, ...others]
  }

  private mayStay (name: string): boolean {
    const { self, tree } = this.options.view()
    return name === this.options.log.name || tree.ancestorsOf(self).some(({ hostId }) => hostId === name)
  }

  private audible (hosts: ListedHost[]): HostId[] {
    const { peers } = this.options.view()
    return hosts.map(({ hostId }) => hostId).filter(hostId => peers.get(hostId)?.state !== 'silent')
  }

  private sourceOf (name: string): RecordSource | undefined {
    const { log, clock, behindMilliseconds = 3000, termMilliseconds = 5000 } = this.options
    const source = name === log.name ? log : this.peerSourceOf(name)
    if (source === undefined) return undefined
    return new WatchedSource({
      source,
      clock,
      behindMilliseconds,
      termMilliseconds,
      mayStay: () => this.mayStay(name),
      onLeave: reason => this.takeLeave(name, reason, termMilliseconds)
    })
  }

  private peerSourceOf (hostId: string): RecordSource | undefined {
    const host = this.options.view().peers.get(hostId as HostId)?.host
    if (host === undefined) return undefined
    return this.options.peerSource({ hostId: host.hostId, incarnation: host.incarnation, address: host.addresses.peers })
  }

  private takeLeave (name: string, reason: LeaveReason, termMilliseconds: number): void {
    const now = this.options.clock.monotonic()
    this.leftAt.set(name, now)
    if (reason === 'failed') this.avoidedUntil.set(name, now + failedMilliseconds)
    if (reason === 'behind') this.avoidedUntil.set(name, now + termMilliseconds)
  }
}

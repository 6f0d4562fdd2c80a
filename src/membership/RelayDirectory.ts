/**
 * Lists the sources from which a host can receive the records of the log's streams, in order of preference: its parent,
 * its further ancestors, the log, and the first hosts of the other zones. A zone's first host has no ancestors and so
 * prefers the log. Silent peers are omitted.
 *
 * Three rules prevent a follower from staying forever at a source that has nothing new for it:
 * 1. A source that lacks the wanted offset for 3 s is abandoned and tried last for the next 5 s.
 * 2. A source that fails or falls silent is tried last for the next 3 s.
 * 3. A host may use its ancestors and the log without a time limit, because the follower periodically tries preferred
 *    sources. It abandons any other source after 5 s. The first hosts of other zones are used in turn, and a host that
 *    is no longer an ancestor could start to follow this host, in which case neither would receive anything new.
 *
 * With these rules, a zone's first host visits all other zones during an outage of the log and receives the newest
 * state of any of them. It returns to the log within 5 s after the outage. The hosts below it receive everything
 * through their parents.
 */
import type { Clock, HostId } from '../common/index.js'
import type { PeerTarget } from '../peers/index.js'
import type { ListedHost } from '../clients/index.js'
import { type RecordSource, SourceDirectory } from '../streams/RecordSource.js'
import type { MembershipView } from './MembershipView.js'
import { type AbandonReason, TimeLimitedSource } from './TimeLimitedSource.js'

/** Options of a `RelayDirectory`. */
export interface RelayDirectoryOptions {
  view: () => MembershipView
  /** The source that reads the log itself. */
  log: RecordSource
  /** Creates the source for a peer. Its name must be the peer's host id. */
  peerSource: (target: PeerTarget) => RecordSource
  clock: Clock
  /** Maximum time for which a source may be behind (rule 1), in milliseconds. Default: 3,000. */
  maxBehindMilliseconds?: number
  /**
   * Maximum use of a source with a time limit (rule 3). Also the time for which a source that was behind is tried last
   * (rule 1). In milliseconds. Default: 5,000.
   */
  maxUseMilliseconds?: number
}

/** How long a source that failed or fell silent is tried last, in milliseconds (rule 2). */
const failureDemotionMilliseconds = 3000

/** Lists the sources of a host according to the relay tree and the three rules. */
export class RelayDirectory extends SourceDirectory {
  /** Monotonic time in milliseconds until which a source is tried last, by source name. */
  private readonly demotedUntil = new Map<string, number>()
  /**
   * Monotonic time in milliseconds at which a source was last abandoned, by source name; orders the first hosts of other
   * zones.
   */
  private readonly lastAbandonedAt = new Map<string, number>()

  constructor (private readonly options: RelayDirectoryOptions) {
    super()
  }

  sources (): RecordSource[] {
    const names = this.sourceNames()
    const now = this.options.clock.monotonic()
    const isDemoted = (name: string): boolean => (this.demotedUntil.get(name) ?? 0) > now
    return [...names.filter(name => !isDemoted(name)), ...names.filter(isDemoted)].flatMap(name => this.sourceOf(name) ?? [])
  }

  /**
   * Names of the sources in order of preference, before demotion. The first hosts of other zones are ordered by the time
   * at which they were last abandoned.
   */
  private sourceNames (): string[] {
    const { self, tree } = this.options.view()
    const ancestors = this.withoutSilent(tree.ancestorsOf(self))
    const others = this.withoutSilent(tree.firstHostsOfOtherZones(self))
      .sort((left, right) => (this.lastAbandonedAt.get(left) ?? -1) - (this.lastAbandonedAt.get(right) ?? -1))
    return [...ancestors, this.options.log.name, ...others]
  }

  private isUnlimited (name: string): boolean {
    const { self, tree } = this.options.view()
    return name === this.options.log.name || tree.ancestorsOf(self).some(({ hostId }) => hostId === name)
  }

  private withoutSilent (hosts: ListedHost[]): HostId[] {
    const { peers } = this.options.view()
    return hosts.map(({ hostId }) => hostId).filter(hostId => peers.get(hostId)?.state !== 'silent')
  }

  private sourceOf (name: string): RecordSource | undefined {
    const { log, clock, maxBehindMilliseconds = 3000, maxUseMilliseconds = 5000 } = this.options
    const source = name === log.name ? log : this.peerSourceOf(name)
    if (source === undefined) return undefined
    return new TimeLimitedSource({
      source,
      clock,
      maxBehindMilliseconds,
      maxUseMilliseconds,
      isUnlimited: () => this.isUnlimited(name),
      onAbandon: reason => this.handleAbandon(name, reason, maxUseMilliseconds)
    })
  }

  private peerSourceOf (hostId: string): RecordSource | undefined {
    const host = this.options.view().peers.get(hostId as HostId)?.host
    if (host === undefined) return undefined
    return this.options.peerSource({ hostId: host.hostId, incarnation: host.incarnation, address: host.addresses.peers })
  }

  private handleAbandon (name: string, reason: AbandonReason, maxUseMilliseconds: number): void {
    const now = this.options.clock.monotonic()
    this.lastAbandonedAt.set(name, now)
    if (reason === 'failed') this.demotedUntil.set(name, now + failureDemotionMilliseconds)
    if (reason === 'behind') this.demotedUntil.set(name, now + maxUseMilliseconds)
  }
}

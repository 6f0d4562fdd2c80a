/**
 * Stand-ins for the platform's host list and for the calls to peers, in the memory of a test.
 */
import { Result } from 'true-myth'
import { type Failure, failure, type HostId, type Incarnation, type Region, type Zone } from '../common/index.js'
import type { HeartbeatAnswer, PeerCallOptions, PeerIdentity, PeerPool, PeerTarget } from '../peers/index.js'
import { type HostList, HostListClient, type ListedHost } from '../clients/index.js'

/** Makes an entry of the list. The digit tells incarnations apart. */
export function listedHost (hostId: string, zone = 'z', digit = '1', region = 'r'): ListedHost {
  return {
    hostId: hostId as HostId,
    incarnation: digit.repeat(16) as Incarnation,
    zone: zone as Zone,
    region: region as Region,
    addresses: { callers: [], administration: '127.0.0.1:1', peers: `${hostId}:1` },
    state: 'live'
  }
}

/** A host list whose content and availability the test sets. */
export class MemoryHostList extends HostListClient {
  private version = 1
  isAvailable = true
  hosts = new Map<HostId, ListedHost>()
  readonly registered: ListedHost[] = []
  readonly readVersions: Array<number | undefined> = []

  /** Replaces the list as readers see it. */
  show (...hosts: ListedHost[]): void {
    this.version += 1
    this.hosts = new Map(hosts.map(host => [host.hostId, host]))
  }

  async read (knownVersion?: number): Promise<Result<HostList | 'unchanged', Failure>> {
    this.readVersions.push(knownVersion)
    if (!this.isAvailable) return Result.err(failure('platform_unavailable', 'outage'))
    if (knownVersion === this.version) return Result.ok('unchanged')
    return Result.ok({ version: this.version, hosts: [...this.hosts.values()] })
  }

  async register (host: ListedHost): Promise<Result<void, Failure>> {
    if (!this.isAvailable) return Result.err(failure('platform_unavailable', 'outage'))
    this.registered.push(host)
    this.show(...[...this.hosts.values()].filter(({ hostId }) => hostId !== host.hostId), host)
    return Result.ok(undefined)
  }

  async remove ({ hostId }: Pick<ListedHost, 'hostId' | 'incarnation'>): Promise<Result<void, Failure>> {
    this.show(...[...this.hosts.values()].filter(host => host.hostId !== hostId))
    return Result.ok(undefined)
  }
}

/** Peers that answer heartbeats as the test says; those without an entry do not answer. */
export class MemoryPeers implements Pick<PeerPool, 'heartbeat' | 'release'> {
  readonly present = new Map<string, PeerIdentity & { draining?: boolean }>()
  readonly called: string[] = []
  readonly released: HostId[] = []

  async heartbeat (target: PeerTarget, _options?: PeerCallOptions): Promise<Result<HeartbeatAnswer, Failure>> {
    this.called.push(target.hostId)
    const answering = this.present.get(target.address)
    if (answering === undefined) return Result.err(failure('not_run', 'no connection'))
    const { hostId, incarnation, draining = false } = answering
    if (incarnation !== target.incarnation) {
      return Result.err(failure('wrong_incarnation', 'replaced', { hostId, incarnation }))
    }
    return Result.ok({ responder: { hostId, incarnation }, ready: true, draining })
  }

  release (hostId: HostId): void {
    this.released.push(hostId)
  }

  /** Makes hosts answer. */
  add (...hosts: ListedHost[]): void {
    for (const host of hosts) this.present.set(host.addresses.peers, host)
  }
}

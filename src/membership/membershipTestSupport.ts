/**
 * In-memory fakes of the platform's host list and of the heartbeat calls to peers.
 */
import { Result } from 'true-myth'
import { type Failure, failure, type HostId, type Incarnation, type Region, type Zone } from '../common/index.js'
import type { HeartbeatAnswer, PeerCallOptions, PeerIdentity, PeerPool, PeerTarget } from '../peers/index.js'
import { type HostList, HostListClient, type ListedHost } from '../clients/index.js'

/** Creates a list entry. Entries of the same host with different digits are different incarnations. */
export function listedHost (hostId: string, zone = 'z', incarnationDigit = '1', region = 'r'): ListedHost {
  return {
    hostId: hostId as HostId,
    incarnation: incarnationDigit.repeat(16) as Incarnation,
    zone: zone as Zone,
    region: region as Region,
    addresses: { callers: [], administration: '127.0.0.1:1', peers: `${hostId}:1` },
    state: 'live'
  }
}

/** A host list whose entries and availability the test sets. */
export class MemoryHostList extends HostListClient {
  private version = 1
  isAvailable = true
  hosts = new Map<HostId, ListedHost>()
  readonly registered: ListedHost[] = []
  readonly readVersions: Array<number | undefined> = []

  /** Replaces the entries that readers receive, under a new version. */
  setHosts (...hosts: ListedHost[]): void {
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
    this.setHosts(...[...this.hosts.values()].filter(({ hostId }) => hostId !== host.hostId), host)
    return Result.ok(undefined)
  }

  async remove ({ hostId }: Pick<ListedHost, 'hostId' | 'incarnation'>): Promise<Result<void, Failure>> {
    this.setHosts(...[...this.hosts.values()].filter(host => host.hostId !== hostId))
    return Result.ok(undefined)
  }
}

/** Answers heartbeats for the peers in `responders`; a heartbeat to any other address fails. */
export class MemoryPeers implements Pick<PeerPool, 'heartbeat' | 'release'> {
  /** Identity that responds at each peer address. */
  readonly responders = new Map<string, PeerIdentity & { draining?: boolean }>()
  /** Host ids of the heartbeats' targets, in call order. */
  readonly calledHostIds: string[] = []
  readonly releasedHostIds: HostId[] = []

  async heartbeat (target: PeerTarget, _options?: PeerCallOptions): Promise<Result<HeartbeatAnswer, Failure>> {
    this.calledHostIds.push(target.hostId)
    const responder = this.responders.get(target.address)
    if (responder === undefined) return Result.err(failure('not_run', 'no connection'))
    const { hostId, incarnation, draining = false } = responder
    if (incarnation !== target.incarnation) {
      return Result.err(failure('wrong_incarnation', 'replaced', { hostId, incarnation }))
    }
    return Result.ok({ responder: { hostId, incarnation }, ready: true, draining })
  }

  release (hostId: HostId): void {
    this.releasedHostIds.push(hostId)
  }

  /** Lets the hosts answer heartbeats at their addresses. */
  addResponders (...hosts: ListedHost[]): void {
    for (const host of hosts) this.responders.set(host.addresses.peers, host)
  }
}

/**
 * An entry host reduced to its control plane: peer server and peer pool, membership, and the followers of all
 * streams. Several such hosts run in one process and connect over loopback TCP.
 */
import { Result } from 'true-myth'
import { type Failure, type HostId, newIncarnation, type Region, SystemClock, type Zone } from '../src/common/index.js'
import { type HostHash, MembershipManager, RelayDirectory } from '../src/membership/index.js'
import { EventLog, HybridClock, Timeline } from '../src/observability/index.js'
import { type PeerIdentity, PeerPool, PeerRecordSource, PeerServer } from '../src/peers/index.js'
import { HttpHostListClient, type ListedHost, type LogClient, type StreamName, streamNameSchema } from '../src/clients/index.js'
import { hostSettingsSchema } from '../src/settings/index.js'
import { type ApplyOutcome, FollowerGroup, LogSource, StreamProjection } from '../src/streams/index.js'

/** Options of a `RelayHost`. */
export interface RelayHostOptions {
  hostId: string
  fanOut: number
  hash: HostHash
  /** The log, which the root of the zone's relay tree reads. */
  log: LogClient
  /** Origin of the host list. */
  hostListOrigin: string
  /** Called for each record that this host applies. */
  onRecord: () => void
}

/** A projection that accepts every record, reports it and keeps no state. */
class StatelessProjection extends StreamProjection {
  constructor (readonly stream: StreamName, private readonly onRecord: () => void) {
    super()
  }

  apply (): ApplyOutcome {
    this.onRecord()
    return { accepted: true }
  }

  snapshot (): unknown {
    return {}
  }

  restore (): Result<void, Failure> {
    return Result.ok(undefined)
  }
}

const clock = new SystemClock()

/**
 * Interval of a follower's search for a better source. All hosts first follow the log and switch to their parents at
 * the next search; with the default of 10 s, the switch would take most of a run.
 */
const betterSourceMilliseconds = 2000

/** An in-process host without a request path. */
export class RelayHost {
  private readonly followers: FollowerGroup
  private readonly peerPool: PeerPool
  private readonly hostListClient: HttpHostListClient
  private readonly observability: { events: EventLog, hybridClock: HybridClock }
  private server: PeerServer | undefined
  private membership: MembershipManager | undefined

  private constructor (private readonly options: RelayHostOptions, private readonly identity: PeerIdentity) {
    const hybridClock = new HybridClock(clock)
    const events = new EventLog({ timeline: new Timeline(identity.hostId, hybridClock), level: 'error' })
    this.observability = { events, hybridClock }
    this.peerPool = new PeerPool({ identity, ...this.observability })
    this.hostListClient = new HttpHostListClient(options.hostListOrigin)
    const directory = new RelayDirectory({
      view: () => this.startedMembership.view(),
      log: new LogSource({ log: options.log, clock }),
      peerSource: target => new PeerRecordSource(this.peerPool, target),
      clock
    })
    const projections = streamNameSchema.options.map(stream => new StatelessProjection(stream, options.onRecord))
    this.followers = new FollowerGroup({ projections, directory, log: options.log, clock, events, betterSourceMilliseconds })
  }

  /** Creates a host and starts its peer server, so that `hostListEntry` contains the port of that server. */
  static async listen (options: RelayHostOptions): Promise<RelayHost> {
    const host = new RelayHost(options, { hostId: options.hostId as HostId, incarnation: newIncarnation() })
    const started = await PeerServer.start({
      identity: host.identity,
      address: '127.0.0.1:0',
      ...host.observability,
      handlers: { follow: host.followers, heartbeat: (request, call) => host.startedMembership.answerHeartbeat(request, call) }
    })
    host.server = started.unwrapOrElse(failed => { throw new Error(failed.message) })
    return host
  }

  /** This host's entry in the host list. Only the address for peers is a real one. */
  get hostListEntry (): ListedHost {
    return {
      ...this.identity,
      zone: 'zone' as Zone,
      region: 'region' as Region,
      addresses: { callers: ['127.0.0.1:10000'], administration: '127.0.0.1:10001', peers: this.server?.address ?? '' },
      state: 'live'
    }
  }

  /** Number of ancestors of this host in the relay tree. */
  get depth (): number {
    return this.startedMembership.view().tree.ancestorsOf(this.hostListEntry).length
  }

  /** Starts membership and resolves when its view has the given number of peers. */
  async join (peerCount: number): Promise<void> {
    const { fanOut, hash } = this.options
    this.membership = new MembershipManager({
      self: this.hostListEntry,
      list: this.hostListClient,
      peerPool: this.peerPool,
      clock,
      events: this.observability.events,
      settings: { ...hostSettingsSchema.shape.membership.parse({}), fanOut },
      hash,
      status: () => ({ ready: true, draining: false })
    })
    this.membership.start()
    while (this.membership.view().peers.size < peerCount) await clock.sleep(20)
  }

  /** Starts to follow all streams and resolves when each follows this host's parent, or the log at the root. */
  async follow (): Promise<void> {
    this.followers.start()
    const bestSource = this.startedMembership.view().tree.parentOf(this.hostListEntry)?.hostId ?? 'log'
    while (!this.followers.followers().every(({ sourceName }) => sourceName === bestSource)) await clock.sleep(20)
  }

  async stop (): Promise<void> {
    await this.followers.stop()
    await this.membership?.stop()
    this.peerPool.close()
    await this.server?.stop(100)
    await this.hostListClient.close()
  }

  private get startedMembership (): MembershipManager {
    if (this.membership === undefined) throw new Error('the host has not joined yet')
    return this.membership
  }
}

/**
 * An entry host reduced to its control part: peer server and pool, membership, and the followers of all
 * streams. Several of them run in one process over loopback TCP.
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
  /** The log, read by the zone's first host. */
  log: LogClient
  /** Origin of the host list. */
  listOrigin: string
  /** Called for each record that this host has applied. */
  onRecord: () => void
}

/** Accepts every record and keeps nothing. */
class CountingProjection extends StreamProjection {
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

/** All hosts start at the log and go over to their parents at the next search; the default of 10 s would be most of a run. */
const betterSourceMilliseconds = 2000

/** One host. */
export class RelayHost {
  private readonly followers: FollowerGroup
  private readonly pool: PeerPool
  private readonly list: HttpHostListClient
  private readonly observability: { events: EventLog, hybridClock: HybridClock }
  private server: PeerServer | undefined
  private membership: MembershipManager | undefined

  private constructor (private readonly options: RelayHostOptions, private readonly identity: PeerIdentity) {
    const hybridClock = new HybridClock(clock)
    const events = new EventLog({ timeline: new Timeline(identity.hostId, hybridClock), level: 'error' })
    this.observability = { events, hybridClock }
    this.pool = new PeerPool({ identity, ...this.observability })
    this.list = new HttpHostListClient(options.listOrigin)
    const directory = new RelayDirectory({
      view: () => this.members.view(),
      log: new LogSource({ log: options.log, clock }),
      peerSource: target => new PeerRecordSource(this.pool, target),
      clock
    })
    const projections = streamNameSchema.options.map(stream => new CountingProjection(stream, options.onRecord))
    this.followers = new FollowerGroup({ projections, directory, log: options.log, clock, events, betterSourceMilliseconds })
  }

  /** Starts the peer server; its port is known afterwards. */
  static async listen (options: RelayHostOptions): Promise<RelayHost> {
    const host = new RelayHost(options, { hostId: options.hostId as HostId, incarnation: newIncarnation() })
    const started = await PeerServer.start({
      identity: host.identity,
      address: '127.0.0.1:0',
      ...host.observability,
      handlers: { follow: host.followers, heartbeat: (request, call) => host.members.answerHeartbeat(request, call) }
    })
    host.server = started.unwrapOrElse(failed => { throw new Error(failed.message) })
    return host
  }

  /** This host's entry on the list. */
  get entry (): ListedHost {
    return {
      ...this.identity,
      zone: 'zone' as Zone,
      region: 'region' as Region,
      addresses: { callers: ['127.0.0.1:10000'], administration: '127.0.0.1:10001', peers: this.server?.address ?? '' },
      state: 'live'
    }
  }

  /** Hosts above this one in the relay tree. */
  get depth (): number {
    return this.members.view().tree.ancestorsOf(this.entry).length
  }

  /** Starts membership; resolves when the view has the given number of peers. */
  async join (peers: number): Promise<void> {
    const { fanOut, hash } = this.options
    this.membership = new MembershipManager({
      self: this.entry,
      list: this.list,
      pool: this.pool,
      clock,
      events: this.observability.events,
      settings: { ...hostSettingsSchema.shape.membership.parse({}), fanOut },
      hash,
      status: () => ({ ready: true, draining: false })
    })
    this.membership.start()
    while (this.membership.view().peers.size < peers) await clock.sleep(20)
  }

  /** Starts to follow all streams and waits until each is followed at this host's best source. */
  async follow (): Promise<void> {
    this.followers.start()
    const best = this.members.view().tree.parentOf(this.entry)?.hostId ?? 'log'
    while (!this.followers.followers().every(({ sourceName }) => sourceName === best)) await clock.sleep(20)
  }

  async stop (): Promise<void> {
    await this.followers.stop()
    await this.membership?.stop()
    this.pool.close()
    await this.server?.stop(100)
    await this.list.close()
  }

  private get members (): MembershipManager {
    if (this.membership === undefined) throw new Error('the host has not joined yet')
    return this.membership
  }
}

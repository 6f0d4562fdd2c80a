/**
 * The control part of a host: everything that is agreed through the log (leases, configuration), and the
 * connections to other hosts over which it spreads.
 */
import { Result } from 'true-myth'
import type { Failure, HostId, Incarnation } from '../common/index.js'
import { ConfigurationFold, ConfigurationManager } from '../configuration/index.js'
import { loadHostHash, MembershipManager, RelayDirectory } from '../membership/index.js'
import { type PeerCertificates, type PeerHandlers, PeerPool, PeerRecordSource, PeerServer, type PeerTarget } from '../peers/index.js'
import type { ListedHost } from '../platform/index.js'
import { FollowerGroup, LogSource } from '../streams/index.js'
import type { HostContext } from './HostContext.js'

/** Addresses on which a host really listens. */
export interface HostAddresses {
  callers: string[]
  administration: string
  peers: string
}

/** What the control part needs of the rest of the host. */
export interface ControlPartOptions {
  context: HostContext
  /** For mutual TLS between hosts; absent: plain TCP. */
  certificates?: PeerCertificates | undefined
  /** State of the host for heartbeats and the list. */
  status: () => { ready: boolean, draining: boolean }
}

/** The control part. */
export class ControlPart {
  readonly configurationFold = new ConfigurationFold()
  readonly followers: FollowerGroup
  readonly configuration: ConfigurationManager
  readonly pool: PeerPool
  private membershipManager: MembershipManager | undefined
  private server: PeerServer | undefined

  constructor (private readonly options: ControlPartOptions) {
    const { context, certificates } = options
    const { clock, events, metrics, log, settings } = context
    const logSource = new LogSource({ log, clock })
    const directory = new RelayDirectory({
      view: () => this.membership.view(),
      log: logSource,
      peerSource: target => new PeerRecordSource(this.pool, target),
      clock
    })
    this.pool = new PeerPool({ identity: this.identity, hybridClock: context.hybridClock, log: events, certificates })
    this.followers = new FollowerGroup({
      folds: [this.configurationFold],
      directory,
      log,
      clock,
      events,
      metrics,
      silenceMilliseconds: settings.membership.silenceMilliseconds
    })
    this.configuration = new ConfigurationManager({ fold: this.configurationFold, writer: this.followers, clock, log: events })
  }

  /** Identity of this start of the host. */
  get identity (): { hostId: HostId, incarnation: Incarnation } {
    const { settings, incarnation } = this.options.context
    return { hostId: settings.host.id, incarnation }
  }

  /** The membership view. Throws before `listen`. */
  get membership (): MembershipManager {
    if (this.membershipManager === undefined) throw new Error('the control part does not listen yet')
    return this.membershipManager
  }

  /** Starts to listen for other hosts; returns the actual address. */
  async listen (handlers: PeerHandlers): Promise<Result<string, Failure>> {
    const { context, certificates } = this.options
    const started = await PeerServer.start({
      identity: this.identity,
      address: context.settings.listen.peers,
      handlers: {
        ...handlers,
        follow: this.followers,
        heartbeat: (request, call) => this.membership.answerHeartbeat(request, call)
      },
      hybridClock: context.hybridClock,
      log: context.events,
      certificates
    })
    return started.map(server => {
      this.server = server
      return server.address
    })
  }

  /** Joins the other hosts and starts following the log's streams. */
  async start (addresses: HostAddresses): Promise<void> {
    const { context } = this.options
    const { settings, incarnation, clock, events, hostList } = context
    const self: ListedHost = {
      hostId: settings.host.id,
      incarnation,
      zone: settings.host.zone,
      region: settings.host.region,
      addresses,
      state: 'live'
    }
    this.membershipManager = new MembershipManager({
      self,
      list: hostList,
      pool: this.pool,
      clock,
      log: events,
      settings: settings.membership,
      hash: await loadHostHash(),
      status: this.options.status
    })
    this.membershipManager.start()
    this.followers.start()
  }

  /** Finds the peer address of one start of a host. */
  targetOf (hostId: HostId, incarnation?: Incarnation): PeerTarget | undefined {
    const peer = this.membership.view().peers.get(hostId)
    if (peer === undefined) return undefined
    if (incarnation !== undefined && peer.host.incarnation !== incarnation) return undefined
    return { hostId, incarnation: peer.host.incarnation, address: peer.host.addresses.peers }
  }

  /**
   * Finds the peer address of one start of a host, and reads the host list anew if it is not known: a host that
   * has just started can have issued a key before this host learnt of it.
   */
  async findTarget (hostId: HostId, incarnation: Incarnation): Promise<PeerTarget | undefined> {
    const known = this.targetOf(hostId, incarnation)
    if (known !== undefined) return known
    await this.membership.refresh()
    return this.targetOf(hostId, incarnation)
  }

  /** The host that appends usage for this zone; undefined if it is this host or not known. */
  zoneAppender (): PeerTarget | undefined {
    const { self, tree } = this.membership.view()
    const first = tree.firstOf(self.zone)
    return first === undefined || first.hostId === self.hostId ? undefined : this.targetOf(first.hostId)
  }

  /** Leaves the other hosts and closes all connections. */
  async stop (): Promise<void> {
    await this.followers.stop()
    await this.membershipManager?.stop()
    await this.server?.stop()
    this.pool.close()
    await this.options.certificates?.stop()
  }
}

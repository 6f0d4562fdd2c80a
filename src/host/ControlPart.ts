/**
 * The control part of a host: everything that is agreed through the log (leases, configuration), and the
 * connections to other hosts over which it spreads.
 */
import { Result } from 'true-myth'
import {
  failure, type Failure, type HostId, type Incarnation, newRecordId, noOffset, type Offset, toOffset
} from '../common/index.js'
import { ConfigurationProjection, ConfigurationManager } from '../configuration/index.js'
import { LeaseManager, type LeaseName, leaseNameSchema } from '../leases/index.js'
import { loadHostHash, MembershipManager, RelayDirectory } from '../membership/index.js'
import { PeerCertificates, type PeerHandlers, PeerPool, PeerRecordSource, PeerServer, type PeerTarget } from '../peers/index.js'
import type { ListedHost, StreamName } from '../clients/index.js'
import {
  currentRecordVersion, FollowerGroup, LogSource, type NewRecord, RecordWriter, snapshotRecordOf, SnapshotWriter,
  type StreamProjection,
  type SubmittedRecord
} from '../streams/index.js'
import type { HostContext } from './HostContext.js'

/** Lease of the one host that writes snapshots. */
const snapshotLease = leaseNameSchema.parse('snapshots')

/** Addresses on which a host really listens. */
export interface HostAddresses {
  callers: string[]
  administration: string
  peers: string
}

/** What the control part needs of the rest of the host. */
export interface ControlPartOptions {
  context: HostContext
  /** State of the host for heartbeats and the list. */
  status: () => { ready: boolean, draining: boolean }
  /** Makes the projections of further streams. The part's followers do not exist yet when this is called. */
  furtherProjections: (control: ControlPart) => StreamProjection[]
}

/** Writes through followers that are made later: projections and followers need each other. */
class DeferredWriter extends RecordWriter {
  constructor (private readonly followers: () => FollowerGroup) {
    super()
  }

  async submit (stream: StreamName, record: NewRecord): Promise<Result<SubmittedRecord, Failure>> {
    return await this.followers().submit(stream, record)
  }
}

/** The control part. */
export class ControlPart {
  readonly configurationProjection = new ConfigurationProjection()
  readonly followers: FollowerGroup
  readonly configuration: ConfigurationManager
  readonly leases: LeaseManager
  readonly pool: PeerPool
  private readonly snapshots: SnapshotWriter
  private membershipManager: MembershipManager | undefined
  private server: PeerServer | undefined

  /** Loads the certificates for mutual TLS, if the settings name any, and builds the part. Errors: `bad_request`. */
  static async create (options: ControlPartOptions): Promise<Result<ControlPart, Failure>> {
    const { settings, clock, events } = options.context
    if (settings.peerTls === undefined) return Result.ok(new ControlPart(options, undefined))
    const loaded = await PeerCertificates.load({ files: settings.peerTls, clock, log: events })
    return loaded.map(certificates => new ControlPart(options, certificates))
  }

  private constructor (
    private readonly options: ControlPartOptions,
    private readonly certificates: PeerCertificates | undefined
  ) {
    const { context } = options
    const { clock, events, metrics, log, settings } = context
    const logSource = new LogSource({ log, clock })
    const directory = new RelayDirectory({
      view: () => this.membership.view(),
      log: logSource,
      peerSource: target => new PeerRecordSource(this.pool, target),
      clock
    })
    this.pool = new PeerPool({
      identity: this.identity,
      hybridClock: context.hybridClock,
      log: events,
      ...(certificates === undefined ? {} : { certificates })
    })
    this.leases = new LeaseManager({
      clock,
      events,
      holder: this.identity,
      compete: [this.plannerLease, snapshotLease],
      ...settings.leases
    })
    const writer = new DeferredWriter(() => this.followers)
    this.configuration = new ConfigurationManager({ projection: this.configurationProjection, writer, clock, log: events })
    this.followers = new FollowerGroup({
      projections: [this.configurationProjection, this.leases, ...options.furtherProjections(this)],
      directory,
      log,
      clock,
      events,
      metrics,
      silenceMilliseconds: settings.membership.silenceMilliseconds
    })
    this.snapshots = new SnapshotWriter({
      followers: this.followers,
      log,
      authority: () => this.leases.authority(snapshotLease),
      clock,
      events,
      retentionMilliseconds: settings.platform.logRetentionSeconds * 1000
    })
  }

  /** Lease of the one host of this zone that plans roles and sends orders to engines. */
  get plannerLease (): LeaseName {
    return leaseNameSchema.parse(`zone/${this.options.context.settings.host.zone}/planner`)
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
    const { context } = this.options
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
      ...(this.certificates === undefined ? {} : { certificates: this.certificates })
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
    const first = tree.firstHostOf(self.zone)
    return first === undefined || first.hostId === self.hostId ? undefined : this.targetOf(first.hostId)
  }

  /**
   * Appends a snapshot of the configuration that an operator exported, covering everything so far. Errors:
   * `platform_unavailable`, `outcome_unknown`, `conflict` if another record was appended meanwhile.
   */
  async restoreConfiguration (stateAt: (through: Offset) => unknown): Promise<Result<Offset, Failure>> {
    const { log, events } = this.options.context
    const head = await log.read('configuration', { from: noOffset, limit: 1, waitMilliseconds: 0 })
    if (head.isErr) return Result.err(head.error)
    const through = toOffset(head.value.nextOffset - 1)
    const state = { version: currentRecordVersion, recentIds: [], fold: stateAt(through) }
    const record = { version: currentRecordVersion, id: newRecordId(), ...snapshotRecordOf(through, state) }
    const appended = await log.append('configuration', [JSON.stringify(record)])
    if (appended.isErr) return appended
    if (appended.value !== through + 1) {
      return Result.err(failure('conflict', 'another record was appended at the same time; the snapshot has no effect'))
    }
    events.warn('configuration_restored', { offset: appended.value })
    return appended
  }

  /** Starts to compete for leases. */
  startDuties (): void {
    this.leases.start(this.followers)
    this.snapshots.start()
  }

  /** Hands all duties over, so that others take them up at once. */
  async stopDuties (): Promise<void> {
    await this.snapshots.stop()
    await this.leases.stop()
  }

  /** Leaves the other hosts and closes all connections. */
  async stop (): Promise<void> {
    await this.followers.stop()
    await this.membershipManager?.stop()
    await this.server?.stop()
    this.pool.close()
    await this.certificates?.stop()
  }
}

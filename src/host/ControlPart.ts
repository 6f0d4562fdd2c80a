/**
 * The control part of a host: the state that all hosts share through the log (leases and configuration), and the
 * connections to other hosts over which they relay the log's records.
 */
import { Result } from 'true-myth'
import {
  failure, type Failure, type FencingNumber, type HostId, type Incarnation, newRecordId, noOffset, type Offset, toOffset
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

/** Lease whose holder writes the snapshots of the streams. */
const snapshotLease = leaseNameSchema.parse('snapshots')

/** Addresses on which a host listens, with the ports that were bound. */
export interface HostAddresses {
  callers: string[]
  administration: string
  peers: string
}

/** Options of a `ControlPart`. */
export interface ControlPartOptions {
  context: HostContext
  /** Returns the state that this host reports in its responses to heartbeats. */
  status: () => { ready: boolean, draining: boolean }
  /** Creates the projections that other parts need. Called by the constructor before `followers` is set. */
  additionalProjections: (control: ControlPart) => StreamProjection[]
}

/**
 * Submits records to followers that are created after the writer. This breaks a cycle of dependencies: projections need a
 * writer, and the followers need the projections.
 */
class DeferredRecordWriter extends RecordWriter {
  constructor (private readonly followers: () => FollowerGroup) {
    super()
  }

  async submit (stream: StreamName, record: NewRecord): Promise<Result<SubmittedRecord, Failure>> {
    return await this.followers().submit(stream, record)
  }
}

/** Runs membership, log followers, leases, configuration and the connections to other hosts. */
export class ControlPart {
  readonly configurationProjection = new ConfigurationProjection()
  readonly followers: FollowerGroup
  readonly configuration: ConfigurationManager
  readonly leases: LeaseManager
  readonly peerPool: PeerPool
  private readonly snapshotWriter: SnapshotWriter
  private membershipManager: MembershipManager | undefined
  private server: PeerServer | undefined

  /** Loads the certificates for mutual TLS, if configured, and creates the part. Errors: `bad_request` if they cannot be used. */
  static async create (options: ControlPartOptions): Promise<Result<ControlPart, Failure>> {
    const { settings, clock, events } = options.context
    if (settings.peerTls === undefined) return Result.ok(new ControlPart(options, undefined))
    const loaded = await PeerCertificates.load({ files: settings.peerTls, clock, events })
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
      peerSource: target => new PeerRecordSource(this.peerPool, target),
      clock
    })
    this.peerPool = new PeerPool({
      identity: this.identity,
      hybridClock: context.hybridClock,
      events,
      ...(certificates === undefined ? {} : { certificates })
    })
    this.leases = new LeaseManager({
      clock,
      events,
      holder: this.identity,
      compete: [this.plannerLease, snapshotLease],
      ...settings.leases
    })
    const writer = new DeferredRecordWriter(() => this.followers)
    this.configuration = new ConfigurationManager({ projection: this.configurationProjection, writer, clock, events })
    this.followers = new FollowerGroup({
      projections: [this.configurationProjection, this.leases, ...options.additionalProjections(this)],
      directory,
      log,
      clock,
      events,
      metrics,
      silenceMilliseconds: settings.membership.silenceMilliseconds
    })
    this.snapshotWriter = new SnapshotWriter({
      followers: this.followers,
      log,
      authority: () => this.snapshotAuthority(),
      clock,
      events,
      retentionMilliseconds: settings.platform.logRetentionSeconds * 1000
    })
  }

  /** Lease whose holder plans the roles of this zone's engines and sends orders to them. */
  get plannerLease (): LeaseName {
    return leaseNameSchema.parse(`zone/${this.options.context.settings.host.zone}/planner`)
  }

  /** This host's authority to write snapshots; undefined if it does not hold the lease. */
  snapshotAuthority (): { fencingNumber: FencingNumber } | undefined {
    return this.leases.authority(snapshotLease)
  }

  /** Identity of this incarnation of the host. */
  get identity (): { hostId: HostId, incarnation: Incarnation } {
    const { settings, incarnation } = this.options.context
    return { hostId: settings.host.id, incarnation }
  }

  /** The membership manager. Throws before `start`. */
  get membership (): MembershipManager {
    if (this.membershipManager === undefined) throw new Error('the control part has not been started')
    return this.membershipManager
  }

  /** Starts to listen for other hosts; returns the address with the port that was bound. Errors: `internal`. */
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
      events: context.events,
      ...(this.certificates === undefined ? {} : { certificates: this.certificates })
    })
    return started.map(server => {
      this.server = server
      return server.address
    })
  }

  /** Registers this host on the host list, and starts sending heartbeats and following the log's streams. */
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
      peerPool: this.peerPool,
      clock,
      events,
      settings: settings.membership,
      hash: await loadHostHash(),
      status: this.options.status
    })
    this.membershipManager.start()
    this.followers.start()
  }

  /** Returns the peer address of a host from the membership view; undefined if the host or the given incarnation is unknown. */
  knownTargetOf (hostId: HostId, incarnation?: Incarnation): PeerTarget | undefined {
    const peer = this.membership.view().peers.get(hostId)
    if (peer === undefined) return undefined
    if (incarnation !== undefined && peer.host.incarnation !== incarnation) return undefined
    return { hostId, incarnation: peer.host.incarnation, address: peer.host.addresses.peers }
  }

  /**
   * Returns the peer address of an incarnation of a host. If it is unknown, reads the host list first, since a host that
   * has just started may have issued an idempotency key before this host saw it on the list.
   */
  async findTarget (hostId: HostId, incarnation: Incarnation): Promise<PeerTarget | undefined> {
    const known = this.knownTargetOf(hostId, incarnation)
    if (known !== undefined) return known
    await this.membership.refresh()
    return this.knownTargetOf(hostId, incarnation)
  }

  /** Returns the host that appends usage records for this zone; undefined if it is this host or unknown. */
  zoneAppender (): PeerTarget | undefined {
    const { self, tree } = this.membership.view()
    const appender = tree.firstHostOf(self.zone)
    return appender === undefined || appender.hostId === self.hostId ? undefined : this.knownTargetOf(appender.hostId)
  }

  /**
   * Restores an exported configuration: appends its state as a snapshot that replaces all records up to the end of the
   * stream. Errors: `platform_unavailable`, `outcome_unknown`, `conflict` if another record was appended in the meantime.
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

  /** Starts to compete for leases, and to write snapshots while this host holds the snapshot lease. */
  startLeaseTasks (): void {
    this.leases.start(this.followers)
    this.snapshotWriter.start()
  }

  /** Stops writing snapshots and releases the leases, so that other hosts can acquire them at once. */
  async stopLeaseTasks (): Promise<void> {
    await this.snapshotWriter.stop()
    await this.leases.stop()
  }

  /** Stops following the log, removes this host from the host list and closes all connections to other hosts. */
  async stop (): Promise<void> {
    await this.followers.stop()
    await this.membershipManager?.stop()
    await this.server?.stop()
    this.peerPool.close()
    await this.certificates?.stop()
  }
}

/**
 * This host's view of the store: the operators' configuration and the workers, published as the configuration documents
 * that the other modules read. An older version never replaces a newer one, also if the store is restored from an older
 * copy.
 */
import type { Clock, Offset, WorkerId } from '../common/index.js'
import { ConfigurationReader, type VersionedDocument, type WorkerDocument } from '../configuration/index.js'
import type { EventLog } from '../observability/index.js'
import { decodeRouteConfiguration, type RouteConfiguration, RouteTable } from './RouteConfiguration.js'
import { RemovedWorkers } from './RemovedWorkers.js'
import type { KeyedRecord } from './StoreClient.js'
import type { TopicReceiver } from './TopicFollower.js'
import { decodeWorkerEntry, isOlder, type WorkerEntry } from './WorkerEntry.js'

/** Key of the operators' configuration. */
const configurationKey = 'config'

/**
 * Time after the return of the store within which a live worker renews an entry that expired during the outage, or that a
 * restored store lacks, in milliseconds. Afterwards, a worker whose entry is still missing is removed.
 */
const expiredEntryGraceMilliseconds = 2000

/** Number of unusable entries that a log line names, and of characters that it quotes of a reason. */
const maxNamedEntries = 8
const maxReasonLength = 1000

/**
 * Time for which an entry that a restored store brought back is not believed, in milliseconds. The store removes the
 * entry of a worker that is gone after three missing reports; one that stays belongs to a live worker.
 */
const restoredEntryMilliseconds = 15_000

/**
 * Why a missing entry may belong to a live worker. `store_unavailable`: it may have expired while the store was unavailable;
 * `connection_lost`: the store may have been unavailable while a connection of this host was lost, but no other call shows it.
 */
type LapseReason = 'store_unavailable' | 'connection_lost'

/** Options of a `PlatformDirectory`. */
export interface PlatformDirectoryOptions {
  clock: Clock
  events: EventLog
  /**
   * Monotonic time in milliseconds of the last reconnection to the store, or of the first read of a restored one;
   * `-Infinity` before the first of them.
   */
  workersConnectedSince: () => number
  /** Monotonic time in milliseconds at which the store was available again; `-Infinity` if it always was. */
  storeReturnedAt: () => number
  /** Called when a worker has restarted, which empties its cache. */
  onWorkerRestarted: (id: WorkerId) => void
  /** Called when a worker has disappeared or restarted without having drained. */
  onWorkerLost: () => void
}

/** Documents of the pools and roles, rebuilt from the operators' configuration and the workers' entries. */
export class PlatformDirectory extends ConfigurationReader {
  private readonly workers = new Map<WorkerId, WorkerEntry>()
  private readonly removed: RemovedWorkers
  /** Entries of removed workers that a restored store brought back. */
  private readonly withheld = new Map<WorkerId, { entry: WorkerEntry, era: number }>()
  /** Workers whose entries are missing and that are not removed yet. */
  private readonly lapsed = new Map<WorkerId, LapseReason>()
  /** Era of the store in which the configuration was last read as a whole. */
  private configurationEra = 0
  /** Era of the store in which the version in force was last read. */
  private versionEra = 0
  /** Documents of the version in force that a later era replaced. */
  private readonly replacedDocuments = new Set<string>()
  /** Version and era of the ignored configuration that was logged last. */
  private loggedOlder: string | undefined
  /** Era of the store in which the workers were last read as a whole. */
  private workersEra = 0
  private documents = new Map<string, VersionedDocument>()
  private readonly listeners = new Set<(paths: string[]) => void>()
  private routeTable: RouteTable | undefined
  private revision = 0
  private hasReadWorkers = false

  constructor (private readonly options: PlatformDirectoryOptions) {
    super()
    this.removed = new RemovedWorkers(options.clock)
  }

  /** The routes in force; undefined before the first configuration. */
  get routes (): RouteTable | undefined {
    return this.routeTable
  }

  /** The workers, as their entries describe them. */
  get workerEntries (): Iterable<WorkerEntry> {
    return this.workers.values()
  }

  /** True once a configuration and the workers have been read, so that the host can serve requests. */
  get isComplete (): boolean {
    return this.routeTable !== undefined && this.hasReadWorkers
  }

  /** Receives the records of the configuration topic. */
  readonly configurationReceiver: TopicReceiver = {
    replace: (records, era) => {
      this.configurationEra = era
      this.applyConfigurationRecords(records)
    },
    apply: records => this.applyConfigurationRecords(records),
    isUsable: ({ key }) => key === configurationKey
  }

  /** Receives the records of the worker topic. */
  readonly workerReceiver: TopicReceiver = {
    replace: (records, era) => {
      this.hasReadWorkers = true
      this.workersEra = era
      const present = new Set(records.map(({ key }) => key))
      const missing = [...this.workers.keys(), ...this.withheld.keys()].filter(id => !present.has(id))
      this.applyWorkerRecords([...records, ...missing.map(key => ({ key, value: undefined }))])
    },
    apply: records => this.applyWorkerRecords(records),
    isUsable: ({ key, value }) => value !== undefined && decodeWorkerEntry(key, value) !== undefined
  }

  get through (): Offset {
    return this.revision as Offset
  }

  get (path: string): VersionedDocument | undefined {
    return this.documents.get(path)
  }

  list (prefix: string): VersionedDocument[] {
    return [...this.documents.values()].filter(document => document.path.startsWith(prefix))
  }

  onChange (listener: (paths: string[]) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  private applyConfigurationRecords (records: KeyedRecord[]): void {
    for (const { key, value } of records) {
      if (key === configurationKey && value !== undefined) this.applyConfiguration(value)
    }
  }

  private applyConfiguration (value: Buffer): void {
    const { events } = this.options
    const decoded = decodeRouteConfiguration(value)
    if (decoded.isErr) {
      const reason = decoded.error.message.slice(0, maxReasonLength)
      events.error('configuration_refused', { version: this.routeTable?.configuration.version, reason })
      return
    }
    const previous = this.routeTable?.configuration
    const { version, routes, services, accounts } = decoded.value
    if (previous !== undefined && !this.replaces(decoded.value, previous)) return
    if (previous?.version === version) this.replacedDocuments.add(JSON.stringify(previous))
    else this.replacedDocuments.clear()
    this.versionEra = this.configurationEra
    this.routeTable = new RouteTable(decoded.value)
    events.info('configuration_in_force', {
      version,
      before: previous?.version,
      era: this.configurationEra,
      routes: routes.length,
      services: services.length,
      accounts: accounts?.length
    })
    this.publish()
  }

  /**
   * Decides whether a configuration replaces the one in force, and notes the era in which that one was read again. Versions
   * rise within an era of the store. After a restore, the operator may use a lost version again, for another configuration.
   */
  private replaces (read: RouteConfiguration, inForce: RouteConfiguration): boolean {
    if (read.version > inForce.version) return true
    if (read.version < inForce.version) {
      this.logOlder(read.version, inForce.version)
      return false
    }
    if (this.versionEra >= this.configurationEra) return false
    const document = JSON.stringify(read)
    if (this.replacedDocuments.has(document)) return false
    this.versionEra = this.configurationEra
    return document !== JSON.stringify(inForce)
  }

  private logOlder (version: number, versionInForce: number): void {
    const older = `${this.configurationEra}/${version}`
    if (this.loggedOlder === older) return
    this.loggedOlder = older
    this.options.events.warn('configuration_older_than_in_force', { version, in_force: versionInForce, era: this.configurationEra })
  }

  private applyWorkerRecords (records: KeyedRecord[]): void {
    let changed = false
    const unusable: string[] = []
    for (const { key, value } of records) {
      const entry = value === undefined ? undefined : decodeWorkerEntry(key, value)
      if (value === undefined) changed = this.applyDeletion(key as WorkerId) || changed
      else if (entry === undefined) unusable.push(key)
      else changed = this.applyEntry(entry) || changed
    }
    if (unusable.length > 0) {
      const workers = unusable.slice(0, maxNamedEntries).join(',')
      this.options.events.warn('worker_entries_unusable', { count: unusable.length, workers })
    }
    if (changed) this.publish()
  }

  private applyEntry (entry: WorkerEntry): boolean {
    if (this.removed.isOutdated(entry, this.workersEra)) {
      this.withhold(entry)
      return false
    }
    return this.take(entry)
  }

  /** Adds or updates a worker. Returns false if its entry is older than the known one. */
  private take (entry: WorkerEntry): boolean {
    const { events, onWorkerRestarted, onWorkerLost } = this.options
    this.withheld.delete(entry.id)
    this.removed.forget(entry.id)
    const wasLapsed = this.lapsed.delete(entry.id)
    const known = this.workers.get(entry.id)
    if (known !== undefined && isOlder(entry, known)) {
      // Ends the grace period for a missing entry, which belongs to the entry that is known at its start.
      this.workers.set(entry.id, { ...known })
      return wasLapsed
    }
    this.workers.set(entry.id, entry)
    if (known !== undefined && known.startedAt !== entry.startedAt) {
      onWorkerRestarted(entry.id)
      if (!known.leaving) onWorkerLost()
    }
    const { id, pool, zone, address, leaving, role, report, softwareVersion: version } = entry
    events.info('worker_reported', { worker: id, pool, zone, address, leaving, role, report, version })
    return true
  }

  /** Takes an entry of a removed worker only if it is still there when that of a worker that is gone would have expired. */
  private withhold (entry: WorkerEntry): void {
    const { clock, events } = this.options
    const { id, report } = entry
    const era = this.workersEra
    if (this.withheld.get(id)?.era === era) return
    events.info('worker_entry_withheld', { worker: id, report, era })
    // A worker that drained does not become ready again before it restarts.
    if (this.removed.hasDrained(id)) return
    const withheld = { entry, era }
    this.withheld.set(id, withheld)
    clock.sleep(restoredEntryMilliseconds).then(() => {
      if (this.withheld.get(id) !== withheld) return
      if (this.take(entry)) this.publish()
    }, () => {})
  }

  /**
   * Removes a worker: at once, or after a grace period if its entry may have expired during an outage of the store.
   * Returns false if the worker is unknown.
   */
  private applyDeletion (id: WorkerId): boolean {
    this.withheld.delete(id)
    const known = this.workers.get(id)
    if (known === undefined) return false
    const { storeReturnedAt, workersConnectedSince } = this.options
    if (!known.leaving && this.tryLapse(known, storeReturnedAt(), 'store_unavailable')) return true
    if (!known.leaving && this.tryLapse(known, workersConnectedSince(), 'connection_lost')) return true
    this.remove(id)
    return true
  }

  /** Keeps a worker until the end of the grace period that began at the given time. Returns false if it has ended. */
  private tryLapse (known: WorkerEntry, since: number, reason: LapseReason): boolean {
    const { clock, events } = this.options
    const { id } = known
    const waitMilliseconds = since + expiredEntryGraceMilliseconds - clock.monotonic()
    if (waitMilliseconds <= 0) return false
    // A second deletion does not extend the grace period.
    if (this.lapsed.has(id)) return true
    events.info('worker_entry_lapsed', { worker: id, milliseconds: Math.round(waitMilliseconds), reason })
    this.lapsed.set(id, reason)
    clock.sleep(waitMilliseconds).then(() => {
      if (this.workers.get(id) !== known) return
      this.remove(id)
      this.publish()
    }, () => {})
    return true
  }

  /**
   * The workers that may be gone, so that the others of their pool and role are preferred. Where half of these or more lapsed
   * while the store was unavailable, they have most likely expired, and the others could not carry the load alone.
   */
  private uncertainWorkers (): ReadonlySet<WorkerId> {
    if (this.lapsed.size === 0) return new Set()
    const groups = new Map<string, { members: number, lapsed: number }>()
    const groupOf = ({ pool, role }: WorkerEntry): string => `${role} ${pool}`
    for (const worker of this.workers.values()) {
      const group = groups.get(groupOf(worker)) ?? { members: 0, lapsed: 0 }
      group.members += 1
      if (this.lapsed.has(worker.id)) group.lapsed += 1
      groups.set(groupOf(worker), group)
    }
    const isUncertain = (id: WorkerId, reason: LapseReason): boolean => {
      const worker = this.workers.get(id)
      if (worker === undefined || reason !== 'store_unavailable') return true
      const { members, lapsed } = groups.get(groupOf(worker))!
      return lapsed * 2 < members
    }
    return new Set([...this.lapsed].filter(([id, reason]) => isUncertain(id, reason)).map(([id]) => id))
  }

  private remove (id: WorkerId): void {
    const known = this.workers.get(id)
    const wasLeaving = known?.leaving
    if (known !== undefined) this.removed.add(known, this.workersEra)
    this.workers.delete(id)
    this.lapsed.delete(id)
    this.options.events.info('worker_entry_removed', { worker: id })
    if (wasLeaving === false) this.options.onWorkerLost()
  }

  /** Rebuilds the documents of pools and roles and notifies the listeners. */
  private publish (): void {
    const configuration = this.routeTable?.configuration
    if (configuration === undefined) return
    this.revision += 1
    const uncertain = this.uncertainWorkers()
    const workers = [...this.workers.values()].map(entry => ({ ...entry, uncertain: uncertain.has(entry.id) }))
    this.documents = new Map(documentsOf(configuration, workers)
      .map(([path, value]) => [path, { path, version: this.through, value }]))
    for (const listener of this.listeners) listener([...this.documents.keys(), '/fleet/pools/'])
  }
}

type ListedWorker = WorkerEntry & Pick<WorkerDocument, 'uncertain'>

function documentsOf (configuration: RouteConfiguration, workers: ListedWorker[]): Array<[string, unknown]> {
  const pools = configuration.services.map(({ pool, models }): [string, unknown] => {
    const members = workers.filter(worker => worker.pool === pool).map(worker => {
      const { id, zone, address, leaving, uncertain, slots, startedAt, softwareVersion } = worker
      const process = { slots, startedAt, softwareVersion }
      return { id, zone, address, checksFencing: true, reportsLoad: false, draining: leaving, uncertain, ...process }
    })
    const kind = models.length > 0 ? { kind: 'engines', models } : { kind: 'service', service: { routes: [] } }
    return [`/fleet/pools/${pool}`, { ...kind, workers: members }]
  })
  const roles = workers.map(({ id, role }): [string, unknown] => [`/fleet/roles/${id}`, { role }])
  return [...pools, ...roles]
}

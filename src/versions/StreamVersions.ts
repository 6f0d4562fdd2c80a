/**
 * Keeps each stream at the software version of the worker that began it, since what two versions write does not fit
 * together. Hosts share nothing but the exchange, may all restart at once, and serve on without it.
 *
 * A pool registers each version before new streams begin there. While one version alone is registered, it has begun all
 * streams, and nothing is written. While there are several, each host publishes the begin of each of its streams; the begin of
 * those that were open when the second version appeared is published then. A host that takes up a stream which it has not
 * begun reads the registered versions, and if there are several, what was published. A stream whose version does not follow
 * from that is refused. So a missing record costs the stream, but never joins two versions.
 */
import { Result } from 'true-myth'
import { BoundedTable, type Clock, failure, type Failure, type Pool, Task, type WorkerId } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { StreamBegin, StreamId, VersionExchange } from './VersionExchange.js'

/** A worker, as far as versions matter. */
export interface VersionedWorker {
  readonly id: WorkerId
  /** Undefined if it is not known; no two unknown versions are the same. */
  readonly softwareVersion: string | undefined
}

/** Options of `StreamVersions`. */
export interface StreamVersionsOptions {
  exchange: VersionExchange
  /** The listed workers of each pool that streams, draining ones included. */
  workers: () => ReadonlyMap<Pool, readonly VersionedWorker[]>
  /** True if this host has the duty to register versions first, and to remove them. */
  hasDuty: () => boolean
  clock: Clock
  events: EventLog
  /** Returns numbers from 0 (inclusive) to 1 (exclusive) that spread the calls of hosts. */
  random: () => number
}

/** Interval of the check for versions that are not registered, in milliseconds. */
const checkMilliseconds = 100

/** Longest time for which hosts without the duty leave the registration to the one that has it, in milliseconds. */
const maxDeferredMilliseconds = 600

/** Delays between two reads of the registered versions, in milliseconds; the store charges for failed reads too. */
const minReadMilliseconds = 300
const maxReadMilliseconds = 4000

/** Interval of the reads of the registered versions while a pool has several, in milliseconds. */
const rereadMilliseconds = 60_000

/**
 * Time without workers after which a version is no longer registered, in milliseconds. A zone that is cut off may go on with
 * workers that the others take for gone.
 */
const retirementMilliseconds = 300_000

/** Maximum number of versions that are registered for a pool; further ones stay unregistered. */
const maxVersions = 32

/** Number of streams of this host whose begin is remembered. */
const maxBegunStreams = 4096

/** Time for which the begin of a stream matters, in milliseconds; callers take it up within the time limit of its route. */
const streamMilliseconds = 30_000

/**
 * Time within which the exchange has to tell the version of a stream, in milliseconds. A caller whose stream cannot go on is
 * told at once; a slow store answers within a quarter of a second.
 */
const maxLookupMilliseconds = 600

interface BegunStream extends StreamId {
  /** Undefined if streams of the same name were begun by workers of several versions. */
  version: string | undefined
  worker: WorkerId
  at: number
  isPublished: boolean
}

/** Versions of the streams and workers that this host knows. */
export class StreamVersions {
  private readonly begun = new BoundedTable<BegunStream>(maxBegunStreams)
  /** Registered versions as of the last read; undefined before it. */
  private registered: ReadonlyMap<Pool, ReadonlySet<string>> | undefined
  /** Versions that were registered before the store came back from an older copy, which may lack them. */
  private restorable: ReadonlyMap<Pool, ReadonlySet<string>> = new Map()
  private readAt = -Infinity
  private readDelayMilliseconds = minReadMilliseconds
  /** Monotonic time at which this host registers the missing versions of a pool. */
  private readonly registerAt = new Map<Pool, number>()
  /** Monotonic time at which a version last had a worker, by pool and version, since this host has the duty. */
  private readonly lastPresent = new Map<string, number>()
  private task: Task | undefined

  constructor (private readonly options: StreamVersionsOptions) {}

  start (): void {
    const { clock, events } = this.options
    this.task ??= Task.start(async signal => {
      while (!signal.aborted) {
        await this.check()
        await clock.sleep(checkMilliseconds, signal)
      }
    }, error => { events.error('stream_versions_ended', { reason: String(error) }) })
  }

  async stop (): Promise<void> {
    await this.task?.stop()
  }

  /** Records that the store came back from an older copy: what it lacks is registered again. */
  restore (): void {
    this.restorable = this.registered ?? this.restorable
    this.registered = undefined
    this.readAt = -Infinity
  }

  /** The candidates for a new stream: those of registered versions, if there are any. */
  eligible<Worker extends VersionedWorker> (pool: Pool, candidates: readonly Worker[]): readonly Worker[] {
    const versions = this.registered?.get(pool)
    if (versions === undefined) return candidates
    const isRegistered = ({ softwareVersion: version }: Worker): boolean => version !== undefined && versions.has(version)
    if (candidates.every(isRegistered)) return candidates
    const eligible = candidates.filter(isRegistered)
    return eligible.length > 0 ? eligible : candidates
  }

  /** Records that a worker has sent the first event of a stream that callers may take up. */
  recordBegin (stream: StreamId, { id: worker, softwareVersion: version }: VersionedWorker): void {
    const key = keyOf(stream)
    const known = this.begun.get(key)
    const isAmbiguous = known !== undefined && known.version !== version
    const begun: BegunStream = {
      ...stream, version: isAmbiguous ? undefined : version, worker, at: this.options.clock.monotonic(), isPublished: false
    }
    this.begun.set(key, begun)
    if (version === undefined || this.onlyVersionOf(stream.pool) === version) return
    begun.isPublished = true
    this.options.exchange.publish([{ ...stream, version, worker }])
  }

  /**
   * The version that began a stream. `request`: as the caller states it; undefined if it does not. Errors: `not_run` if the
   * version is not known.
   */
  async versionOf (pool: Pool, request: StreamId['request'] | undefined): Promise<Result<string, Failure>> {
    const own = request === undefined ? undefined : this.begun.get(keyOf({ pool, request }))
    if (own !== undefined) return this.certain(own.version, own.worker)
    const limit = new AbortController()
    const timedOut = this.options.clock.sleep(maxLookupMilliseconds, limit.signal)
      .then(() => unknownVersion(`the store did not answer within ${maxLookupMilliseconds} ms`))
    try {
      return await Promise.race([this.sharedVersionOf(pool, request), timedOut])
    } finally {
      limit.abort()
    }
  }

  /** The version that the hosts know to have begun a stream which another one began. */
  private async sharedVersionOf (pool: Pool, request: StreamId['request'] | undefined): Promise<Result<string, Failure>> {
    const { exchange } = this.options
    const registered = await exchange.readRegistered()
    if (registered.isErr) return unknownVersion(registered.error.message)
    this.takeRegistered(registered.value)
    const only = this.onlyVersionOf(pool)
    if (only !== undefined) return Result.ok(only)
    if (request === undefined) return unknownVersion('the caller does not name the stream')
    const begins = await exchange.readBegins({ pool, request })
    if (begins.isErr) return unknownVersion(begins.error.message)
    const [first, ...others] = begins.value
    if (first === undefined) return unknownVersion('its begin was not published')
    return this.certain(others.every(({ version }) => version === first.version) ? first.version : undefined, first.worker)
  }

  /**
   * True if a worker's process is still known to have the version. A worker that has restarted under its id with another
   * version may have begun the stream after that.
   */
  isCertain (worker: WorkerId, version: string): boolean {
    const present = [...this.options.workers().values()].flat().find(({ id }) => id === worker)
    return present === undefined || present.softwareVersion === version
  }

  private certain (version: string | undefined, worker: WorkerId): Result<string, Failure> {
    if (version !== undefined && this.isCertain(worker, version)) return Result.ok(version)
    return unknownVersion('several versions may have begun it')
  }

  /** The version that has begun all streams of a pool; undefined if there may be several, or none is known. */
  private onlyVersionOf (pool: Pool): string | undefined {
    const versions = new Set([...this.registered?.get(pool) ?? [], ...this.restorable.get(pool) ?? []])
    if (this.registered === undefined || versions.size !== 1) return undefined
    const [only] = versions
    const workers = this.options.workers().get(pool) ?? []
    return workers.every(({ softwareVersion }) => softwareVersion === only) ? only : undefined
  }

  /** Reads and registers versions as far as that is due. */
  async check (): Promise<void> {
    const { clock, hasDuty } = this.options
    const now = clock.monotonic()
    const hasSeveral = [...this.registered?.values() ?? []].some(versions => versions.size > 1)
    const isStale = this.registered === undefined || (hasSeveral && now - this.readAt >= rereadMilliseconds)
    const due = this.poolsToRegister(now)
    if (!hasDuty()) this.lastPresent.clear()
    const retired = hasDuty() ? this.retiredVersions(now) : new Map<Pool, ReadonlySet<string>>()
    if (!isStale && due.length === 0 && retired.size === 0) return
    if (now - this.readAt < this.readDelayMilliseconds) return
    const read = await this.options.exchange.readRegistered()
    this.readAt = clock.monotonic()
    this.readDelayMilliseconds = read.isOk ? minReadMilliseconds : Math.min(maxReadMilliseconds, 2 * this.readDelayMilliseconds)
    if (read.isErr) return
    this.takeRegistered(read.value)
    for (const pool of due) await this.register(pool, retired.get(pool) ?? new Set())
    for (const [pool, versions] of retired) if (!due.includes(pool)) await this.register(pool, versions)
  }

  /** Pools with workers of unregistered versions that this host is to register now. */
  private poolsToRegister (now: number): Pool[] {
    const { hasDuty, random } = this.options
    return [...this.options.workers()].flatMap(([pool]) => {
      if (this.missingVersions(pool).length === 0) {
        this.registerAt.delete(pool)
        return []
      }
      if (!this.registerAt.has(pool)) this.publishOpenStreams(pool)
      const at = this.registerAt.get(pool) ?? now + (0.5 + random() / 2) * maxDeferredMilliseconds
      this.registerAt.set(pool, at)
      return hasDuty() || now >= at ? [pool] : []
    })
  }

  private missingVersions (pool: Pool): string[] {
    const registered = this.registered?.get(pool) ?? new Set()
    if (this.registered === undefined || registered.size >= maxVersions) return []
    const present = (this.options.workers().get(pool) ?? []).flatMap(({ softwareVersion }) => softwareVersion ?? [])
    return [...new Set([...present, ...this.restorable.get(pool) ?? []])].filter(version => !registered.has(version))
  }

  private async register (pool: Pool, retired: ReadonlySet<string>): Promise<void> {
    const { exchange, events } = this.options
    const before = this.registered?.get(pool) ?? new Set<string>()
    const remaining = [...before].filter(version => !retired.has(version))
    const versions = new Set([...remaining, ...this.missingVersions(pool)].slice(0, maxVersions))
    if (versions.size === before.size && [...versions].every(version => before.has(version))) return
    const registered = await exchange.register(pool, versions)
    const outcome = registered.isOk ? 'accepted' : registered.error.message
    events.info('versions_registered', { pool, versions: [...versions].join(','), before: [...before].join(','), outcome })
    if (registered.isOk) this.takeRegistered(new Map([...this.registered ?? [], [pool, versions]]))
  }

  /** Versions of each pool that have had no worker for long. */
  private retiredVersions (now: number): Map<Pool, ReadonlySet<string>> {
    const retired = new Map<Pool, ReadonlySet<string>>()
    for (const [pool, versions] of this.registered ?? []) {
      const present = new Set((this.options.workers().get(pool) ?? []).map(({ softwareVersion }) => softwareVersion))
      const old = [...versions].filter(version => {
        const key = `${pool}/${version}`
        if (present.has(version) || !this.lastPresent.has(key)) this.lastPresent.set(key, now)
        return now - this.lastPresent.get(key)! >= retirementMilliseconds
      })
      if (old.length > 0 && old.length < versions.size) retired.set(pool, new Set(old))
    }
    return retired
  }

  private takeRegistered (registered: ReadonlyMap<Pool, ReadonlySet<string>>): void {
    const before = this.registered
    this.registered = registered
    this.restorable = new Map([...this.restorable].map(([pool, versions]) =>
      [pool, new Set([...versions].filter(version => registered.get(pool)?.has(version) !== true))]))
    for (const [pool, versions] of registered) {
      if (versions.size > 1 && (before?.get(pool)?.size ?? 0) <= 1) this.publishOpenStreams(pool)
    }
  }

  /** Publishes the begin of the recent streams of a pool that has had one version until now. */
  private publishOpenStreams (pool: Pool): void {
    const earliest = this.options.clock.monotonic() - streamMilliseconds
    const open = this.begun.entries().map(([, stream]) => stream)
      .filter(stream => stream.pool === pool && !stream.isPublished && stream.version !== undefined && stream.at >= earliest)
    for (const stream of open) stream.isPublished = true
    const begins = open.map(({ request, version, worker }): StreamBegin => ({ pool, request, version: version!, worker }))
    if (begins.length > 0) this.options.exchange.publish(begins)
  }
}

function keyOf ({ pool, request }: StreamId): string {
  return `${pool} ${request}`
}

function unknownVersion (reason: string): Result<string, Failure> {
  return Result.err(failure('not_run', `the software version that began the stream is not known: ${reason}`))
}

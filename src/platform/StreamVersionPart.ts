/**
 * The part of a host that keeps streams at the software version of their workers: the versions of the workers from the
 * directory, and the connections to the store by which hosts exchange them.
 */
import type { Clock, Hash, Pool } from '../common/index.js'
import type { GroupLease } from '../leases/index.js'
import type { EventLog } from '../observability/index.js'
import { StreamVersions } from '../versions/index.js'
import type { PlatformDirectory } from './PlatformDirectory.js'
import type { PlatformSettings } from './PlatformSettings.js'
import { StoreClient } from './StoreClient.js'
import type { StoreEra } from './StoreEra.js'
import { StreamVersionTopics } from './StreamVersionTopics.js'
import type { WorkerEntry } from './WorkerEntry.js'

/** Options of a `StreamVersionPart`. */
export interface StreamVersionPartOptions {
  settings: PlatformSettings
  era: StoreEra
  directory: Pick<PlatformDirectory, 'routes' | 'workerEntries' | 'onChange'>
  lease: Pick<GroupLease, 'authority'>
  clock: Clock
  events: EventLog
  hash: Hash
}

/** Owns the versions of this host and its connections to the store. */
export class StreamVersionPart {
  readonly versions: StreamVersions
  private readonly topics: StreamVersionTopics
  /** The workers of each pool that streams; undefined after a change of the directory. */
  private workers: ReadonlyMap<Pool, readonly WorkerEntry[]> | undefined

  constructor ({ settings: { store }, era, directory, lease, clock, events, hash }: StreamVersionPartOptions) {
    this.topics = new StreamVersionTopics({
      reader: new StoreClient(store.address, era), writer: new StoreClient(store.address, era), era, clock, events, hash
    })
    this.versions = new StreamVersions({
      exchange: this.topics,
      workers: () => {
        this.workers ??= streamingWorkersOf(directory)
        return this.workers
      },
      hasDuty: () => lease.authority() !== undefined,
      clock,
      events,
      random: Math.random
    })
    directory.onChange(() => { this.workers = undefined })
    era.onRise(before => { if (before > 0) this.versions.restore() })
  }

  start (): void {
    this.versions.start()
  }

  async stop (): Promise<void> {
    await this.versions.stop()
    await this.topics.stop()
  }
}

/** The listed workers of the pools to which resumable streams go. */
function streamingWorkersOf (
  { routes, workerEntries }: Pick<PlatformDirectory, 'routes' | 'workerEntries'>
): Map<Pool, WorkerEntry[]> {
  const resumable = routes?.configuration.routes.filter(route => route.kind === 'stream' && route.resumable) ?? []
  const workers = new Map<Pool, WorkerEntry[]>()
  for (const { pool } of resumable.flatMap(({ targets }) => targets)) workers.set(pool, [])
  for (const entry of workerEntries) workers.get(entry.pool)?.push(entry)
  return workers
}

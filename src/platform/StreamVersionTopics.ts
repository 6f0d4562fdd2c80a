/**
 * Exchanges the software versions of streams through the store. The registered versions of a pool are a record of a compacted
 * topic. The begins of streams are records of a topic that keeps its history for seconds, in the partition of their request.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import {
  BoundedTable, type Clock, type Failure, type Hash, parseJson, type Pool, poolSchema, requestIdSchema, Task, workerIdSchema
} from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import { type RegisteredVersions, type StreamBegin, type StreamId, VersionExchange } from '../versions/index.js'
import { FreshReads } from './FreshReads.js'
import type { KeyedRecord, StoreClient } from './StoreClient.js'
import type { StoreEra } from './StoreEra.js'

/** Topics of the registered versions and of the begins of streams. */
export const versionTopic = 'keyed.versions'
export const streamTopic = 'streams'

/** Number of partitions over which the begins are spread; the store creates at least as many. */
const streamPartitions = 8

/** Maximum length of a version, and of the versions of a pool. */
const maxVersionLength = 100
const maxVersions = 64

/** Number of begins that are kept of each partition. */
const maxKeptBegins = 4096

/** Number of begins that wait to be published; further ones are dropped. */
const maxQueuedBegins = 1024

/** Number of times that an append of begins is tried, and the pause after a failure in milliseconds. */
const maxTries = 3
const retryMilliseconds = 200

const registeredSchema = z.object({ versions: z.array(z.string().min(1).max(maxVersionLength)).max(maxVersions) })
const beginSchema = z.object({ pool: poolSchema, version: z.string().min(1).max(maxVersionLength), worker: workerIdSchema })

/** Options of `StreamVersionTopics`. */
export interface StreamVersionTopicsOptions {
  /** Client for reads and registrations, and one for the begins of streams. */
  reader: Pick<StoreClient, 'newest' | 'append' | 'readAvailable' | 'close'>
  writer: Pick<StoreClient, 'append' | 'close'>
  era: StoreEra
  clock: Clock
  events: EventLog
  hash: Hash
}

/** The begins of one partition, as far as they were read. */
interface KnownPartition {
  readonly begins: BoundedTable<StreamBegin[]>
  readonly reads: FreshReads<Failure | undefined>
  next: number
  era: number | undefined
}

/** Reads and writes both topics. */
export class StreamVersionTopics extends VersionExchange {
  private readonly registeredReads = new FreshReads(async () => await this.readTopic())
  private readonly partitions = Array.from({ length: streamPartitions }, (_, partition) => this.createPartition(partition))
  /** End of the topic of the registered versions at its last read or write. */
  private registeredEnd = 0
  private readonly queued: StreamBegin[] = []
  private sending: Task | undefined

  constructor (private readonly options: StreamVersionTopicsOptions) {
    super()
  }

  async stop (): Promise<void> {
    await this.sending?.stop()
    await Promise.all([this.options.reader.close(), this.options.writer.close()])
  }

  async readRegistered (): Promise<Result<RegisteredVersions, Failure>> {
    return await this.registeredReads.next()
  }

  async register (pool: Pool, versions: ReadonlySet<string>): Promise<Result<void, Failure>> {
    const record = { key: pool, value: Buffer.from(JSON.stringify({ versions: [...versions] })) }
    const appended = await this.options.reader.append(versionTopic, [record], { at: this.registeredEnd })
    if (appended.isErr) return Result.err(appended.error)
    this.registeredEnd = appended.value.end
    return Result.ok(undefined)
  }

  publish (begins: readonly StreamBegin[]): void {
    const room = Math.max(0, maxQueuedBegins - this.queued.length)
    this.queued.push(...begins.slice(0, room))
    if (begins.length > room) this.logDropped(begins.length - room, `${maxQueuedBegins} begins wait`)
    if (this.queued.length === 0) return
    this.sending ??= Task.start(async signal => {
      try {
        while (this.queued.length > 0 && !signal.aborted) await this.sendQueued(signal)
      } finally {
        this.sending = undefined
      }
    }, error => { this.logDropped(this.queued.splice(0).length, String(error)) })
  }

  async readBegins (stream: StreamId): Promise<Result<readonly StreamBegin[], Failure>> {
    const partition = this.partitions[this.partitionOf(stream)]!
    const failed = await partition.reads.next()
    return failed === undefined ? Result.ok(partition.begins.get(keyOf(stream)) ?? []) : Result.err(failed)
  }

  private async readTopic (): Promise<Result<RegisteredVersions, Failure>> {
    const newest = await this.options.reader.newest(versionTopic, undefined, record => decodeRegistered(record) !== undefined)
    if (newest.isErr) return Result.err(newest.error)
    this.registeredEnd = newest.value.end
    return Result.ok(new Map(newest.value.records.flatMap(record => decodeRegistered(record) ?? [])))
  }

  private createPartition (partition: number): KnownPartition {
    const known: KnownPartition = {
      begins: new BoundedTable(maxKeptBegins),
      reads: new FreshReads(async () => await this.readPartition(partition, known)),
      next: 0,
      era: undefined
    }
    return known
  }

  /** Reads what was published since the last read. Returns the failure, if any. */
  private async readPartition (partition: number, known: KnownPartition): Promise<Failure | undefined> {
    const { reader, era } = this.options
    if (known.era !== era.current) known.next = 0
    const read = await reader.readAvailable(streamTopic, partition, known.next)
    if (read.isErr) return read.error
    known.next = read.value.next
    known.era = read.value.era
    for (const record of read.value.records) {
      const begin = decodeBegin(record)
      if (begin === undefined) continue
      const others = known.begins.get(keyOf(begin)) ?? []
      const isKnown = others.some(({ version }) => version === begin.version)
      // Two are enough to show that the version is uncertain.
      if (!isKnown && others.length < 2) known.begins.set(keyOf(begin), [...others, begin])
    }
    return undefined
  }

  /** Publishes the queued begins of the partition of the first one with one append. */
  private async sendQueued (signal: AbortSignal): Promise<void> {
    const { writer, clock, events } = this.options
    const partition = this.partitionOf(this.queued[0]!)
    const batch = this.queued.filter(begin => this.partitionOf(begin) === partition)
    this.queued.splice(0, this.queued.length, ...this.queued.filter(begin => this.partitionOf(begin) !== partition))
    for (let tries = 1; !signal.aborted; tries += 1) {
      const appended = await writer.append(streamTopic, batch.map(encodeBegin), { partition, signal })
      if (appended.isOk) return events.debug('stream_begins_published', { partition, count: batch.length })
      if (tries >= maxTries) return this.logDropped(batch.length, appended.error.message)
      await clock.sleep(retryMilliseconds, signal)
    }
  }

  private logDropped (count: number, reason: string): void {
    this.options.events.warn('stream_begins_dropped', { count, reason })
  }

  private partitionOf ({ request }: StreamId): number {
    return this.options.hash.h32(request) % streamPartitions
  }
}

function keyOf ({ pool, request }: StreamId): string {
  return `${pool} ${request}`
}

function encodeBegin ({ request, pool, version, worker }: StreamBegin): KeyedRecord {
  return { key: request, value: Buffer.from(JSON.stringify({ pool, version, worker })) }
}

/** Decodes a record; undefined if it states no begin of a stream. */
function decodeBegin ({ key, value }: KeyedRecord): StreamBegin | undefined {
  const request = requestIdSchema.safeParse(key)
  const parsed = beginSchema.safeParse(parseJson(value?.toString('utf8') ?? ''))
  return request.success && parsed.success ? { request: request.data, ...parsed.data } : undefined
}

/** Decodes a record; undefined if it states no versions. */
function decodeRegistered ({ key, value }: KeyedRecord): Array<[Pool, ReadonlySet<string>]> | undefined {
  const pool = poolSchema.safeParse(key)
  const parsed = registeredSchema.safeParse(parseJson(value?.toString('utf8') ?? ''))
  return pool.success && parsed.success ? [[pool.data, new Set(parsed.data.versions)]] : undefined
}

/**
 * Client of the platform's metadata store: a partitioned log with consumer groups and with compacted topics, which keep
 * the newest record of each key. No other file depends on the store's HTTP interface.
 */
import { Result } from 'true-myth'
import { Client } from 'undici'
import { z } from 'zod'
import { type Failure, failure, parseJson, timeoutSignal } from '../common/index.js'
import type { StoreAvailability } from './StoreAvailability.js'
import { StoreEra } from './StoreEra.js'

/** A record of a compacted topic. */
export interface KeyedRecord {
  key: string
  /** Undefined if the key was deleted. */
  value: Buffer | undefined
}

/** Records from one read. */
export interface RecordPage {
  records: KeyedRecord[]
  /** Offset at which the next read starts. */
  next: number
  /** Era of the store; offsets are valid within one era only. */
  era: number
}

/** The newest records of all keys of a topic. */
export interface NewestRecords {
  records: KeyedRecord[]
  /** Offset from which later changes can be read. */
  end: number
  /** Era of the store; offsets are valid within one era only. */
  era: number
}

/** Result of a read: its records, or `expired` if the store no longer retains all records starting at the offset. */
export type ReadOutcome = RecordPage | 'expired'

/** Time limit for connecting to the store, in milliseconds; a round trip takes a few milliseconds. */
const connectTimeoutMilliseconds = 700

/**
 * Time limit for a response in milliseconds, in addition to the wait that a long poll asks for. A response usually
 * takes 4 ms, and 60 times as long when the store is slow.
 */
const responseTimeoutMilliseconds = 700

/**
 * Maximum size of a response in bytes; the connection is closed at the first byte beyond it. The store returns about 1 MB
 * of records or keys at once, and base64 adds a third.
 */
export const maxResponseBytes = 4_194_304

/** Maximum size of the keys and values that one read of the newest records keeps, in bytes. */
const maxNewestBytes = 16_777_216

/** Maximum size of all responses of such a read, in bytes: the 400 MB that the store holds at most, in base64. */
const maxNewestResponseBytes = 600_000_000

/** Stands for the value of a record that its reader cannot use. */
const unusableValue = Buffer.alloc(0)

/** Name of the header field with the era of the store, lower case. */
const eraHeaderName = 'store-era'

/** Limits of the store: length of a key, size of a record, and size of the records of one append, in bytes. */
export const maxKeyBytes = 255
const maxRecordBytes = 262_144
const maxAppendBytes = 2_097_152

/** Sizes in the response to a read: the length prefix of each record, and each of the two offsets before the records. */
const recordLengthBytes = 4
const offsetBytes = 8

const newestSchema = z.object({
  items: z.array(z.object({ key: z.string(), value: z.string() })),
  truncated: z.boolean(),
  end: z.number().int().nonnegative()
})

interface StoreRequest {
  method: 'GET' | 'POST'
  path: string
  /** A buffer is sent as it is, anything else as JSON. */
  body?: unknown
  waitMilliseconds?: number
  signal?: AbortSignal | undefined
}

interface StoreResponse { status: number, body: Buffer, era: number }

/** The offsets that an append wrote. If it took several calls, records of other writers may lie between its own. */
export interface AppendedRecords {
  /** Offset of the first record. */
  offset: number
  /** Offset after the last record. */
  end: number
}

const appendSchema = z.object({ offset: z.number().int().nonnegative(), end: z.number().int().nonnegative() })

const expiredSchema = z.object({ first: z.number().int().nonnegative() })

/** Maximum number of responses that one read of all available records takes. */
const maxAvailablePages = 64

/** Options of an append. */
export interface AppendOptions {
  /** Default: 0. */
  partition?: number
  /** The records are written only if the topic ends at this offset; they have to fit into one call. */
  at?: number
  signal?: AbortSignal | undefined
}

/** A member's assignment in a group. */
export interface JoinResult {
  /** Increases with each change of the group's members; a restored store counts on from its copy. */
  generation: number
  /** Era of the store. */
  era: number
  /** Partitions that are assigned to the member. */
  partitions: Array<{ topic: string, partition: number }>
}

/** Each element of `parts` consists of topic, partition and committed offset. */
const joinSchema = z.object({
  generation: z.number().int(),
  parts: z.array(z.tuple([z.string(), z.number().int(), z.number()]).rest(z.unknown()))
})

/** A partition and the member of a group to which it is assigned. */
export interface PartitionOwner { topic: string, partition: number, member: string }

/** Each element of `parts` consists of topic, partition, member and committed offset. */
const ownersSchema = z.object({
  parts: z.array(z.tuple([z.string(), z.number().int(), z.string()]).rest(z.unknown()))
})

/** Statuses with which the store refuses a call that it could answer at other times. */
const refusalStatuses: ReadonlySet<number> = new Set([429, 503])

/** HTTP client of the store. Each instance keeps one connection and makes one call at a time. */
export class StoreClient {
  private client: Client | undefined
  /** True if the present connection has carried an answered call, so that a later failure may be that of the connection. */
  private hasProvenConnection = false

  /** `address`: `ip:port`; `era` and `availability` are shared by the clients of a host. */
  constructor (
    private readonly address: string,
    private readonly era = new StoreEra(),
    private readonly availability?: StoreAvailability
  ) {}

  /**
   * Reads the newest record of each key. The values of records that `isUsable` rejects are dropped page by page, so that
   * other writers cannot fill the memory of the host: these records have an empty value. Errors: `platform_unavailable`.
   */
  async newest (
    topic: string,
    signal?: AbortSignal,
    isUsable: (record: KeyedRecord) => boolean = () => true
  ): Promise<Result<NewestRecords, Failure>> {
    const records: KeyedRecord[] = []
    let end: number | undefined
    let era: number | undefined
    let after: string | undefined
    let keptBytes = 0
    let responseBytes = 0
    for (;;) {
      const query = new URLSearchParams({ topic, part: '0', ...(after === undefined ? {} : { after }) })
      const response = await this.send({ method: 'GET', path: `/v1/log-newest?${query}`, signal })
      if (response.isErr) return Result.err(response.error)
      responseBytes += response.value.body.length
      const page = newestSchema.safeParse(parseJson(response.value.body.toString('utf8')))
      if (response.value.status !== 200 || !page.success) return Result.err(unexpectedStatus('a read of the newest records', response.value.status))
      era ??= response.value.era
      if (response.value.era !== era) return Result.err(failure('platform_unavailable', `the store was restored while ${topic} was read`))
      // The pages are not one snapshot: changes between two pages are read again from the end offset of the first page.
      end ??= page.data.end
      for (const item of page.data.items) {
        const record = { key: item.key, value: Buffer.from(item.value, 'base64') }
        if (!isUsable(record)) record.value = unusableValue
        keptBytes += record.key.length + record.value.length
        records.push(record)
      }
      if (keptBytes > maxNewestBytes || responseBytes > maxNewestResponseBytes) {
        const reason = `the newest records of ${topic} exceed ${maxNewestBytes} bytes, or ${maxNewestResponseBytes} with those that are unusable`
        return Result.err(failure('platform_unavailable', reason))
      }
      after = page.data.items.at(-1)?.key
      if (!page.data.truncated || after === undefined) return Result.ok({ records, end, era })
    }
  }

  /**
   * Reads records starting at an offset; without any, waits up to `waitMilliseconds` for the next one. Errors:
   * `platform_unavailable`.
   */
  async read (
    topic: string,
    from: number,
    waitMilliseconds: number,
    signal?: AbortSignal
  ): Promise<Result<ReadOutcome, Failure>> {
    const query = new URLSearchParams({ topic, part: '0', from: String(from), 'wait-ms': String(waitMilliseconds) })
    const response = await this.send({ method: 'GET', path: `/v1/log-read?${query}`, waitMilliseconds, signal })
    if (response.isErr) return Result.err(response.error)
    const { status, body, era } = response.value
    if (status === 410) return Result.ok('expired')
    if (status !== 200) return Result.err(unexpectedStatus('a read', status))
    const page = parseRecords(body, from)
    if (page === undefined) return Result.err(failure('platform_unavailable', 'the store answered a read with malformed records'))
    return Result.ok({ ...page, era })
  }

  /**
   * Reads the records of a partition from an offset to its end without waiting. Records that the store no longer has are left
   * out. Errors: `platform_unavailable`.
   */
  async readAvailable (topic: string, partition: number, from: number): Promise<Result<RecordPage, Failure>> {
    const records: KeyedRecord[] = []
    let next = from
    for (let pages = 0; pages < maxAvailablePages; pages += 1) {
      const query = new URLSearchParams({ topic, part: String(partition), from: String(next) })
      const response = await this.send({ method: 'GET', path: `/v1/log-read?${query}` })
      if (response.isErr) return Result.err(response.error)
      const { status, body, era } = response.value
      const expired = status === 410 ? expiredSchema.safeParse(parseJson(body.toString('utf8'))) : undefined
      if (expired?.success === true && expired.data.first !== next) {
        next = expired.data.first
        continue
      }
      const page = status === 200 ? parseRecords(body, next) : undefined
      if (page === undefined) return Result.err(unexpectedStatus('a read', status))
      records.push(...page.records)
      if (page.next === next) return Result.ok({ records, next, era })
      next = page.next
      if (BigInt(next) === body.readBigUInt64BE(0)) return Result.ok({ records, next, era })
    }
    return Result.err(failure('platform_unavailable', `${topic} has more records than one read takes`))
  }

  /**
   * Appends records to a topic, with as many calls as the limits of the store require. After a failure some records may
   * have been appended, or may be appended later. Errors: `platform_unavailable`; `bad_request` if a record exceeds the
   * limits of the store.
   */
  async append (
    topic: string,
    records: readonly KeyedRecord[],
    { partition = 0, at, signal }: AppendOptions = {}
  ): Promise<Result<AppendedRecords, Failure>> {
    const tooLarge = records.find(record => !isAppendable(record))
    if (tooLarge !== undefined) return Result.err(failure('bad_request', `a record of ${topic} exceeds the limits of the store`))
    const query = new URLSearchParams({ topic, part: String(partition), ...(at === undefined ? {} : { at: String(at) }) })
    let offset: number | undefined
    let end = 0
    for (const body of splitAppend(records.map(encodeKeyedRecord))) {
      const response = await this.send({ method: 'POST', path: `/v1/log-append?${query}`, body, signal })
      if (response.isErr) return Result.err(response.error)
      const appended = appendSchema.safeParse(parseJson(response.value.body.toString('utf8')))
      if (response.value.status !== 200 || !appended.success) return Result.err(unexpectedStatus('an append', response.value.status))
      offset ??= appended.data.offset
      end = appended.data.end
    }
    return Result.ok({ offset: offset ?? end, end })
  }

  /** Joins a group or renews the membership. Errors: `platform_unavailable`. */
  async join (
    group: string,
    member: string,
    options: { topics: string[], timeToLiveMilliseconds: number, generation: number, signal?: AbortSignal | undefined }
  ): Promise<Result<JoinResult, Failure>> {
    const { topics, timeToLiveMilliseconds, generation, signal } = options
    const body = { group, member, topics, 'ttl-ms': timeToLiveMilliseconds, generation }
    const response = await this.send({ method: 'POST', path: '/v1/log-join', body, signal })
    if (response.isErr) return Result.err(response.error)
    const joined = joinSchema.safeParse(parseJson(response.value.body.toString('utf8')))
    if (response.value.status !== 200 || !joined.success) return Result.err(unexpectedStatus('a group join', response.value.status))
    const partitions = joined.data.parts.map(([topic, partition]) => ({ topic, partition }))
    return Result.ok({ generation: joined.data.generation, era: response.value.era, partitions })
  }

  /**
   * Commits an offset of a partition. Returns false if the partition is not assigned to the member or the generation is
   * not the current one. Errors: `platform_unavailable`.
   */
  async commit (
    group: string,
    member: string,
    { generation, topic, partition, offset }: { generation: number, topic: string, partition: number, offset: number }
  ): Promise<Result<boolean, Failure>> {
    const body = { group, member, generation, topic, part: partition, offset }
    const response = await this.send({ method: 'POST', path: '/v1/log-commit', body })
    if (response.isErr) return Result.err(response.error)
    const { status } = response.value
    return status === 200 || status === 409 ? Result.ok(status === 200) : Result.err(unexpectedStatus('an offset commit', status))
  }

  /** Reads which member holds each partition of a group's topics. Errors: `platform_unavailable`. */
  async owners (group: string, signal?: AbortSignal): Promise<Result<PartitionOwner[], Failure>> {
    const response = await this.send({ method: 'GET', path: `/v1/log-owners?${new URLSearchParams({ group })}`, signal })
    if (response.isErr) return Result.err(response.error)
    const owners = ownersSchema.safeParse(parseJson(response.value.body.toString('utf8')))
    if (response.value.status !== 200 || !owners.success) return Result.err(unexpectedStatus('a read of a group', response.value.status))
    return Result.ok(owners.data.parts.map(([topic, partition, member]) => ({ topic, partition, member })))
  }

  /** Leaves a group. Errors: `platform_unavailable`. */
  async leave (group: string, member: string): Promise<Result<void, Failure>> {
    const response = await this.send({ method: 'POST', path: '/v1/log-leave', body: { group, member } })
    if (response.isErr) return Result.err(response.error)
    return response.value.status === 200 ? Result.ok(undefined) : Result.err(unexpectedStatus('a group leave', response.value.status))
  }

  /** Closes the connection. */
  async close (): Promise<void> {
    const { client } = this
    this.client = undefined
    await client?.destroy()
  }

  private async send (
    { method, path, body, waitMilliseconds = 0, signal }: StoreRequest
  ): Promise<Result<StoreResponse, Failure>> {
    this.client ??= this.openClient()
    try {
      const response = await this.client.request({
        method,
        path,
        ...bodyOptions(body),
        signal: timeoutSignal(waitMilliseconds + responseTimeoutMilliseconds, signal)
      })
      const responseBody = Buffer.from(await response.body.arrayBuffer())
      this.recordAnswer(response.statusCode)
      const statedEra = response.headers[eraHeaderName]
      const era = this.era.accept(typeof statedEra === 'string' ? statedEra : undefined)
      if (era === undefined) return Result.err(failure('platform_unavailable', `${method} ${path}: the response is from before a restore of the store`))
      return Result.ok({ status: response.statusCode, body: responseBody, era })
    } catch (caught) {
      if (!signal?.aborted && !this.hasProvenConnection) this.availability?.recordFailure()
      // A connection that lost a response delivers no later ones, so the next call opens another connection.
      await this.close()
      return Result.err(failure('platform_unavailable', `${method} ${path}: ${(caught as Error).message}`))
    }
  }

  private openClient (): Client {
    const client = new Client(`http://${this.address}`, {
      connectTimeout: connectTimeoutMilliseconds,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 60_000,
      maxResponseSize: maxResponseBytes
    })
    this.hasProvenConnection = false
    client.on('connect', () => { if (client === this.client) this.hasProvenConnection = false })
    return client
  }

  private recordAnswer (status: number): void {
    this.hasProvenConnection = true
    if (refusalStatuses.has(status)) this.availability?.recordFailure()
    else this.availability?.recordAnswer()
  }
}

function bodyOptions (body: unknown): { body?: string | Buffer, headers?: Record<string, string> } {
  if (body === undefined) return {}
  if (Buffer.isBuffer(body)) return { body, headers: { 'content-type': 'application/octet-stream' } }
  return { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }
}

function unexpectedStatus (operation: string, status: number): Failure {
  return failure('platform_unavailable', `the store answered ${operation} with an unusable response of status ${status}`)
}

/**
 * Parses the body of the response to a read: end offset, first retained offset, then the records. Undefined if the body
 * is malformed, or if it ends beyond the end of the topic: it is then the response to a read from a lower offset.
 */
export function parseRecords (body: Buffer, from: number): Omit<RecordPage, 'era'> | undefined {
  if (body.length < 2 * offsetBytes) return undefined
  const records: KeyedRecord[] = []
  let count = 0
  for (let position = 2 * offsetBytes; position < body.length;) {
    if (position + recordLengthBytes > body.length) return undefined
    const start = position + recordLengthBytes
    const end = start + body.readUInt32BE(position)
    if (end > body.length) return undefined
    const record = parseKeyedRecord(body.subarray(start, end))
    if (record !== undefined) records.push(record)
    count += 1
    position = end
  }
  const next = from + count
  return BigInt(next) <= body.readBigUInt64BE(0) ? { records, next } : undefined
}

/** Parses a record: the length of the key in one byte, the key, and the value. An empty value deletes the key. */
function parseKeyedRecord (record: Buffer): KeyedRecord | undefined {
  const keyBytes = record[0]
  if (keyBytes === undefined || record.length < 1 + keyBytes) return undefined
  const value = record.subarray(1 + keyBytes)
  return { key: record.toString('utf8', 1, 1 + keyBytes), value: value.length === 0 ? undefined : Buffer.from(value) }
}

/** True if a record is within the limits of the store. */
function isAppendable ({ key, value }: KeyedRecord): boolean {
  const keyBytes = Buffer.byteLength(key)
  return keyBytes <= maxKeyBytes && 1 + keyBytes + (value?.length ?? 0) <= maxRecordBytes
}

/** Encodes a record with its length prefix. */
function encodeKeyedRecord ({ key, value }: KeyedRecord): Buffer {
  const keyBytes = Buffer.from(key)
  const lengths = Buffer.alloc(recordLengthBytes + 1, keyBytes.length)
  const record = Buffer.concat([lengths, keyBytes, ...(value === undefined ? [] : [value])])
  record.writeUInt32BE(record.length - recordLengthBytes, 0)
  return record
}

/** Joins encoded records into as few request bodies as the size limit of an append allows. */
function splitAppend (records: readonly Buffer[]): Buffer[] {
  const bodies: Buffer[][] = []
  let bytes = Infinity
  for (const record of records) {
    if (bytes + record.length > maxAppendBytes) {
      bodies.push([])
      bytes = 0
    }
    bodies.at(-1)!.push(record)
    bytes += record.length
  }
  return bodies.map(body => Buffer.concat(body))
}

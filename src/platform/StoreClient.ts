/**
 * Client of the platform's metadata store, a log with partitions and with topics that keep the newest record of
 * each key. Only this file knows its calls.
 */
import { Result } from 'true-myth'
import { Client } from 'undici'
import { z } from 'zod'
import { type Failure, failure, parseJson } from '../common/index.js'

/** A record of a topic that keeps the newest of each key. */
export interface KeyedRecord {
  key: string
  /** Undefined if the key was deleted. */
  value: Buffer | undefined
}

/** Records from one read. */
export interface RecordPage {
  records: KeyedRecord[]
  /** Offset to read from next. */
  next: number
}

/** The newest records of all keys of a topic. */
export interface NewestRecords {
  records: KeyedRecord[]
  /** Offset from which later changes can be read. */
  end: number
}

/** What became of a read: its records, or `expired` if the store no longer has them. */
export type ReadOutcome = RecordPage | 'expired'

/** Time for setting up a connection to the store, in milliseconds; its round trip is a few milliseconds. */
const connectTimeoutMilliseconds = 700

/** Time for an answer beyond the wait that the call asks for, in milliseconds; 4 ms are usual, 60 times that when slow. */
const answerTimeoutMilliseconds = 700

/** Bytes of the length in front of each record, and of each of the two offsets in front of a read's records. */
const recordLengthBytes = 4
const offsetBytes = 8

const newestSchema = z.object({
  items: z.array(z.object({ key: z.string(), value: z.string() })),
  truncated: z.boolean(),
  end: z.number().int().nonnegative()
})

interface Call { method: 'GET' | 'POST', path: string, body?: unknown, waitMilliseconds?: number, signal?: AbortSignal | undefined }

interface Answer { status: number, body: Buffer }

/** A member's place in a group. */
export interface JoinAnswer {
  /** Grows with each change of the group. */
  generation: number
  /** Partitions that belong to the member, as topic and number. */
  partitions: Array<{ topic: string, partition: number }>
}

/** Rows are topic, partition and committed offset. */
const joinSchema = z.object({
  generation: z.number().int(),
  parts: z.array(z.tuple([z.string(), z.number().int(), z.number()]).rest(z.unknown()))
})

/** The store over HTTP. Each instance keeps one connection and serves one call at a time. */
export class StoreClient {
  private client: Client | undefined

  /** `address`: `ip:port` */
  constructor (private readonly address: string) {}

  /** The newest record of each key. Errors: `platform_unavailable`. */
  async newest (topic: string, signal?: AbortSignal): Promise<Result<NewestRecords, Failure>> {
    const records: KeyedRecord[] = []
    let end: number | undefined
    let after: string | undefined
    for (;;) {
      const query = new URLSearchParams({ topic, part: '0', ...(after === undefined ? {} : { after }) })
      const answer = await this.call({ method: 'GET', path: `/v1/log-newest?${query}`, signal })
      if (answer.isErr) return Result.err(answer.error)
      const page = newestSchema.safeParse(parseJson(answer.value.body.toString('utf8')))
      if (answer.value.status !== 200 || !page.success) return Result.err(unexpected('the newest records', answer.value.status))
      // Pages are not a snapshot: what changes between them is read again from the end of the first.
      end ??= page.data.end
      for (const { key, value } of page.data.items) records.push({ key, value: Buffer.from(value, 'base64') })
      after = page.data.items.at(-1)?.key
      if (!page.data.truncated || after === undefined) return Result.ok({ records, end })
    }
  }

  /** Records from an offset; waits for one at most the given time. Errors: `platform_unavailable`. */
  async read (
    topic: string,
    from: number,
    waitMilliseconds: number,
    signal?: AbortSignal
  ): Promise<Result<ReadOutcome, Failure>> {
    const query = new URLSearchParams({ topic, part: '0', from: String(from), 'wait-ms': String(waitMilliseconds) })
    const answer = await this.call({ method: 'GET', path: `/v1/log-read?${query}`, waitMilliseconds, signal })
    if (answer.isErr) return Result.err(answer.error)
    const { status, body } = answer.value
    if (status === 410) return Result.ok('expired')
    if (status !== 200) return Result.err(unexpected('a read', status))
    const page = parseRecords(body, from)
    if (page === undefined) return Result.err(failure('platform_unavailable', 'the store answered a read with malformed records'))
    return Result.ok(page)
  }

  /** Joins a group or stays in it. Errors: `platform_unavailable`. */
  async join (
    group: string,
    member: string,
    options: { topics: string[], timeToLiveMilliseconds: number, generation: number, signal?: AbortSignal | undefined }
  ): Promise<Result<JoinAnswer, Failure>> {
    const { topics, timeToLiveMilliseconds, generation, signal } = options
    const body = { group, member, topics, 'ttl-ms': timeToLiveMilliseconds, generation }
    const answer = await this.call({ method: 'POST', path: '/v1/log-join', body, signal })
    if (answer.isErr) return Result.err(answer.error)
    const joined = joinSchema.safeParse(parseJson(answer.value.body.toString('utf8')))
    if (answer.value.status !== 200 || !joined.success) return Result.err(unexpected('a join', answer.value.status))
    const partitions = joined.data.parts.map(([topic, partition]) => ({ topic, partition }))
    return Result.ok({ generation: joined.data.generation, partitions })
  }

  /**
   * Commits an offset of a partition. Returns false if the member does not hold the partition, or not since this
   * generation. Errors: `platform_unavailable`.
   */
  async commit (
    group: string,
    member: string,
    { generation, topic, partition, offset }: { generation: number, topic: string, partition: number, offset: number }
  ): Promise<Result<boolean, Failure>> {
    const body = { group, member, generation, topic, part: partition, offset }
    const answer = await this.call({ method: 'POST', path: '/v1/log-commit', body })
    if (answer.isErr) return Result.err(answer.error)
    const { status } = answer.value
    return status === 200 || status === 409 ? Result.ok(status === 200) : Result.err(unexpected('a commit', status))
  }

  /** Leaves a group. Errors: `platform_unavailable`. */
  async leave (group: string, member: string): Promise<Result<void, Failure>> {
    const answer = await this.call({ method: 'POST', path: '/v1/log-leave', body: { group, member } })
    if (answer.isErr) return Result.err(answer.error)
    return answer.value.status === 200 ? Result.ok(undefined) : Result.err(unexpected('a leave', answer.value.status))
  }

  /** Closes the connection. */
  async close (): Promise<void> {
    const { client } = this
    this.client = undefined
    await client?.destroy()
  }

  private async call ({ method, path, body, waitMilliseconds = 0, signal }: Call): Promise<Result<Answer, Failure>> {
    const timeout = AbortSignal.timeout(waitMilliseconds + answerTimeoutMilliseconds)
    this.client ??= new Client(`http://${this.address}`, {
      connectTimeout: connectTimeoutMilliseconds, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: 60_000
    })
    try {
      const answer = await this.client.request({
        method,
        path,
        ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
        signal: signal === undefined ? timeout : AbortSignal.any([timeout, signal])
      })
      return Result.ok({ status: answer.statusCode, body: Buffer.from(await answer.body.arrayBuffer()) })
    } catch (caught) {
      // A connection that lost an answer returns nothing more.
      await this.close()
      return Result.err(failure('platform_unavailable', `${method} ${path}: ${(caught as Error).message}`))
    }
  }
}

function unexpected (what: string, status: number): Failure {
  return failure('platform_unavailable', `the store answered ${what} with status ${status}`)
}

/** Reads the end, the first retained offset and the records; undefined if the bytes are malformed. */
export function parseRecords (body: Buffer, from: number): RecordPage | undefined {
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
  return { records, next: from + count }
}

/** A record is the length of its key in one byte, the key, and the value; without a value the key is deleted. */
function parseKeyedRecord (record: Buffer): KeyedRecord | undefined {
  const keyBytes = record[0]
  if (keyBytes === undefined || record.length < 1 + keyBytes) return undefined
  const value = record.subarray(1 + keyBytes)
  return { key: record.toString('utf8', 1, 1 + keyBytes), value: value.length === 0 ? undefined : Buffer.from(value) }
}

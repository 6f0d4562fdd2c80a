/**
 * Client of the platform's metadata store, a log with partitions and with topics that keep the newest record of
 * each key. Only this file knows its calls.
 */
import { Result } from 'true-myth'
import { Client } from 'undici'
import { z } from 'zod'
import { type Failure, failure } from '../common/index.js'

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

interface Answer { status: number, body: Buffer }

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
      const answer = await this.call(`/v1/log-newest?${query}`, 0, signal)
      if (answer.isErr) return Result.err(answer.error)
      const page = newestSchema.safeParse(parseJson(answer.value.body))
      if (answer.value.status !== 200 || !page.success) return Result.err(unexpected('the newest records', answer.value.status))
      // Pages are not a snapshot: what changes between them is read again from the end of the first.
      end ??= page.data.end
      for (const { key, value } of page.data.items) records.push({ key, value: Buffer.from(value, 'base64') })
      after = page.data.items.at(-1)?.key
      if (!page.data.truncated || after === undefined) return Result.ok({ records, end })
    }
  }

  /** Records from an offset; waits for one at most the given time. Errors: `platform_unavailable`. */
  async read (topic: string, from: number, waitMilliseconds: number, signal?: AbortSignal): Promise<Result<ReadOutcome, Failure>> {
    const query = new URLSearchParams({ topic, part: '0', from: String(from), 'wait-ms': String(waitMilliseconds) })
    const answer = await this.call(`/v1/log-read?${query}`, waitMilliseconds, signal)
    if (answer.isErr) return Result.err(answer.error)
    const { status, body } = answer.value
    if (status === 410) return Result.ok('expired')
    if (status !== 200) return Result.err(unexpected('a read', status))
    const page = parseRecords(body, from)
    return page === undefined ? Result.err(failure('platform_unavailable', 'the store answered a read with malformed records')) : Result.ok(page)
  }

  /** Closes the connection. */
  async close (): Promise<void> {
    await this.client?.destroy()
    this.client = undefined
  }

  private async call (path: string, waitMilliseconds: number, signal?: AbortSignal): Promise<Result<Answer, Failure>> {
    const timeout = AbortSignal.timeout(waitMilliseconds + answerTimeoutMilliseconds)
    this.client ??= new Client(`http://${this.address}`, {
      connectTimeout: connectTimeoutMilliseconds, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: 60_000
    })
    try {
      const answer = await this.client.request({
        method: 'GET', path, signal: signal === undefined ? timeout : AbortSignal.any([timeout, signal])
      })
      return Result.ok({ status: answer.statusCode, body: Buffer.from(await answer.body.arrayBuffer()) })
    } catch (caught) {
      // A connection that lost an answer returns nothing more.
      await this.close()
      return Result.err(failure('platform_unavailable', `GET ${path}: ${(caught as Error).message}`))
    }
  }
}

function unexpected (what: string, status: number): Failure {
  return failure('platform_unavailable', `the store answered ${what} with status ${status}`)
}

function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    return undefined
  }
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

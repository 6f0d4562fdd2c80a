/**
 * Client of the platform's append-only log. Offsets in a stream increase without gaps; records are kept for a
 * limited time. The response to an append can be lost after the append took effect: the client then returns
 * `outcome_unknown`, and the caller reads the stream to find out whether it holds the id of its record.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Failure, failure, failureFromBody, type Offset, offsetSchema } from '../common/index.js'
import { HttpClient } from './HttpClient.js'

/** Names of the streams of the log. */
export const streamNameSchema = z.enum(['configuration', 'leases', 'orders', 'use', 'claims'])
export type StreamName = z.infer<typeof streamNameSchema>

/** A record as the log stores it; `value` is its text. */
export const logRecordSchema = z.object({
  offset: offsetSchema,
  /** Unix time in milliseconds at which the log stored the record; for display only. */
  at: z.number(),
  value: z.string()
})
export type LogRecord = z.infer<typeof logRecordSchema>

/** The records that one read of a stream returned, and the range of offsets that the log retains. */
export const logPageSchema = z.object({
  /** First retained offset; equals `nextOffset` when no record is retained. */
  startOffset: offsetSchema,
  /** Offset of the next record that is appended. */
  nextOffset: offsetSchema,
  records: z.array(logRecordSchema)
})
export type LogPage = z.infer<typeof logPageSchema>

/** The records that a read returns, and how long it waits for them. */
export interface ReadOptions {
  /** Offset of the first record to read. If it is below the first retained offset, the read starts at that one. */
  from: Offset
  /** Maximum number of records to return. */
  limit: number
  /** How long the log waits for a record if there is none at `from` yet, in milliseconds. */
  waitMilliseconds: number
  signal?: AbortSignal
}

const appendResponseSchema = z.object({ firstOffset: offsetSchema })

/** Appends records to the streams of the log and reads them. */
export abstract class LogClient {
  /**
   * Appends records in one call, at consecutive offsets, and returns the first of these.
   * Errors: `platform_unavailable` and `overloaded` (certainly not appended), `outcome_unknown`.
   */
  abstract append (stream: StreamName, values: string[], signal?: AbortSignal): Promise<Result<Offset, Failure>>

  /** Reads records. Errors: `platform_unavailable`. */
  abstract read (stream: StreamName, options: ReadOptions): Promise<Result<LogPage, Failure>>
}

/** Maximum size of the response to a read, in bytes. */
export const maxLogResponseBytes = 67_108_864

/** Time limit for a response of the log, not counting the wait for a record. */
const responseTimeoutMilliseconds = 3000

/** HTTP client of the log. */
export class HttpLogClient extends LogClient {
  private readonly http: HttpClient

  constructor (origin: string) {
    super()
    this.http = new HttpClient(origin)
  }

  async append (stream: StreamName, values: string[], signal?: AbortSignal): Promise<Result<Offset, Failure>> {
    const sent = await this.http.send({
      method: 'POST',
      path: `/streams/${stream}/records`,
      body: { records: values },
      timeoutMilliseconds: responseTimeoutMilliseconds,
      signal
    })
    if (sent.isErr) return Result.err(sent.error)
    const { status, body } = sent.value
    if (status === 429) return Result.err(failure('overloaded', 'the append exceeds the rate limit of the log'))
    if (status === 503) return Result.err(failureFromBody(body) ?? failure('platform_unavailable', 'the log is unavailable'))
    const parsed = appendResponseSchema.safeParse(body)
    if (status !== 200 || !parsed.success) {
      return Result.err(failure('outcome_unknown', `unexpected response from the log to an append: status ${status}`))
    }
    return Result.ok(parsed.data.firstOffset)
  }

  async read (stream: StreamName, options: ReadOptions): Promise<Result<LogPage, Failure>> {
    const sent = await this.http.send({
      method: 'GET',
      path: `/streams/${stream}/records?from=${options.from}&limit=${options.limit}&wait-ms=${options.waitMilliseconds}`,
      timeoutMilliseconds: responseTimeoutMilliseconds + options.waitMilliseconds,
      maxResponseBytes: maxLogResponseBytes,
      signal: options.signal
    })
    if (sent.isErr) return Result.err(failure('platform_unavailable', sent.error.message))
    const page = logPageSchema.safeParse(sent.value.body)
    if (sent.value.status !== 200 || !page.success) {
      return Result.err(failure('platform_unavailable', `unexpected response from the log to a read: status ${sent.value.status}`))
    }
    return Result.ok(page.data)
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.http.close()
  }
}

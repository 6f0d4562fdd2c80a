/**
 * Client of the platform's append-only log. Offsets in a stream are dense and only grow; records are kept
 * for a limited time. The answer to an append can be lost after the append took effect: the client then
 * returns `outcome_unknown`, and the caller finds out by reading the stream for its record's id.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Failure, failure, failureFromBody, type Offset, offsetSchema } from '../common/index.js'
import { HttpClient } from './HttpClient.js'

/** Names of the log's streams. */
export const streamNameSchema = z.enum(['configuration', 'leases', 'orders', 'use', 'claims'])
export type StreamName = z.infer<typeof streamNameSchema>

/** One record of a stream. */
export const logRecordSchema = z.object({
  offset: offsetSchema,
  /** Unix time in milliseconds at which the log stored the record; for display only. */
  at: z.number(),
  value: z.string()
})
export type LogRecord = z.infer<typeof logRecordSchema>

/** Records of a stream from one read. */
export const logPageSchema = z.object({
  /** First retained offset; equals `nextOffset` when no record is retained. */
  startOffset: offsetSchema,
  /** Offset that the next append will get. */
  nextOffset: offsetSchema,
  records: z.array(logRecordSchema)
})
export type LogPage = z.infer<typeof logPageSchema>

/** What to read. */
export interface ReadOptions {
  /** First offset wanted; a smaller one than the first retained offset reads from there. */
  from: Offset
  /** Most records in the answer. */
  limit: number
  /** How long the log waits for a record when there is none yet, in milliseconds. */
  waitMilliseconds: number
  signal?: AbortSignal
}

const appendAnswerSchema = z.object({ firstOffset: offsetSchema })

/** The log as its users see it. */
export abstract class LogClient {
  /**
   * Appends records in one call, at consecutive offsets.
   * Errors: `platform_unavailable` and `overloaded` (certainly not appended), `outcome_unknown`.
   */
  abstract append (stream: StreamName, values: string[], signal?: AbortSignal): Promise<Result<Offset, Failure>>

  /** Reads records. Errors: `platform_unavailable`. */
  abstract read (stream: StreamName, options: ReadOptions): Promise<Result<LogPage, Failure>>
}

/** Time after which an answer of the log is given up, in milliseconds. */
const answerTimeoutMilliseconds = 3000

/** The log over HTTP. */
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
      timeoutMilliseconds: answerTimeoutMilliseconds,
      signal
    })
    if (sent.isErr) return Result.err(sent.error)
    const { status, body } = sent.value
    if (status === 429) return Result.err(failure('overloaded', 'the log refused the append: rate limit'))
    if (status === 503) return Result.err(failureFromBody(body) ?? failure('platform_unavailable', 'the log is unavailable'))
    const answer = appendAnswerSchema.safeParse(body)
    if (status !== 200 || !answer.success) {
      return Result.err(failure('outcome_unknown', `unexpected answer of the log to an append: status ${status}`))
    }
    return Result.ok(answer.data.firstOffset)
  }

  async read (stream: StreamName, options: ReadOptions): Promise<Result<LogPage, Failure>> {
    const sent = await this.http.send({
      method: 'GET',
      path: `/streams/${stream}/records?from=${options.from}&limit=${options.limit}&wait-ms=${options.waitMilliseconds}`,
      timeoutMilliseconds: answerTimeoutMilliseconds + options.waitMilliseconds,
      signal: options.signal
    })
    if (sent.isErr) return Result.err(failure('platform_unavailable', sent.error.message))
    const page = logPageSchema.safeParse(sent.value.body)
    if (sent.value.status !== 200 || !page.success) {
      return Result.err(failure('platform_unavailable', `unexpected answer of the log to a read: status ${sent.value.status}`))
    }
    return Result.ok(page.data)
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.http.close()
  }
}

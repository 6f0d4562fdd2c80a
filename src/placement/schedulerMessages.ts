/**
 * Messages between a scheduler and the hosts that ask it, one JSON document a line. They do not use gRPC: a unary call
 * costs both sides over a millisecond of processor time, and a scheduler answers hundreds of questions a second.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Failure, failure, parseJson, poolSchema, workerIdSchema, zoneSchema } from '../common/index.js'
import { hostReportSchema } from '../duties/index.js'
import type { WorkerLimit } from '../upstreams/index.js'
import { promptOutcomes } from './PromptTask.js'

/** Maximum length of a line, in bytes. A prompt of 500 parts takes about 20 KB. */
export const maxLineBytes = 65_536

const id = z.string().min(1).max(100)
const cell = { pool: poolSchema, zone: zoneSchema.optional() }

/** What a host knows of limits: worker, requests a second (`null`: none any more), age in milliseconds. */
const limits = z.array(z.tuple([workerIdSchema, z.number().nonnegative().nullable(), z.number().nonnegative()])).optional()

/** Number of hosts that ask the scheduler, with what it has learned of limits from all of them; absent without limits. */
const shared = { hosts: z.number().int().positive().optional(), limits }

/** What hosts send to a scheduler. */
export const schedulerRequestSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('place'),
    ...cell,
    id,
    /** Client account of the prompt; absent without accounts, and from hosts that do not know them. */
    account: z.string().min(1).max(255).optional(),
    /** Id and number of tokens of each part. */
    parts: z.array(z.tuple([z.string(), z.number().nonnegative()])),
    /** Milliseconds until the prompt has to be computed; negative if it is late already. */
    due: z.number(),
    /** Milliseconds until the caller gives up. */
    lost: z.number(),
    /** True if the prompt is to be refused unless it can be in time. Schedulers that do not know it take the prompt. */
    only_in_time: z.boolean().optional(),
    limits
  }),
  /** Asks for a permit to send a request to one of the workers, the preferred one first. */
  z.object({
    kind: z.literal('permit'),
    ...cell,
    id,
    workers: z.array(workerIdSchema).min(1),
    urgency: z.number(),
    due: z.number(),
    lost: z.number(),
    limits
  }),
  z.object({ kind: z.literal('end'), ...cell, id, outcome: z.enum(promptOutcomes) }),
  /** The answer ended. `start`: milliseconds until its first event. */
  z.object({ kind: z.literal('answered'), ...cell, id, worker: workerIdSchema.optional(), start: z.number().nonnegative().optional() }),
  /** Uses the connection for another service of the host from now on; the service answers before anything else is sent. */
  z.object({ kind: z.literal('open'), service: z.string().min(1).max(40) }),
  /** Report to the holder of the duties. A host that does not know this kind closes the connection. */
  hostReportSchema.extend({ kind: z.literal('report'), id })
])
export type SchedulerRequest = z.infer<typeof schedulerRequestSchema>

/** A request that the scheduler answers. */
export type SchedulerQuestion = Extract<SchedulerRequest, { kind: 'place' | 'permit' }>

/** A message about a cell of workers. */
export type CellRequest = Exclude<SchedulerRequest, { kind: 'report' | 'open' }>

/** What a scheduler sends to hosts. */
export const schedulerAnswerSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('placed'), id, worker: workerIdSchema, source: workerIdSchema.optional(), answer: workerIdSchema.optional(), ...shared }),
  z.object({ kind: z.literal('refused'), id, retryAfter: z.number().nonnegative(), ...shared }),
  z.object({ kind: z.literal('granted'), id, worker: workerIdSchema, ...shared }),
  z.object({ kind: z.literal('with_answer'), id, answer: workerIdSchema.optional() }),
  z.object({ kind: z.literal('no_worker'), id }),
  /** The host that was asked does not schedule the cell. */
  z.object({ kind: z.literal('not_scheduler'), id }),
  /** The holder of the duties took a report. Counts of the window `settled` and earlier ones no longer matter. */
  z.object({ kind: z.literal('reported'), id, settled: z.number().int().optional() }),
  /** Sent while questions wait for their decision. */
  z.object({ kind: z.literal('alive') })
])
export type SchedulerAnswer = z.infer<typeof schedulerAnswerSchema>

type LimitsField = Pick<SchedulerQuestion, 'limits'>

/** Encodes what this host knows of limits. */
export function encodeLimits (limits: readonly WorkerLimit[], now: number): LimitsField {
  if (limits.length === 0) return {}
  return { limits: limits.map(({ worker, evidence: { perSecond, at } }) => [worker, perSecond ?? null, Math.round(now - at)]) }
}

/** Decodes what another host knows of limits. */
export function decodeLimits ({ limits = [] }: LimitsField, now: number): WorkerLimit[] {
  return limits.map(([worker, perSecond, age]) => ({ worker, evidence: { perSecond: perSecond ?? undefined, at: now - age } }))
}

/** Encodes a message as a line. */
export function encodeLine (message: SchedulerRequest | SchedulerAnswer): string {
  return `${JSON.stringify(message)}\n`
}

const lineFeed = 0x0A

function lineTooLong (maxBytes: number): Failure {
  return failure('bad_request', `a line is longer than ${maxBytes} bytes`)
}

/** Splits received bytes into lines. */
export class LineDecoder<Message> {
  private rest: Buffer = Buffer.alloc(0)

  constructor (private readonly schema: z.ZodType<Message>, private readonly maxBytes = maxLineBytes) {}

  /** The complete messages so far. Errors: `bad_request` if a line is too long or is no message; reading must then end. */
  add (bytes: Buffer): Result<Message[], Failure> {
    const received = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes])
    const messages: Message[] = []
    let start = 0
    for (let end = received.indexOf(lineFeed); end >= 0; end = received.indexOf(lineFeed, start)) {
      if (end - start > this.maxBytes) return Result.err(lineTooLong(this.maxBytes))
      // Decoded as a whole, since the pieces may cut a character.
      const line = received.toString('utf8', start, end)
      const parsed = this.schema.safeParse(parseJson(line))
      if (!parsed.success) return Result.err(failure('bad_request', `a line is no message: ${line.slice(0, 100)}`))
      messages.push(parsed.data)
      start = end + 1
    }
    this.rest = received.subarray(start)
    return this.rest.length > this.maxBytes ? Result.err(lineTooLong(this.maxBytes)) : Result.ok(messages)
  }
}

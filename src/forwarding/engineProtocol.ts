/**
 * The messages between an entry host and an engine. Token positions start at 0 and continue across resumed attempts.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type AttemptId, type Failure, failure, failureFromBody, type RequestId, parseJson } from '../common/index.js'

/** Token counts as the engine reports them after the last token. */
export const engineUsageSchema = z.object({
  prompt_tokens: z.number().int().nonnegative(),
  completion_tokens: z.number().int().nonnegative(),
  prompt_tokens_details: z.object({ cached_tokens: z.number().int().nonnegative().default(0) }).nullish()
})
export type EngineUsage = z.infer<typeof engineUsageSchema>

/** One event of an engine's stream. */
export const engineChunkSchema = z.object({
  attempt_id: z.string(),
  /** Position of the token; for the end, the number of tokens before it. */
  position: z.number().int().nonnegative(),
  choices: z.array(z.object({
    /** Text of `/v1/completions`. */
    text: z.string().optional(),
    /** Text of `/v1/chat/completions`. */
    delta: z.object({ content: z.string().nullish() }).optional(),
    finish_reason: z.string().nullish()
  })).default([]),
  usage: engineUsageSchema.nullish()
})
export type EngineChunk = z.infer<typeof engineChunkSchema>

/** Response to `GET /requests/<id>`. */
export const engineProgressSchema = z.object({
  /** Tokens generated so far, counted from the start of the answer. */
  position: z.number().int().nonnegative()
})

/** Extension fields of a request to an engine; the caller's body never sets them. */
export const extensionFields = ['request_id', 'attempt_id', 'priority', 'resume_from', 'resume_text'] as const

/** The request of one attempt to an engine. */
export interface EngineCall {
  requestId: RequestId
  attemptId: AttemptId
  path: '/v1/chat/completions' | '/v1/completions'
  /** The caller's validated body. */
  body: Record<string, unknown>
  priority: 'interactive' | 'batch'
  /** Number of tokens that were already delivered to the caller; the engine continues at this position. */
  resumeFrom: number
  /** Text of these tokens, for engines that do not know the request. */
  resumeText: string
}

/** The request body for an engine. It always requests a stream, so that an interrupted answer can be resumed. */
export function engineBodyOf (call: EngineCall): string {
  const fields = Object.entries(call.body)
    .filter(([name, value]) => value !== null && !(extensionFields as readonly string[]).includes(name))
  return JSON.stringify({
    ...Object.fromEntries(fields),
    stream: true,
    stream_options: { include_usage: true },
    request_id: call.requestId,
    attempt_id: call.attemptId,
    priority: call.priority,
    ...(call.resumeFrom === 0 ? {} : { resume_from: call.resumeFrom, resume_text: call.resumeText })
  })
}

/**
 * Parses the data of one event. The error is the one that the engine sent in place of a chunk, or describes why the
 * event is invalid.
 */
export function parseChunk (data: string): Result<EngineChunk, Failure> {
  const json = parseJson(data)
  const engineFailure = failureFromBody(json)
  if (engineFailure !== undefined) return Result.err(engineFailure)
  const parsed = engineChunkSchema.safeParse(json)
  if (parsed.success) return Result.ok(parsed.data)
  return Result.err(failure('upstream_failed', `the engine sent an invalid event: ${z.prettifyError(parsed.error)}`))
}

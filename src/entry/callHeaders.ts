/**
 * Reads the headers that set the deadline, priority and idempotency key of a call, and enforces the size limits of its
 * headers and body.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Failure, failure } from '../common/index.js'
import { intakeOf } from '../intake/index.js'
import type { EntryCall } from './EntryCall.js'

/** Limits of one call. */
export interface CallLimits {
  maxBodyBytes: number
  maxHeaderBytes: number
  defaultTimeoutMilliseconds: number
  maxTimeoutMilliseconds: number
}

/** Values that the headers of a call set. */
export interface CallHeaders {
  timeoutMilliseconds: number
  priority: 'interactive' | 'batch'
  idempotencyKey: string | undefined
}

/** Reads the headers of a call. Errors: `bad_request`, `headers_too_large`. */
export type CallHeaderReader = (headers: Headers) => Result<CallHeaders, Failure>

/** Creates a header reader. It builds the schema once, since building it takes several times as long as parsing with it. */
export function createCallHeaderReader (limits: CallLimits): CallHeaderReader {
  const schema = z.object({
    'x-timeout-ms': z.string().regex(/^\d{1,9}$/, 'must be a whole number').transform(Number)
      .refine(value => value >= 1 && value <= limits.maxTimeoutMilliseconds, `must be 1 to ${limits.maxTimeoutMilliseconds}`)
      .default(limits.defaultTimeoutMilliseconds),
    'x-priority': z.enum(['interactive', 'batch'], 'must be "interactive" or "batch"').default('interactive'),
    'idempotency-key': z.string().regex(/^[\x21-\x7e]{1,200}$/, 'must be 1 to 200 visible characters').optional()
  })
  return headers => {
    let size = 0
    for (const [name, value] of headers) size += name.length + value.length
    if (size > limits.maxHeaderBytes) {
      return Result.err(failure('headers_too_large', `the headers are larger than ${limits.maxHeaderBytes} bytes`))
    }
    const parsed = schema.safeParse(Object.fromEntries(headers))
    if (!parsed.success) {
      const problems = parsed.error.issues.map(({ path, message }) => `header ${path.join('.')}: ${message}`)
      return Result.err(failure('bad_request', problems.join('; ')))
    }
    return Result.ok({
      timeoutMilliseconds: parsed.data['x-timeout-ms'],
      priority: parsed.data['x-priority'],
      idempotencyKey: parsed.data['idempotency-key']
    })
  }
}

/**
 * Reads the body of a request, within the limits of its server if that has some. Errors: `body_too_large`; `cancelled` if the
 * caller stops sending before its end; with limits also `overloaded` and `body_timeout`.
 */
export async function readBody ({ env, req }: EntryCall, maxBytes: number): Promise<Result<Uint8Array, Failure>> {
  const intake = intakeOf(env?.incoming)
  if (intake !== undefined) return (await intake.readBody(maxBytes)).map(body => body ?? new Uint8Array())
  const request = req.raw
  const tooLarge = failure('body_too_large', `the body is larger than ${maxBytes} bytes`)
  if (Number(request.headers.get('content-length') ?? 0) > maxBytes) return Result.err(tooLarge)
  if (request.body === null) return Result.ok(new Uint8Array())
  const parts: Uint8Array[] = []
  let size = 0
  try {
    for await (const part of request.body) {
      size += part.length
      if (size > maxBytes) return Result.err(tooLarge)
      parts.push(part)
    }
  } catch (caught) {
    return Result.err(failure('cancelled', `the body did not arrive completely: ${(caught as Error).message}`))
  }
  return Result.ok(Buffer.concat(parts))
}

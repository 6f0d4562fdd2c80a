/**
 * The trace format: one JSON object per line. The first line is the header; the others are entries in order of
 * their time: arrivals of requests, and fleet events. Times are in milliseconds from the start of the trace.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Failure, failure, modelSchema, poolSchema, teamSchema, workerIdSchema } from '../common/index.js'

/** First line of a trace. */
export const traceHeaderSchema = z.strictObject({
  kind: z.literal('trace'),
  version: z.literal(1),
  name: z.string(),
  /** Seed of the generator; absent in a recorded trace. */
  seed: z.number().int().optional(),
  durationMilliseconds: z.number().nonnegative()
})
export type TraceHeader = z.infer<typeof traceHeaderSchema>

const arrivalFields = {
  /** Intended send time. */
  at: z.number().nonnegative(),
  team: teamSchema,
  timeoutMilliseconds: z.number().int().positive(),
  idempotent: z.boolean()
}

/** Arrival of a request to a model. */
export const modelArrivalSchema = z.strictObject({
  kind: z.literal('model'),
  ...arrivalFields,
  priority: z.enum(['interactive', 'batch']),
  model: modelSchema,
  /** Length of the whole prompt, the shared prefix included. */
  promptTokens: z.number().int().positive(),
  /** Identifies the shared prefix: requests with the same value have their first `prefixTokens` tokens in common. */
  prefix: z.string(),
  prefixTokens: z.number().int().nonnegative(),
  outputTokens: z.number().int().positive()
})
export type ModelArrival = z.infer<typeof modelArrivalSchema>

/** Arrival of a call to a plain service. */
export const serviceArrivalSchema = z.strictObject({
  kind: z.literal('service'),
  ...arrivalFields,
  pool: poolSchema,
  method: z.enum(['GET', 'POST']),
  path: z.string().startsWith('/')
})
export type ServiceArrival = z.infer<typeof serviceArrivalSchema>

/** A change of the fleet during a trace, which `ReplayOptions.onFleetEvent` executes. */
export const fleetEventSchema = z.strictObject({
  kind: z.literal('fleet'),
  at: z.number().nonnegative(),
  action: z.enum(['drain', 'withdraw', 'return']),
  worker: workerIdSchema
})
export type FleetEvent = z.infer<typeof fleetEventSchema>

/** An entry of a trace, which is one line after the header. */
export const traceEntrySchema = z.discriminatedUnion('kind', [modelArrivalSchema, serviceArrivalSchema, fleetEventSchema])
export type TraceEntry = z.infer<typeof traceEntrySchema>

/** The header of a trace, and its entries in the order of their time. */
export interface Trace {
  header: TraceHeader
  entries: TraceEntry[]
}

function parseLine (line: string): unknown {
  try {
    return JSON.parse(line)
  } catch {
    return undefined
  }
}

/** Parses the text of a trace. Errors: `bad_request` with the line number. */
export function parseTrace (text: string): Result<Trace, Failure> {
  const lines = text.split('\n').filter(line => line.trim() !== '')
  const header = traceHeaderSchema.safeParse(parseLine(lines[0] ?? ''))
  if (!header.success) return Result.err(failure('bad_request', 'line 1 is not a trace header of version 1'))
  const entries: TraceEntry[] = []
  for (const [index, line] of lines.slice(1).entries()) {
    const entry = traceEntrySchema.safeParse(parseLine(line))
    if (!entry.success) {
      return Result.err(failure('bad_request', `line ${index + 2} is not a trace entry: ${entry.error.issues[0]?.message ?? ''}`))
    }
    const previous = entries.at(-1)
    if (previous !== undefined && previous.at > entry.data.at) {
      return Result.err(failure('bad_request', `line ${index + 2} is earlier than the line before it`))
    }
    entries.push(entry.data)
  }
  return Result.ok({ header: header.data, entries })
}

/** Reads a trace file. Errors: `bad_request` if it cannot be read or parsed. */
export function readTrace (file: string): Result<Trace, Failure> {
  try {
    return parseTrace(readFileSync(file, 'utf8'))
  } catch (caught) {
    return Result.err(failure('bad_request', `${file}: ${(caught as Error).message}`))
  }
}

/** Writes a trace file. */
export function writeTrace (file: string, trace: Trace): void {
  const lines = [trace.header, ...trace.entries].map(entry => JSON.stringify(entry))
  writeFileSync(file, `${lines.join('\n')}\n`)
}

/**
 * Builds the prompt of a model request: words common to all requests with the same prefix, then words that only
 * this request has. The engine stand-in counts one word as one token.
 */
export function promptOf (arrival: ModelArrival, requestNumber: number): string {
  const sharedTokens = Math.min(arrival.prefixTokens, arrival.promptTokens)
  const words = Array.from({ length: arrival.promptTokens }, (_, position) =>
    position < sharedTokens ? `${arrival.prefix}-${position}` : `request-${requestNumber}-${position}`)
  return words.join(' ')
}

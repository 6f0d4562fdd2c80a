/**
 * Generates synthetic traces for the example deployments. The mix of model requests alternates between two phases:
 * long prompts with short answers (prefill-heavy) and short prompts with long answers (decode-heavy). Service calls
 * arrive throughout; a burst of them models the load at a change of shift.
 */
import { match } from 'ts-pattern'
import { type Model, type Pool, SeededRandom, type Team, type WorkerId } from '../common/index.js'
import type { Trace, TraceEntry } from './Trace.js'

/** Parameters from which model requests of one kind are drawn. */
export interface RequestShape {
  team: Team
  priority: 'interactive' | 'batch'
  /** Range of the prompt length in tokens, both ends included. */
  promptTokens: readonly [number, number]
  /** Fraction of the prompt, 0 to 1, that belongs to the prefix shared by requests of one topic. */
  sharedFraction: number
  /** Range of the answer length in tokens, both ends included. */
  outputTokens: readonly [number, number]
  timeoutMilliseconds: number
}

/** Parameters of the service calls of one kind. */
export interface ServiceShape {
  team: Team
  pool: Pool
  method: 'GET' | 'POST'
  path: string
  idempotent: boolean
  requestsPerSecond: number
}

/** Parameters of a generated trace. */
export interface TraceProfile {
  name: string
  model: Model
  durationMilliseconds: number
  /** Duration of one phase; prefill-heavy and decode-heavy phases alternate, starting with prefill-heavy. */
  phaseMilliseconds: number
  /** Model requests per second in each phase. */
  requestsPerSecond: { prefill: number, decode: number }
  /** Shapes from which the requests of each phase are drawn with equal probability. */
  shapes: { prefill: readonly RequestShape[], decode: readonly RequestShape[] }
  /** Number of topics; requests of one topic share a prompt prefix. */
  topics: number
  services: readonly ServiceShape[]
  /** Interval, in milliseconds from the start, in which service calls arrive at `factor` times their rate. */
  burst?: { from: number, to: number, factor: number }
  /** Engine that is drained at 40 % of the duration and returned to service at 70 %. */
  drainedWorker?: WorkerId
}

/** Names of the built-in profiles. */
export type ProfileName = 'acuarios' | 'kontenerowo'

const acuariosModel = 'pez' as Model
const kontenerowoModel = 'planner' as Model

/**
 * Returns a built-in profile. Its rates fit the capacity of the engine stand-ins of the example deployments;
 * `scale` multiplies all rates.
 */
export function profileOf (name: ProfileName, durationMilliseconds: number, scale = 1): TraceProfile {
  return match(name)
    .with('acuarios', (): TraceProfile => ({
      name,
      model: acuariosModel,
      durationMilliseconds,
      phaseMilliseconds: durationMilliseconds / 4,
      requestsPerSecond: { prefill: 6 * scale, decode: 8 * scale },
      shapes: {
        prefill: [
          {
            team: 'foro' as Team,
            priority: 'interactive',
            promptTokens: [1500, 4000],
            sharedFraction: 0.7,
            outputTokens: [20, 60],
            timeoutMilliseconds: 10_000
          },
          {
            team: 'moderacion' as Team,
            priority: 'batch',
            promptTokens: [800, 2000],
            sharedFraction: 0.3,
            outputTokens: [5, 10],
            timeoutMilliseconds: 20_000
          }
        ],
        decode: [
          {
            team: 'foro' as Team,
            priority: 'interactive',
            promptTokens: [40, 200],
            sharedFraction: 0.5,
            outputTokens: [100, 300],
            timeoutMilliseconds: 20_000
          }
        ]
      },
      topics: 40,
      services: [
        { team: 'foro' as Team, pool: 'app-foro' as Pool, method: 'GET', path: '/threads', idempotent: true, requestsPerSecond: 8 * scale },
        { team: 'foro' as Team, pool: 'app-foro' as Pool, method: 'POST', path: '/votes', idempotent: false, requestsPerSecond: 2 * scale }
      ],
      drainedWorker: 'modelos-foro-3' as WorkerId
    }))
    .with('kontenerowo', (): TraceProfile => ({
      name,
      model: kontenerowoModel,
      durationMilliseconds,
      phaseMilliseconds: durationMilliseconds / 6,
      requestsPerSecond: { prefill: 4 * scale, decode: 6 * scale },
      shapes: {
        prefill: [
          {
            team: 'planners' as Team,
            priority: 'interactive',
            promptTokens: [3000, 6000],
            sharedFraction: 0.8,
            outputTokens: [30, 80],
            timeoutMilliseconds: 15_000
          }
        ],
        decode: [
          {
            team: 'dispatch' as Team,
            priority: 'interactive',
            promptTokens: [60, 300],
            sharedFraction: 0.4,
            outputTokens: [120, 350],
            timeoutMilliseconds: 20_000
          }
        ]
      },
      topics: 25,
      services: [
        { team: 'dispatch' as Team, pool: 'dispatch-app' as Pool, method: 'GET', path: '/stock', idempotent: true, requestsPerSecond: 10 * scale },
        { team: 'dispatch' as Team, pool: 'dispatch-app' as Pool, method: 'POST', path: '/bookings', idempotent: false, requestsPerSecond: 2 * scale }
      ],
      burst: { from: durationMilliseconds * 0.5, to: durationMilliseconds * 0.6, factor: 5 },
      drainedWorker: 'planner-llm-2' as WorkerId
    }))
    .exhaustive()
}

/** Generates a trace. The result is deterministic: the same profile and seed give the same trace. */
export function generateTrace (profile: TraceProfile, seed: number): Trace {
  const random = new SeededRandom(seed)
  const entries: TraceEntry[] = [
    ...modelArrivals(profile, random),
    ...profile.services.flatMap(shape => serviceArrivals(profile, shape, random)),
    ...fleetEvents(profile)
  ].sort((left, right) => left.at - right.at)
  return {
    header: { kind: 'trace', version: 1, name: profile.name, seed, durationMilliseconds: profile.durationMilliseconds },
    entries
  }
}

function phaseAt (profile: TraceProfile, at: number): 'prefill' | 'decode' {
  return Math.floor(at / profile.phaseMilliseconds) % 2 === 0 ? 'prefill' : 'decode'
}

function modelArrivals (profile: TraceProfile, random: SeededRandom): TraceEntry[] {
  const entries: TraceEntry[] = []
  let at = 0
  for (;;) {
    at += random.exponential(1000 / profile.requestsPerSecond[phaseAt(profile, at)])
    if (at >= profile.durationMilliseconds) return entries
    const shape = random.pick(profile.shapes[phaseAt(profile, at)])
    const promptTokens = random.integer(...shape.promptTokens)
    entries.push({
      kind: 'model',
      at: Math.round(at),
      team: shape.team,
      timeoutMilliseconds: shape.timeoutMilliseconds,
      idempotent: true,
      priority: shape.priority,
      model: profile.model,
      promptTokens,
      prefix: `topic${random.integer(1, profile.topics)}`,
      prefixTokens: Math.floor(promptTokens * shape.sharedFraction),
      outputTokens: random.integer(...shape.outputTokens)
    })
  }
}

function serviceArrivals (profile: TraceProfile, shape: ServiceShape, random: SeededRandom): TraceEntry[] {
  const entries: TraceEntry[] = []
  let at = 0
  for (;;) {
    const burst = profile.burst
    const factor = burst !== undefined && at >= burst.from && at < burst.to ? burst.factor : 1
    at += random.exponential(1000 / (shape.requestsPerSecond * factor))
    if (at >= profile.durationMilliseconds) return entries
    entries.push({
      kind: 'service',
      at: Math.round(at),
      team: shape.team,
      timeoutMilliseconds: 5000,
      idempotent: shape.idempotent,
      pool: shape.pool,
      method: shape.method,
      path: shape.path
    })
  }
}

function fleetEvents (profile: TraceProfile): TraceEntry[] {
  if (profile.drainedWorker === undefined) return []
  const worker = profile.drainedWorker
  return [
    { kind: 'fleet', at: Math.round(profile.durationMilliseconds * 0.4), action: 'drain', worker },
    { kind: 'fleet', at: Math.round(profile.durationMilliseconds * 0.7), action: 'return', worker }
  ]
}

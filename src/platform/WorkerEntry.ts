/**
 * Decodes the entries that workers write about themselves to the store. Other programs can write to the same topic, so
 * an incomplete entry is ignored.
 */
import { z } from 'zod'
import { isSocketAddress, type Pool, type WorkerId, workerIdSchema, type Zone, zoneSchema, parseJson } from '../common/index.js'
import type { EngineRole } from '../configuration/index.js'

/** A worker as its entry describes it. */
export interface WorkerEntry {
  id: WorkerId
  pool: Pool
  zone: Zone
  /** `ip:port` */
  address: string
  /** True if the worker is draining. */
  leaving: boolean
  role: EngineRole
  /** Number of requests that the worker processes at once. */
  slots: number
  /** Unix time in milliseconds of the worker's start, by its own clock; 0 if the entry has none. */
  startedAt: number
  /** Number of the report; increases until the worker restarts. */
  report: number
  /** True if the platform may take the worker away shortly after a notice. */
  spot: boolean
  /** Version of the worker's software; undefined if the entry names none that can be compared. */
  softwareVersion: string | undefined
}

const roles = { prefill: 'prefill', decode: 'decode', colocated: 'mixed' } as const

/**
 * Upper bounds of counts and times. A record with a larger number is not from a worker, and all later entries of the worker
 * would seem older than it.
 */
const maxCount = 2 ** 32
const maxStart = Date.UTC(2100)

/** Maximum length of the version of a worker's software. */
const maxVersionLength = 100

const entrySchema = z.object({
  service: z.string().min(1),
  address: z.string().refine(isSocketAddress),
  zone: zoneSchema,
  slots: z.number().int().positive().max(maxCount),
  state: z.enum(['ready', 'draining']),
  stage: z.enum(['prefill', 'decode', 'colocated']).default('colocated'),
  born: z.number().int().nonnegative().max(maxStart).default(0),
  sequence: z.number().int().nonnegative().max(maxCount),
  spot: z.boolean().default(false),
  version: z.string().min(1).max(maxVersionLength).optional().catch(undefined)
})

/** Decodes an entry; undefined if it is not a valid entry of a worker. */
export function decodeWorkerEntry (key: string, value: Buffer): WorkerEntry | undefined {
  const id = workerIdSchema.safeParse(key)
  const parsed = entrySchema.safeParse(parseJson(value.toString('utf8')))
  if (!id.success || !parsed.success) return undefined
  const { service, address, zone, slots, state, stage, born, sequence, spot, version } = parsed.data
  return {
    id: id.data,
    pool: service as Pool,
    zone,
    address,
    leaving: state === 'draining',
    role: roles[stage],
    slots,
    startedAt: born,
    report: sequence,
    spot,
    softwareVersion: version
  }
}

/** True if the entry is older than the known one of the same worker, as after a delayed write. */
export function isOlder (entry: WorkerEntry, known: WorkerEntry): boolean {
  if (entry.startedAt !== known.startedAt) return entry.startedAt < known.startedAt
  return entry.report < known.report
}

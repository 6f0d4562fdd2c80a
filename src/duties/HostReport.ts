/**
 * What each host tells the holder of the duties once a second: the use that it has counted, and the demand that it sees.
 */
import { z } from 'zod'
import { accountNameSchema, hostIdSchema, incarnationSchema, poolSchema, zoneSchema } from '../common/index.js'

const count = z.number().int().nonnegative()
const amount = z.number().nonnegative()

/** Maximum number of windows in one report, and of pools. */
export const maxReportedWindows = 12
export const maxReportedPools = 256

/** Demand that one host has seen for a pool. */
export const poolDemandSchema = z.object({
  pool: poolSchema,
  /** Requests that arrived since the start of the host's process. */
  requests: count,
  /** Tokens of the prompts that arrived since the start of the process. */
  promptTokens: amount,
  /** Time that workers spent on computing prompts since the start of the process. */
  promptMilliseconds: amount,
  /** Streams that are open now. */
  openStreams: count,
  /** Requests that wait for a worker now. */
  waiting: count,
  /** Requests that this host refused since the start of the process, because no worker could take them in time. */
  refused: count
})
export type PoolDemand = z.infer<typeof poolDemandSchema>

/** Requests of each account that began to run in a window, as counted so far. */
export const windowCountsSchema = z.object({
  window: z.number().int(),
  counts: z.array(z.tuple([accountNameSchema, count]))
})
export type WindowCounts = z.infer<typeof windowCountsSchema>

export const hostReportSchema = z.object({
  host: hostIdSchema,
  /** Start of the host's process, within which counts only grow. */
  incarnation: incarnationSchema,
  zone: zoneSchema,
  /** Unix time in milliseconds by the host's clock. */
  at: z.number(),
  /** Difference by which the host's wall and monotonic clocks moved apart since its last report, if it is large. */
  clockSetMilliseconds: z.number().optional(),
  /** Windows that the holder has not confirmed, or whose counts have grown. A large one may be spread over reports. */
  windows: z.array(windowCountsSchema).max(maxReportedWindows),
  /** The host expects no further counts of this window and earlier ones. Absent in all but the last part of a report. */
  finalWindow: z.number().int().optional(),
  demand: z.array(poolDemandSchema).max(maxReportedPools)
})
export type HostReport = z.infer<typeof hostReportSchema>

/** Answer of the holder: the reported windows whose counts no longer matter, since the platform has them. */
export interface HostReportAnswer { settledWindows: number[] }

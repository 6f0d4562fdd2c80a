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

/** Work of one host at the workers of a pool, on average since its last report. */
export const poolDemandSchema = z.object({
  pool: poolSchema,
  /** Prompts at the workers that compute them. */
  openPrompts: amount,
  /** Streams and other requests at the workers that answer. */
  openAnswers: amount,
  /** Prompts a second that were computed, and that were refused for lack of workers; 0 from hosts that do not count them. */
  computedPrompts: amount.default(0),
  refusedPrompts: amount.default(0)
})
export type HostPoolDemand = z.infer<typeof poolDemandSchema>

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
  /** True in all parts of a long report but the last one, which alone has `finalWindow` and `demand`. */
  isPart: z.boolean().optional(),
  /** The host expects no further counts of this window and earlier ones. */
  finalWindow: z.number().int().optional(),
  demand: z.array(poolDemandSchema).max(maxReportedPools)
})
export type HostReport = z.infer<typeof hostReportSchema>

/** Answer of the holder. */
export interface HostReportAnswer {
  /** Counts of this window and earlier ones no longer matter; undefined if the holder does not know. */
  settledThrough: number | undefined
}

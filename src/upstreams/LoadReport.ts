/**
 * The load report that an upstream returns for `GET /load`.
 */
import { z } from 'zod'
import { incarnationSchema, modelSchema } from '../common/index.js'
import { engineRoleSchema } from '../configuration/index.js'

const count = z.number().int().nonnegative()

/** Response to `GET /load`. Services report a subset; absent members count as zero or unknown. */
export const loadReportSchema = z.object({
  /** Time at which the figures were taken, by the upstream's clock: Unix time in milliseconds. */
  at: z.number(),
  incarnation: incarnationSchema.optional(),
  role: engineRoleSchema.optional(),
  models: z.array(modelSchema).optional(),
  runningDecodes: count.default(0),
  queuedPrefillTokens: count.default(0),
  kvUsedTokens: count.default(0),
  kvCapacityTokens: count.default(0),
  leaving: z.boolean().default(false)
})
export type LoadReport = z.infer<typeof loadReportSchema>

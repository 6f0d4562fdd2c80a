/**
 * What is counted for one request, and the batches in which hosts hand these counts on.
 */
import { z } from 'zod'
import { hostIdSchema, incarnationSchema, ownerSchema, requestIdSchema, teamSchema } from '../common/index.js'

const count = z.number().int().nonnegative()

/** Use of one request. There is one record per request id. */
export const usageRecordSchema = z.object({
  requestId: requestIdSchema,
  team: teamSchema,
  owner: ownerSchema,
  /** Name of the model; for a call to a service `service/<pool>`. */
  model: z.string().min(1).max(100),
  promptTokens: count,
  cachedPromptTokens: count,
  generatedTokens: count,
  /** Time on upstreams over all attempts. */
  engineMilliseconds: count,
  /** Calls that count towards the bill: 1, or 0 if nothing ran. */
  calls: count
})
export type UsageRecord = z.infer<typeof usageRecordSchema>

/** Records under one identity. A batch that arrives twice has the same identity and counts once. */
export const usageBatchSchema = z.object({
  hostId: hostIdSchema,
  incarnation: incarnationSchema,
  /** Counts from 1 for each incarnation. */
  sequence: z.number().int().positive(),
  records: z.array(usageRecordSchema)
})
export type UsageBatch = z.infer<typeof usageBatchSchema>

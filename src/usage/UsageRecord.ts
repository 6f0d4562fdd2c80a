/**
 * Schemas of the usage of one request, and of the batches in which hosts submit usage records.
 */
import { z } from 'zod'
import { hostIdSchema, incarnationSchema, ownerSchema, requestIdSchema, teamSchema } from '../common/index.js'

const count = z.number().int().nonnegative()

/** Usage of one request. There is one record per request id. */
export const usageRecordSchema = z.object({
  requestId: requestIdSchema,
  team: teamSchema,
  owner: ownerSchema,
  /** Name of the model; `service/<pool>` for a call to a service. */
  model: z.string().min(1).max(100),
  promptTokens: count,
  cachedPromptTokens: count,
  generatedTokens: count,
  /** Time on upstreams in milliseconds, summed over all attempts. */
  engineMilliseconds: count,
  /** Billable calls: 1, or 0 if nothing was executed. */
  calls: count
})
export type UsageRecord = z.infer<typeof usageRecordSchema>

/** Usage records with an identity: host, incarnation and sequence number. A batch that arrives twice counts once. */
export const usageBatchSchema = z.object({
  hostId: hostIdSchema,
  incarnation: incarnationSchema,
  /** Sequence number of the batch; starts at 1 in each incarnation. */
  sequence: z.number().int().positive(),
  records: z.array(usageRecordSchema)
})
export type UsageBatch = z.infer<typeof usageBatchSchema>

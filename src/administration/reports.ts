/**
 * Schemas of the reports that a host gives to operators. The other parts of the host create the reports; the command line
 * parses them with the same schemas.
 */
import { z } from 'zod'
import {
  hostIdSchema, incarnationSchema, offsetSchema, ownerSchema, poolSchema, teamSchema, workerIdSchema, zoneSchema
} from '../common/index.js'
import { engineRoleSchema } from '../configuration/index.js'
import { listedHostSchema } from '../clients/index.js'

/** An entry host as the reporting host sees it. */
export const hostReportSchema = listedHostSchema.extend({
  /** True if the reporting host can reach it; absent if the reporting host does not check. */
  reachable: z.boolean().optional()
})
export type HostReport = z.infer<typeof hostReportSchema>

/** An upstream as the reporting host sees it. */
export const workerReportSchema = z.object({
  worker: workerIdSchema,
  pool: poolSchema,
  kind: z.enum(['engines', 'service']),
  zone: zoneSchema,
  /** `ip:port` */
  address: z.string(),
  /** `draining`: receives no new work but still runs some; `changing`: an order to it has no outcome yet. */
  state: z.enum(['serving', 'draining', 'changing', 'leaving', 'unreachable']),
  /** Role of an engine; absent for services. */
  role: engineRoleSchema.optional(),
  models: z.array(z.string()).optional(),
  /** Requests of the reporting host that are in progress on the worker. */
  inFlight: z.number().int().nonnegative().optional(),
  /** Tokens queued for prefill according to the worker's latest load report. */
  queuedPrefillTokens: z.number().nonnegative().optional(),
  kvUsedTokens: z.number().nonnegative().optional(),
  kvCapacityTokens: z.number().nonnegative().optional()
})
export type WorkerReport = z.infer<typeof workerReportSchema>

/** A lease as the reporting host sees it. */
export const leaseReportSchema = z.object({
  lease: z.string(),
  holder: hostIdSchema.optional(),
  fencingNumber: z.number().int().nonnegative()
})
export type LeaseReport = z.infer<typeof leaseReportSchema>

/** An order to an engine without an outcome. */
export const openOrderReportSchema = z.object({
  orderId: z.string(),
  engine: workerIdSchema,
  kind: z.string(),
  fencingNumber: z.number().int().nonnegative(),
  /** True if the order is blocked until an operator confirms that the former lease holder can no longer send it. */
  needsConfirmation: z.boolean()
})
export type OpenOrderReport = z.infer<typeof openOrderReportSchema>

/** Progress of the reporting host in a stream of the log. `through` is the offset of the last record that it has applied. */
export const streamReportSchema = z.object({
  stream: z.string(),
  through: offsetSchema,
  state: z.enum(['current', 'behind', 'gap', 'newer_version'])
})
export type StreamReport = z.infer<typeof streamReportSchema>

/** Response to `GET /fleet`. */
export const fleetReportSchema = z.object({
  /** Unix time in milliseconds. */
  at: z.number(),
  reportedBy: hostIdSchema,
  incarnation: incarnationSchema,
  hosts: z.array(hostReportSchema),
  workers: z.array(workerReportSchema),
  leases: z.array(leaseReportSchema),
  openOrders: z.array(openOrderReportSchema),
  streams: z.array(streamReportSchema)
})
export type FleetReport = z.infer<typeof fleetReportSchema>

/** Usage of one model, or of one service pool, by one team. */
export const usageLineSchema = z.object({
  owner: ownerSchema,
  team: teamSchema,
  /** Name of the model or of the service pool. */
  subject: z.string(),
  requests: z.number().nonnegative(),
  promptTokens: z.number().nonnegative(),
  cachedPromptTokens: z.number().nonnegative(),
  generatedTokens: z.number().nonnegative(),
  engineMilliseconds: z.number().nonnegative(),
  calls: z.number().nonnegative()
})
export type UsageLine = z.infer<typeof usageLineSchema>

/** Response to `GET /use`. */
export const usageStatementSchema = z.object({
  /** Offset of the last record of the stream `use` that the statement includes. */
  through: offsetSchema,
  /** Unix times in milliseconds of the first and last records that the statement includes; absent if there are none. */
  from: z.number().optional(),
  until: z.number().optional(),
  lines: z.array(usageLineSchema)
})
export type UsageStatement = z.infer<typeof usageStatementSchema>

/** State of the host from which `GET /health/live` and `GET /health/ready` are answered. */
export interface HealthReport {
  live: boolean
  ready: boolean
  /** Why the host is not live or not ready, as stable snake_case identifiers. */
  reasons: string[]
}

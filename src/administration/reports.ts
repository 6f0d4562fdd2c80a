/**
 * What a host reports to operators, as plain data. The parts of a host fill these in; the command line reads
 * them back through the same schemas.
 */
import { z } from 'zod'
import {
  hostIdSchema, incarnationSchema, offsetSchema, ownerSchema, poolSchema, teamSchema, workerIdSchema, zoneSchema
} from '../common/index.js'
import { engineRoleSchema } from '../configuration/index.js'
import { listedHostSchema } from '../clients/index.js'

/** An entry host as another one sees it. */
export const hostReportSchema = listedHostSchema.extend({
  /** False if the reporting host cannot reach it; absent if it does not try. */
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
  /** `draining`: gets no new work and still runs some; `changing`: an order is open. */
  state: z.enum(['serving', 'draining', 'changing', 'leaving', 'unreachable']),
  /** Role of an engine; absent for services. */
  role: engineRoleSchema.optional(),
  models: z.array(z.string()).optional(),
  /** Requests of this host in progress on the worker. */
  inFlight: z.number().int().nonnegative().optional(),
  /** Tokens that wait for prefill, by the worker's last load report. */
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
  /** True if the order waits until an operator confirms that the old lease holder can no longer send. */
  needsConfirmation: z.boolean()
})
export type OpenOrderReport = z.infer<typeof openOrderReportSchema>

/** How far the reporting host has applied a stream of the log. */
export const streamReportSchema = z.object({
  stream: z.string(),
  through: offsetSchema,
  state: z.enum(['current', 'behind', 'gap', 'newer_version'])
})
export type StreamReport = z.infer<typeof streamReportSchema>

/** `GET /fleet` */
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

/** Use of one model, or of the services of one pool, by one team. */
export const usageLineSchema = z.object({
  owner: ownerSchema,
  team: teamSchema,
  /** Model or, for services, pool. */
  subject: z.string(),
  requests: z.number().nonnegative(),
  promptTokens: z.number().nonnegative(),
  cachedPromptTokens: z.number().nonnegative(),
  generatedTokens: z.number().nonnegative(),
  engineMilliseconds: z.number().nonnegative(),
  calls: z.number().nonnegative()
})
export type UsageLine = z.infer<typeof usageLineSchema>

/** `GET /use` */
export const usageStatementSchema = z.object({
  /** Offset of the last record of the stream `use` that is counted. */
  through: offsetSchema,
  /** Unix time in milliseconds of the first and the last record that is counted. */
  from: z.number().optional(),
  until: z.number().optional(),
  lines: z.array(usageLineSchema)
})
export type UsageStatement = z.infer<typeof usageStatementSchema>

/** State of the host for `GET /health/live` and `GET /health/ready`. */
export interface HealthReport {
  live: boolean
  ready: boolean
  /** Why the host is not ready, in stable snake_case words. */
  reasons: string[]
}

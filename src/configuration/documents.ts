/**
 * Paths and schemas of the documents in the configuration tree. Each document is plain JSON data.
 */
import { z } from 'zod'
import { modelSchema, ownerSchema, teamSchema, workerIdSchema, zoneSchema } from '../common/index.js'

/** Path of a document, e.g. `/fleet/models/carassius`. */
export const configurationPathSchema = z.string()
  .max(200)
  .regex(/^(\/[a-z0-9][a-z0-9._-]{0,62}){2,8}$/, 'must be 2 to 8 parts of a-z, 0-9, ".", "_", "-", each after "/"')
  .brand<'ConfigurationPath'>()
export type ConfigurationPath = z.infer<typeof configurationPathSchema>

/** `/fleet/models/<model>` */
export const modelDocumentSchema = z.strictObject({
  versions: z.array(z.string().min(1)).min(1),
  defaultVersion: z.string().min(1),
  /** Maximum length of prompt plus output, in tokens. */
  contextTokens: z.number().int().positive()
})
export type ModelDocument = z.infer<typeof modelDocumentSchema>

/** `/fleet/adapters/<adapter>` */
export const adapterDocumentSchema = z.strictObject({ model: modelSchema, version: z.string().min(1) })
export type AdapterDocument = z.infer<typeof adapterDocumentSchema>

/** Role of an engine: the stages of generation that it runs. */
export const engineRoleSchema = z.enum(['prefill', 'decode', 'mixed'])
export type EngineRole = z.infer<typeof engineRoleSchema>

/** How often a call to a service route may be executed, and the mechanism that enforces it. */
export const callClassSchema = z.enum(['idempotent', 'once_issued_key', 'once_logged_claim'])
export type CallClass = z.infer<typeof callClassSchema>

/** One worker, that is, one upstream process of a pool. */
export const workerSchema = z.strictObject({
  id: workerIdSchema,
  zone: zoneSchema,
  /** `ip:port` */
  address: z.string().regex(/^[^\s/]+:\d{1,5}$/, 'must be ip:port'),
  /** True if the engine rejects orders with an old fencing number. */
  checksFencing: z.boolean().default(false),
  /** True if the worker answers `GET /load`. */
  reportsLoad: z.boolean().default(true),
  /** True if no new requests are sent to the worker; requests in progress are completed. */
  draining: z.boolean().default(false),
  /** True if the worker may be gone: it is sent new requests only if no other worker can take them. */
  uncertain: z.boolean().optional(),
  /** Number of requests that the worker processes at once; absent if it is not known. */
  slots: z.number().int().positive().optional(),
  /** Unix time in milliseconds at which the process started, by its own clock; absent if it is not known. */
  startedAt: z.number().int().optional(),
  /** Version of the software of the process; absent if it is not known. */
  softwareVersion: z.string().min(1).optional()
})
export type WorkerDocument = z.infer<typeof workerSchema>

/** A route of a service pool. The first matching route sets the call class; without a match it is `once_issued_key`. */
export const serviceRouteSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'ANY']),
  pathPrefix: z.string().startsWith('/'),
  class: callClassSchema
})
export type ServiceRoute = z.infer<typeof serviceRouteSchema>

/** `/fleet/pools/<pool>` */
export const poolDocumentSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('engines'), workers: z.array(workerSchema), models: z.array(modelSchema).min(1) }),
  z.strictObject({
    kind: z.literal('service'),
    workers: z.array(workerSchema),
    service: z.strictObject({ routes: z.array(serviceRouteSchema) })
  })
])
export type PoolDocument = z.infer<typeof poolDocumentSchema>

/** `/fleet/roles/<worker>` */
export const roleDocumentSchema = z.strictObject({ role: engineRoleSchema })
export type RoleDocument = z.infer<typeof roleDocumentSchema>

/** `/fleet/shares`: each team's share of the fleet in percent; the sum is at most 100. */
export const sharesDocumentSchema = z.record(teamSchema, z.number().min(0).max(100))
export type SharesDocument = z.infer<typeof sharesDocumentSchema>

/** `/teams/<team>/account` */
export const accountDocumentSchema = z.strictObject({
  owner: ownerSchema,
  /** SHA-256 of each token, in hexadecimal, with its expiry as Unix milliseconds if it has one. */
  tokens: z.array(z.strictObject({
    sha256: z.string().regex(/^[0-9a-f]{64}$/),
    expiresAt: z.number().int().positive().optional()
  })),
  /** True if the team has operator rights: it may change `/fleet` and the accounts. */
  operator: z.boolean().default(false)
})
export type AccountDocument = z.infer<typeof accountDocumentSchema>

/** `/teams/<team>/settings/limits` */
export const limitsDocumentSchema = z.strictObject({
  /** Maximum number of the team's requests in progress on one host. */
  maxConcurrent: z.number().int().positive(),
  /** Sustained requests per second of the team on one host. */
  requestsPerSecond: z.number().positive()
})
export type LimitsDocument = z.infer<typeof limitsDocumentSchema>

/** Kind of a document, determined by its path. */
export type DocumentKind = 'model' | 'adapter' | 'pool' | 'role' | 'shares' | 'account' | 'limits' | 'team_setting'

const kindPatterns: ReadonlyArray<readonly [RegExp, DocumentKind]> = [
  [/^\/fleet\/models\/[^/]+$/, 'model'],
  [/^\/fleet\/adapters\/[^/]+$/, 'adapter'],
  [/^\/fleet\/pools\/[^/]+$/, 'pool'],
  [/^\/fleet\/roles\/[^/]+$/, 'role'],
  [/^\/fleet\/shares$/, 'shares'],
  [/^\/teams\/[^/]+\/account$/, 'account'],
  [/^\/teams\/[^/]+\/settings\/limits$/, 'limits'],
  [/^\/teams\/[^/]+\/settings\/.+$/, 'team_setting']
]

/** Kind of the document at a path; undefined if the path is not valid for any kind. */
export function documentKindOf (path: string): DocumentKind | undefined {
  return kindPatterns.find(([pattern]) => pattern.test(path))?.[1]
}

/** Schema of each kind of document. */
export const documentSchemas = {
  model: modelDocumentSchema,
  adapter: adapterDocumentSchema,
  pool: poolDocumentSchema,
  role: roleDocumentSchema,
  shares: sharesDocumentSchema,
  account: accountDocumentSchema,
  limits: limitsDocumentSchema,
  team_setting: z.unknown()
} satisfies Record<DocumentKind, z.ZodType>

/**
 * The settings of an entry host. Each member is documented here; `examples/` has complete files.
 */
import { z } from 'zod'
import { hostIdSchema, regionSchema, zoneSchema } from '../common/index.js'

/** `ip:port`; port 0 lets the system choose a free port. */
export const listenAddressSchema = z.string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, 'an address "ip:port"')

/** `http://ip:port` */
export const originSchema = z.string().regex(/^http:\/\/[^/\s]+:\d{1,5}$/, 'an origin "http://ip:port"')

const milliseconds = z.number().int().positive()

/** Settings file of an entry host. */
export const hostSettingsSchema = z.strictObject({
  host: z.strictObject({
    id: hostIdSchema,
    zone: zoneSchema,
    region: regionSchema
  }),
  listen: z.strictObject({
    /** Addresses for callers. */
    callers: z.array(listenAddressSchema).min(1),
    /** Address for operators: settings, fleet, use, metrics, time line. */
    administration: listenAddressSchema,
    /** Address for other entry hosts. */
    peers: listenAddressSchema
  }),
  platform: z.strictObject({
    log: originSchema,
    hostList: originSchema,
    weightStore: originSchema,
    /** How long the log keeps records. Snapshots are written after a third of it. */
    logRetentionSeconds: z.number().positive().default(86_400)
  }),
  administration: z.strictObject({
    /**
     * SHA-256 of a token, in hexadecimal, with operators' rights. It works only while the configuration has no
     * operator account, so that the first configuration can be written.
     */
    bootstrapTokenSha256: z.string().regex(/^[0-9a-f]{64}$/, '64 hexadecimal digits').optional()
  }).prefault({}),
  /**
   * Mutual TLS between entry hosts. Absent: plain TCP. The files are read anew when they change. The certificate
   * has to name the host id as a DNS name.
   */
  peerTls: z.strictObject({
    certificateFile: z.string(),
    keyFile: z.string(),
    authorityFile: z.string()
  }).optional(),
  leases: z.strictObject({
    durationMilliseconds: milliseconds.default(6000),
    renewMilliseconds: milliseconds.default(2000),
    /** Largest rate difference between the monotonic clocks of two hosts, as a fraction. */
    clockDrift: z.number().min(0).max(0.2).default(0.01)
  }).prefault({}),
  membership: z.strictObject({
    listPollMilliseconds: milliseconds.default(2000),
    heartbeatMilliseconds: milliseconds.default(1000),
    /** A peer or relay source that is silent for this long is given up. */
    silenceMilliseconds: milliseconds.default(3000),
    /** Children of each host in the relay tree. */
    fanOut: z.number().int().min(2).max(64).default(8)
  }).prefault({}),
  upstreams: z.strictObject({
    loadPollMilliseconds: milliseconds.default(500),
    /** Most workers of one pool that this host routes to; larger pools are split into subsets. */
    subsetSize: z.number().int().positive().default(32),
    /** A stream without bytes for this long is checked over a new connection. */
    progressCheckMilliseconds: milliseconds.default(2000)
  }).prefault({}),
  routing: z.strictObject({
    policy: z.enum([
      'round_robin', 'least_outstanding', 'power_of_two', 'prefix_affinity', 'estimated_first_token'
    ]).default('estimated_first_token')
  }).prefault({}),
  roles: z.strictObject({
    planner: z.enum(['static', 'threshold', 'payback']).default('static'),
    /** Cost of one role change in the planner's objective, in seconds of one engine's goodput, beside the change itself. */
    changeWeightSeconds: z.number().nonnegative().default(30),
    /** What one engine does, and what a change of its role costs; measure it on your engines. */
    capacity: z.strictObject({
      prefillTokensPerSecond: z.number().positive().default(15_000),
      decodeTokensPerSecond: z.number().positive().default(2500),
      /** Time for which a change takes the engine away, draining included. */
      changeSeconds: z.number().positive().default(12),
      /** Share of its capacity that a mixed engine keeps within the latency targets. */
      mixedEfficiency: z.number().positive().max(1).default(0.8)
    }).prefault({})
  }).prefault({}),
  orders: z.strictObject({
    /** Loads of weights that this host may start per second, for all engines of its zone. */
    weightLoadsPerSecond: z.number().positive().default(0.5)
  }).prefault({}),
  limits: z.strictObject({
    maxBodyBytes: z.number().int().positive().default(4_194_304),
    maxHeaderBytes: z.number().int().positive().default(16_384),
    defaultTimeoutMilliseconds: milliseconds.default(30_000),
    maxTimeoutMilliseconds: milliseconds.default(600_000),
    /** Requests in progress on this host. */
    maxConcurrent: z.number().int().positive().default(1024),
    /** Requests that wait on this host. */
    maxQueued: z.number().int().positive().default(2048),
    /** Share of requests that may be retries. */
    retryBudget: z.number().min(0).max(1).default(0.1),
    /** Bytes buffered for a caller that reads slowly, per stream. */
    maxBufferedBytes: z.number().int().positive().default(262_144)
  }).prefault({}),
  drain: z.strictObject({
    /** Time between readiness going away and the end of accepting new connections, for the balancer to notice. */
    readinessDelayMilliseconds: z.number().int().nonnegative().default(2000),
    /** Longest wait for open requests. */
    timeoutMilliseconds: milliseconds.default(600_000)
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error']).default('info')
  }).prefault({})
})
export type HostSettings = z.infer<typeof hostSettingsSchema>

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
    /** Addresses on which callers send requests. */
    callers: z.array(listenAddressSchema).min(1),
    /** Address for operators: settings, fleet, use, metrics, timeline. */
    administration: listenAddressSchema,
    /** Address for other entry hosts. */
    peers: listenAddressSchema
  }),
  platform: z.strictObject({
    log: originSchema,
    hostList: originSchema,
    weightStore: originSchema,
    /** How long the log retains records. A new snapshot is written when the age of the last one is a third of this time. */
    logRetentionSeconds: z.number().positive().default(86_400)
  }),
  administration: z.strictObject({
    /**
     * SHA-256, in hexadecimal, of a token with operators' rights, with which the first configuration is written.
     * The token is accepted only while the configuration has no operator account.
     */
    bootstrapTokenSha256: z.string().regex(/^[0-9a-f]{64}$/, '64 hexadecimal digits').optional()
  }).prefault({}),
  /**
   * Mutual TLS between entry hosts; plain TCP if absent. The files are read again when they change. The
   * certificate has to contain the host id as a DNS name.
   */
  peerTls: z.strictObject({
    certificateFile: z.string(),
    keyFile: z.string(),
    authorityFile: z.string()
  }).optional(),
  leases: z.strictObject({
    durationMilliseconds: milliseconds.default(6000),
    renewMilliseconds: milliseconds.default(2000),
    /** Maximum difference between the rates of the monotonic clocks of two hosts, as a fraction. */
    clockDrift: z.number().min(0).max(0.2).default(0.01)
  }).prefault({}),
  membership: z.strictObject({
    listPollMilliseconds: milliseconds.default(2000),
    heartbeatMilliseconds: milliseconds.default(1000),
    /** Time without a message from a peer or relay source after which the host treats it as failed. */
    silenceMilliseconds: milliseconds.default(3000),
    /** Number of children of a host in the relay tree. */
    fanOut: z.number().int().min(2).max(64).default(8)
  }).prefault({}),
  upstreams: z.strictObject({
    loadPollMilliseconds: milliseconds.default(500),
    /** Maximum number of workers of one pool that this host routes to; larger pools are split into subsets. */
    subsetSize: z.number().int().positive().default(32),
    /** Time without bytes on a stream after which the host checks over a new connection whether the stream makes progress. */
    progressCheckMilliseconds: milliseconds.default(2000)
  }).prefault({}),
  routing: z.strictObject({
    policy: z.enum([
      'round_robin', 'least_outstanding', 'power_of_two', 'prefix_affinity', 'estimated_first_token'
    ]).default('estimated_first_token')
  }).prefault({}),
  roles: z.strictObject({
    planner: z.enum(['static', 'threshold', 'payback']).default('static'),
    /**
     * Cost of one role change in the planner's objective, in seconds of one engine's goodput, in addition to the goodput
     * lost during the change.
     */
    changeWeightSeconds: z.number().nonnegative().default(30),
    /** Throughput of one engine, and the time that a change of its role takes. Measure them on the engines in use. */
    capacity: z.strictObject({
      prefillTokensPerSecond: z.number().positive().default(15_000),
      decodeTokensPerSecond: z.number().positive().default(2500),
      /** Time for which a role change takes an engine out of service, draining included. */
      changeSeconds: z.number().positive().default(12),
      /** Share of its capacity that a mixed engine has while it does both kinds of work within the latency targets. */
      mixedEfficiency: z.number().positive().max(1).default(0.8)
    }).prefault({})
  }).prefault({}),
  orders: z.strictObject({
    /** Maximum number of weight loads that this host starts per second, over all engines of its zone. */
    weightLoadsPerSecond: z.number().positive().default(0.5)
  }).prefault({}),
  limits: z.strictObject({
    maxBodyBytes: z.number().int().positive().default(4_194_304),
    maxHeaderBytes: z.number().int().positive().default(16_384),
    defaultTimeoutMilliseconds: milliseconds.default(30_000),
    maxTimeoutMilliseconds: milliseconds.default(600_000),
    /** Memory of the machine and number of descriptors of the process; limits on clients follow from them. */
    memoryMegabytes: z.number().positive().optional(),
    descriptors: z.number().positive().optional(),
    /** Maximum number of requests in progress on this host. */
    maxConcurrent: z.number().int().positive().default(1024),
    /** Maximum number of requests that wait on this host. */
    maxQueued: z.number().int().positive().default(2048),
    /** Maximum share of requests that may be retries. */
    retryBudget: z.number().min(0).max(1).default(0.1),
    /** Maximum number of bytes buffered for a caller that reads slowly, per stream. */
    maxBufferedBytes: z.number().int().positive().default(262_144)
  }).prefault({}),
  drain: z.strictObject({
    /**
     * Delay between the loss of readiness and the refusal of new connections in a drain, so that the load balancer can
     * notice the loss.
     */
    readinessDelayMilliseconds: z.number().int().nonnegative().default(2000),
    /** Maximum wait for the end of open requests. */
    timeoutMilliseconds: milliseconds.default(600_000)
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error']).default('info')
  }).prefault({})
})
export type HostSettings = z.infer<typeof hostSettingsSchema>

/**
 * The settings of an entry host on the users' platform. `deploy/entry.toml` renders them from the platform's fields.
 */
import { z } from 'zod'
import { hostIdSchema, regionSchema, zoneSchema } from '../common/index.js'
import { listenAddressSchema } from '../settings/index.js'

const positive = z.number().positive()

/**
 * A number that the platform may not have. The template quotes it, since a field without a value is rendered as nothing,
 * which is no valid TOML otherwise.
 */
const optionalPositive = z.preprocess(value => {
  if (typeof value !== 'string') return value
  return value === '' || value === 'null' ? undefined : Number(value)
}, positive.optional())

/** Names of duties, as a list or separated by commas. */
const dutyKinds = z.preprocess(
  value => typeof value === 'string' ? value.split(',').map(name => name.trim()).filter(name => name !== '') : value,
  z.array(z.string()))

/** Settings file of an entry host on the platform. */
export const platformSettingsSchema = z.strictObject({
  host: z.strictObject({
    id: hostIdSchema,
    zone: zoneSchema,
    region: regionSchema,
    /** Share of each processor core that the host has. */
    cpuShare: positive.default(1),
    /** Number of processor cores. */
    cores: positive.default(1)
  }),
  listen: z.strictObject({
    /** Address for callers. */
    callers: listenAddressSchema,
    /** Address at which the load balancer checks readiness. */
    readiness: listenAddressSchema,
    /** Address for metrics; absent if the host's role on the platform has no control address. */
    metrics: listenAddressSchema.optional(),
    /** Address for the other hosts; absent if this host works without them. */
    peers: listenAddressSchema.optional()
  }),
  store: z.strictObject({
    /** `ip:port` of the platform's metadata store. */
    address: listenAddressSchema,
    /**
     * True if hosts read changes of the store through each other; default: true if the stable window is over 3 s, since a
     * change may take that long to arrive through a relay that fails.
     */
    relayReads: z.boolean().optional()
  }),
  bounds: z.strictObject({
    /** Time from SIGTERM until the platform kills the process. */
    graceSeconds: positive,
    /** Retries of all hosts together, as a share of the requests of a service. */
    retryRatio: z.number().min(0),
    /** Retries of all hosts together that are allowed beyond `retryRatio`. */
    retrySlack: z.number().min(0),
    /** Time without disturbance after which a host's view of the store has to be up to date. */
    stableWindowMilliseconds: positive,
    /** Minimum time between orders to one worker from two successive holders of a duty. */
    leaseMilliseconds: positive,
    /** Length of a window of usage reports; absent if use is not reported. */
    usageWindowSeconds: optionalPositive,
    /** Time after the end of a window at which its report is due. */
    usageLateSeconds: optionalPositive
  }),
  /** Duties that the holder performs for the platform; absent if there are none. */
  duties: z.strictObject({
    /** `ip:port` of the platform's interface for duties. */
    address: listenAddressSchema,
    /** `usage_report`, `autoscale`; others are ignored. */
    kinds: dutyKinds,
    /** Calls that the platform takes from all hosts together. */
    callsPerSecond: optionalPositive
  }).optional(),
  roles: z.strictObject({
    /**
     * Share of a model's engines that compute prompts; the owners' mix has 60 prompt tokens for each generated token.
     */
    prefillShare: z.number().min(0).max(1).default(0.75)
  }).prefault({}),
  limits: z.strictObject({
    /** Memory of the machine; absent: the defaults of `src/intake` apply. */
    memoryMegabytes: positive.optional(),
    /** Number of descriptors that the process may have open. */
    descriptors: positive.optional()
  }).prefault({}),
  log: z.strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') }).prefault({})
})
export type PlatformSettings = z.infer<typeof platformSettingsSchema>

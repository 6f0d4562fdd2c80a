/**
 * Settings of the engine stand-in.
 */
import { z } from 'zod'
import { modelSchema } from '../../common/index.js'
import { engineRoleSchema } from '../../configuration/index.js'
import { listenAddressSchema, originSchema } from '../../settings/index.js'

const milliseconds = z.number().nonnegative()
const count = z.number().int().positive()

/** Simulated duration of each kind of work; multiplied by `timeScale`. */
const costSchema = z.strictObject({
  /** Base duration of each step of the batch. */
  stepMilliseconds: milliseconds.default(8),
  /** Added to a step for each sequence that generates a token in it. */
  sequenceMilliseconds: milliseconds.default(0.15),
  /** Added to a step for each prompt token that is computed in it. */
  prefillMilliseconds: milliseconds.default(0.05),
  /** Duration of a KV cache export or import, for each token. */
  transferMilliseconds: milliseconds.default(0.005),
  /** Duration of `load_model` and `load_version`, in addition to the download of the weights. */
  loadMilliseconds: milliseconds.default(2000),
  /** Duration of `load_adapter`. */
  loadAdapterMilliseconds: milliseconds.default(300),
  /** Duration of `change_role`, during which the engine is out of service. */
  changeRoleMilliseconds: milliseconds.default(4000)
})

/** Schema of the settings file of the engine stand-in. */
export const engineStandInSettingsSchema = z.strictObject({
  listen: listenAddressSchema.default('127.0.0.1:0'),
  models: z.array(z.strictObject({ model: modelSchema, version: z.string().default('1') })).default([]),
  adapters: z.array(z.strictObject({ adapter: modelSchema, model: modelSchema, version: z.string().default('1') })).default([]),
  role: engineRoleSchema.default('mixed'),
  /** False: the role is only reported, and the engine accepts any request. */
  strictRole: z.boolean().default(true),
  /** True: orders with a fencing number below the greatest accepted one are rejected. False: the numbers are not checked. */
  checksFencing: z.boolean().default(false),
  /** Factor applied to all simulated durations of the engine; 0.01 makes it 100 times as fast. */
  timeScale: z.number().positive().default(1),
  cost: costSchema.prefault({}),
  /** Maximum number of tokens per step: one for each generating sequence, the rest for prefill. */
  stepTokenBudget: count.default(4096),
  /** Maximum number of sequences in the batch. */
  maxSequences: count.default(64),
  /** KV memory in tokens. A request reserves memory for its prompt and all tokens that it may generate. */
  kvCapacityTokens: count.default(400_000),
  /** Maximum number of requests that wait for the batch; further ones fail with `overloaded`. */
  maxQueued: count.default(4096),
  /** Tokens in a full block of the prefix cache. */
  blockTokens: count.default(2048),
  /** Maximum number of full blocks in the prefix cache. */
  cacheCapacityBlocks: count.default(64),
  /** KV cache size of one token, from which the size of an export is computed. */
  kvBytesPerToken: count.default(160_000),
  /** Origin of the weight store from which the weights of a model are downloaded. Absent: no download. */
  weightStore: originSchema.optional(),
  /** Lag of load reports, which show the load as it was that long ago. */
  loadLagMilliseconds: milliseconds.default(0),
  /** Delay between a cache change and the publication of its event. */
  cacheEventDelayMilliseconds: milliseconds.default(0),
  /** Cache events whose sequence number is a multiple of this number are not published. Absent: all are published. */
  cacheEventGapEvery: z.number().int().min(2).optional(),
  /** Maximum number of ended requests that `GET /requests/<id>` still returns. */
  maxFinishedRequests: count.default(1000)
})

/** Validated settings, with the defaults filled in. */
export type EngineSettings = z.infer<typeof engineStandInSettingsSchema>
/** Settings before validation; members with defaults are optional. */
export type EngineStandInSettings = z.input<typeof engineStandInSettingsSchema>

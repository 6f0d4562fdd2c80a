/**
 * Settings of the engine stand-in.
 */
import { z } from 'zod'
import { modelSchema } from '../../common/index.js'
import { engineRoleSchema } from '../../configuration/index.js'
import { listenAddressSchema, originSchema } from '../../settings/index.js'

const milliseconds = z.number().nonnegative()
const count = z.number().int().positive()

/** The cost of work. All durations are multiplied by `timeScale`. */
const costSchema = z.strictObject({
  /** Each step of the batch. */
  stepMilliseconds: milliseconds.default(8),
  /** Added to a step for each sequence that generates a token in it. */
  sequenceMilliseconds: milliseconds.default(0.15),
  /** Added to a step for each prompt token that is computed in it. */
  prefillMilliseconds: milliseconds.default(0.05),
  /** Export or import of the KV cache of one token. */
  transferMilliseconds: milliseconds.default(0.005),
  /** `load_model` and `load_version`, beside the download of the weights. */
  loadMilliseconds: milliseconds.default(2000),
  /** `load_adapter`. */
  loadAdapterMilliseconds: milliseconds.default(300),
  /** `change_role`; the engine is out of service meanwhile. */
  changeRoleMilliseconds: milliseconds.default(4000)
})

/** Settings file of the engine stand-in. */
export const engineStandInSettingsSchema = z.strictObject({
  listen: listenAddressSchema.default('127.0.0.1:0'),
  models: z.array(z.strictObject({ model: modelSchema, version: z.string().default('1') })).default([]),
  adapters: z.array(z.strictObject({ adapter: modelSchema, model: modelSchema, version: z.string().default('1') })).default([]),
  role: engineRoleSchema.default('mixed'),
  /** False: the role is only a label and the engine takes any request. */
  strictRole: z.boolean().default(true),
  /** True: orders with a fencing number below the greatest seen are rejected. False: the numbers are ignored. */
  checksFencing: z.boolean().default(false),
  /** Factor on all durations of the engine; 0.01 makes it a hundred times as fast. */
  timeScale: z.number().positive().default(1),
  cost: costSchema.prefault({}),
  /** Most tokens that one step computes: one for each generating sequence, the rest for prompts. */
  stepTokenBudget: count.default(4096),
  /** Most sequences in the batch. */
  maxSequences: count.default(64),
  /** KV memory. A request takes it for its prompt and all tokens that it may generate. */
  kvCapacityTokens: count.default(400_000),
  /** Requests that wait beside the batch; further ones are refused. */
  maxQueued: count.default(4096),
  /** Size of a block of the prefix cache. */
  blockTokens: count.default(2048),
  /** Blocks that the prefix cache holds. */
  cacheCapacityBlocks: count.default(64),
  /** Size of the KV cache of one token, for the sizes that exports report. */
  kvBytesPerToken: count.default(160_000),
  /** Weights are downloaded from here when a model is loaded. Absent: no download. */
  weightStore: originSchema.optional(),
  /** Load reports show the state of this long ago. */
  loadLagMilliseconds: milliseconds.default(0),
  /** Cache events are published this late. */
  cacheEventDelayMilliseconds: milliseconds.default(0),
  /** Each cache event whose sequence number is a multiple of this is never published. Absent: no gaps. */
  cacheEventGapEvery: z.number().int().min(2).optional(),
  /** Ended requests that `GET /requests/<id>` still knows. */
  maxFinishedRequests: count.default(1000)
})

/** Settings as the engine uses them. */
export type EngineSettings = z.infer<typeof engineStandInSettingsSchema>
/** Settings as a caller writes them. */
export type EngineStandInSettings = z.input<typeof engineStandInSettingsSchema>

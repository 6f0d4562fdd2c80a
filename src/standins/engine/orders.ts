/**
 * Orders to the engine stand-in. An order states a target; repeated by its id, it is carried out once.
 */
import { z } from 'zod'
import { fencingNumberSchema, incarnationSchema, modelSchema } from '../../common/index.js'
import { engineRoleSchema } from '../../configuration/index.js'

const version = z.string().min(1)

/** What an order asks for. */
export const engineOrderSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('load_model'), model: modelSchema, version }),
  z.strictObject({ kind: z.literal('unload_model'), model: modelSchema }),
  z.strictObject({ kind: z.literal('load_adapter'), adapter: modelSchema, model: modelSchema, version }),
  /** Replaces the loaded version of a model. */
  z.strictObject({ kind: z.literal('load_version'), model: modelSchema, version }),
  z.strictObject({ kind: z.literal('change_role'), role: engineRoleSchema }),
  /** Changes nothing but the greatest fencing number seen. */
  z.strictObject({ kind: z.literal('fence') })
])
export type EngineOrder = z.infer<typeof engineOrderSchema>

/** Body of `POST /orders`. */
export const orderMessageSchema = z.object({
  orderId: z.string().min(1).max(64),
  order: engineOrderSchema,
  fencingNumber: fencingNumberSchema,
  lease: z.string().optional(),
  /** The order is refused if the engine is of another incarnation. */
  engineIncarnation: incarnationSchema.optional()
})
export type OrderMessage = z.infer<typeof orderMessageSchema>

/** Where an accepted order stands. */
export interface OrderStatus {
  orderId: string
  state: 'running' | 'done' | 'failed'
  /** Why it failed. */
  detail?: string
}

/**
 * What became of one order message. `conflict`: a different order was running, or the id was used before for
 * something else.
 */
export type OrderReception = 'accepted' | 'repeated' | 'conflict' | 'fenced' | 'wrong_incarnation'

/** One received order message. */
export interface ReceivedOrder extends OrderMessage {
  /** Unix time in milliseconds. */
  at: number
  reception: OrderReception
  /** For a conflict: the order that was running. */
  conflictsWith?: string
}

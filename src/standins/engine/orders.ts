/**
 * Orders to the engine stand-in. An order states a target state. An order that is sent again with the same id is not
 * executed again.
 */
import { z } from 'zod'
import { fencingNumberSchema, incarnationSchema, modelSchema } from '../../common/index.js'
import { engineRoleSchema } from '../../configuration/index.js'

const version = z.string().min(1)

/** The change that an order requests. */
export const standInOrderSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('load_model'), model: modelSchema, version }),
  z.strictObject({ kind: z.literal('unload_model'), model: modelSchema }),
  z.strictObject({ kind: z.literal('load_adapter'), adapter: modelSchema, model: modelSchema, version }),
  /** Replaces the loaded version of a model. */
  z.strictObject({ kind: z.literal('load_version'), model: modelSchema, version }),
  z.strictObject({ kind: z.literal('change_role'), role: engineRoleSchema }),
  /** Only raises the greatest fencing number that the engine has accepted. */
  z.strictObject({ kind: z.literal('fence') })
])
export type StandInOrder = z.infer<typeof standInOrderSchema>

/** Body of `POST /orders`. */
export const standInOrderMessageSchema = z.object({
  orderId: z.string().min(1).max(64),
  order: standInOrderSchema,
  fencingNumber: fencingNumberSchema,
  lease: z.string().optional(),
  /** The order is rejected with `wrong_incarnation` if the engine has another incarnation. */
  engineIncarnation: incarnationSchema.optional()
})
export type StandInOrderMessage = z.infer<typeof standInOrderMessageSchema>

/** The progress of an accepted order. */
export interface StandInOrderStatus {
  orderId: string
  state: 'running' | 'done' | 'failed'
  /** Reason of a failure. */
  detail?: string
}

/**
 * Outcome of the receipt of an order message. `repeated`: the same order with this id was accepted before. `fenced`:
 * the fencing number is below the greatest accepted one. `conflict`: another order was running, or the id was used
 * for a different order.
 */
export type OrderReception = 'accepted' | 'repeated' | 'conflict' | 'fenced' | 'wrong_incarnation'

/** A received order message and the outcome of its receipt. */
export interface ReceivedOrderMessage extends StandInOrderMessage {
  /** Unix time in milliseconds. */
  at: number
  reception: OrderReception
  /** Set for a conflict: the id of the running order, or the message's own id if no order was running. */
  conflictsWith?: string
}

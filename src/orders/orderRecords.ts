/**
 * Schemas of orders to engines and of the records on the stream `orders`.
 */
import { z } from 'zod'
import { fencingNumberSchema, incarnationSchema, modelSchema, offsetSchema, workerIdSchema } from '../common/index.js'
import { engineRoleSchema } from '../configuration/index.js'
import { leaseHolderSchema, leaseNameSchema } from '../leases/index.js'

const version = z.string().min(1).max(100)

/** A change that an engine has to make. Orders are idempotent: a repeated order changes nothing more. */
export const engineOrderSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('load_model'), model: modelSchema, version }),
  z.strictObject({ kind: z.literal('unload_model'), model: modelSchema }),
  z.strictObject({ kind: z.literal('load_adapter'), adapter: modelSchema, model: modelSchema, version }),
  z.strictObject({ kind: z.literal('load_version'), model: modelSchema, version }),
  z.strictObject({ kind: z.literal('change_role'), role: engineRoleSchema })
])
export type EngineOrder = z.infer<typeof engineOrderSchema>

/** Identifies an order across all attempts to send it. */
export const orderIdSchema = z.string().min(1).max(64).brand<'OrderId'>()
export type OrderId = z.infer<typeof orderIdSchema>

/** The state that an engine reports. */
export const engineStateSchema = z.object({
  incarnation: incarnationSchema,
  role: engineRoleSchema,
  models: z.array(z.object({ model: modelSchema, version: z.string() })),
  adapters: z.array(z.object({ adapter: modelSchema, model: modelSchema, version: z.string() })),
  /** The last order that the engine received, including one that is still running. */
  lastOrderId: z.string().nullable(),
  runningOrderId: z.string().nullable(),
  greatestFencingNumber: z.number().int().nonnegative()
})
export type EngineState = z.infer<typeof engineStateSchema>

/**
 * How an order ended. `not_sent`: the engine certainly did not receive it; `abandoned`: the engine restarted before
 * it reached the target.
 */
export const orderResultSchema = z.enum(['done', 'failed', 'not_sent', 'abandoned'])
export type OrderResult = z.infer<typeof orderResultSchema>

/** Why an order ended and the engine's state at that time, for operators. */
export const outcomeDetailSchema = z.object({
  reason: z.string().max(1000),
  /** The engine's state after the order; absent if it is unknown. */
  state: engineStateSchema.optional()
})
export type OutcomeDetail = z.infer<typeof outcomeDetailSchema>

const authority = { lease: leaseNameSchema, fencingNumber: fencingNumberSchema }

/** A record of the stream `orders`; the projection accepts or refuses it. */
export const orderRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('takeover'), ...authority, holder: leaseHolderSchema }),
  z.object({
    kind: z.literal('intent'),
    ...authority,
    holder: leaseHolderSchema,
    orderId: orderIdSchema,
    engine: workerIdSchema,
    engineIncarnation: incarnationSchema,
    order: engineOrderSchema,
    /** Offset of the engine's last accepted intent or outcome, which this intent follows; 0 if there is none. */
    succeeds: offsetSchema
  }),
  z.object({
    kind: z.literal('outcome'),
    ...authority,
    orderId: orderIdSchema,
    result: orderResultSchema,
    detail: outcomeDetailSchema
  }),
  z.object({
    kind: z.literal('drain'),
    ...authority,
    engine: workerIdSchema,
    /** Time for which each host sends no new work to the engine, starting when that host reads the record; 0 ends the drain. */
    durationMilliseconds: z.number().int().nonnegative()
  }),
  z.object({ kind: z.literal('confirm'), orderId: orderIdSchema, operator: z.string().min(1).max(100) })
])
export type OrderRecord = z.infer<typeof orderRecordSchema>

/** An accepted intent that has no outcome yet. */
export const openIntentSchema = z.object({
  ...authority,
  holder: leaseHolderSchema,
  orderId: orderIdSchema,
  engine: workerIdSchema,
  engineIncarnation: incarnationSchema,
  order: engineOrderSchema,
  offset: offsetSchema
})
export type OpenIntent = z.infer<typeof openIntentSchema>

/** A lease holder that may still have an order in flight to an engine. */
export const possibleSenderSchema = z.object({ ...authority, holder: leaseHolderSchema, orderId: orderIdSchema })
export type PossibleSender = z.infer<typeof possibleSenderSchema>

/** The state of one engine's orders according to the log. */
export const engineRecordSchema = z.object({
  /** Offset of the last accepted intent or outcome. */
  lastOffset: offsetSchema,
  open: openIntentSchema.optional(),
  last: z.object({
    orderId: orderIdSchema,
    order: engineOrderSchema,
    result: orderResultSchema,
    detail: outcomeDetailSchema
  }).optional(),
  possibleSenders: z.array(possibleSenderSchema)
})
export type EngineRecord = z.infer<typeof engineRecordSchema>

/** A mark by which each host sends no new work to an engine for the duration, starting when that host reads the mark. */
export const drainMarkSchema = z.object({ offset: offsetSchema, durationMilliseconds: z.number().int().positive() })
export type DrainMark = z.infer<typeof drainMarkSchema>

/** The state of the stream `orders`. */
export const orderTableSchema = z.object({
  /** The greatest fencing number in an accepted takeover of each lease, with its holder. */
  leases: z.record(z.string(), z.object({ fencingNumber: fencingNumberSchema, holder: leaseHolderSchema })),
  engines: z.record(z.string(), engineRecordSchema),
  drains: z.record(z.string(), drainMarkSchema).default({})
})
export type OrderTable = z.infer<typeof orderTableSchema>

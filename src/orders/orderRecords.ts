/**
 * Orders to engines and their records on the stream `orders`.
 */
import { z } from 'zod'
import { fencingNumberSchema, incarnationSchema, modelSchema, offsetSchema, workerIdSchema } from '../common/index.js'
import { engineRoleSchema } from '../configuration/index.js'
import { leaseHolderSchema, leaseNameSchema } from '../leases/index.js'

const version = z.string().min(1).max(100)

/** What an engine shall become. The same order, repeated, changes nothing more. */
export const engineOrderSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('load_model'), model: modelSchema, version }),
  z.strictObject({ kind: z.literal('unload_model'), model: modelSchema }),
  z.strictObject({ kind: z.literal('load_adapter'), adapter: modelSchema, model: modelSchema, version }),
  z.strictObject({ kind: z.literal('load_version'), model: modelSchema, version }),
  z.strictObject({ kind: z.literal('change_role'), role: engineRoleSchema })
])
export type EngineOrder = z.infer<typeof engineOrderSchema>

/** Names one order over all its sends. */
export const orderIdSchema = z.string().min(1).max(64).brand<'OrderId'>()
export type OrderId = z.infer<typeof orderIdSchema>

/** What an engine says about itself. */
export const engineStateSchema = z.object({
  incarnation: incarnationSchema,
  role: engineRoleSchema,
  models: z.array(z.object({ model: modelSchema, version: z.string() })),
  adapters: z.array(z.object({ adapter: modelSchema, model: modelSchema, version: z.string() })),
  /** The last order that was received, also while it is running. */
  lastOrderId: z.string().nullable(),
  runningOrderId: z.string().nullable(),
  greatestFencingNumber: z.number().int().nonnegative()
})
export type EngineState = z.infer<typeof engineStateSchema>

/** How an order ended. */
export const orderResultSchema = z.enum(['done', 'failed', 'not_sent', 'abandoned'])
export type OrderResult = z.infer<typeof orderResultSchema>

/** Facts about the end of an order, for operators. */
export const outcomeDetailSchema = z.object({
  reason: z.string().max(1000),
  /** The engine's state after the order; absent if it was not known. */
  state: engineStateSchema.optional()
})
export type OutcomeDetail = z.infer<typeof outcomeDetailSchema>

const authority = { lease: leaseNameSchema, fencingNumber: fencingNumberSchema }

/** A record that may change the state of orders. */
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
    /** Offset of the engine's last accepted intent or outcome; 0 if there is none. */
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
    /** Time for which hosts give the engine no new work, from when each reads the record; 0 ends it. */
    durationMilliseconds: z.number().int().nonnegative()
  }),
  z.object({ kind: z.literal('confirm'), orderId: orderIdSchema, operator: z.string().min(1).max(100) })
])
export type OrderRecord = z.infer<typeof orderRecordSchema>

/** An order that was decided and has no outcome yet. */
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

/** A holder that may still have an order to an engine on its way. */
export const possibleSenderSchema = z.object({ ...authority, holder: leaseHolderSchema, orderId: orderIdSchema })
export type PossibleSender = z.infer<typeof possibleSenderSchema>

/** What the log says about one engine. */
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

/** A mark that an engine gets no new work. */
export const drainMarkSchema = z.object({ offset: offsetSchema, durationMilliseconds: z.number().int().positive() })
export type DrainMark = z.infer<typeof drainMarkSchema>

/** The state of the stream `orders`. */
export const orderTableSchema = z.object({
  /** The greatest fencing number of each lease that a takeover named, with its holder. */
  leases: z.record(z.string(), z.object({ fencingNumber: fencingNumberSchema, holder: leaseHolderSchema })),
  engines: z.record(z.string(), engineRecordSchema),
  drains: z.record(z.string(), drainMarkSchema).default({})
})
export type OrderTable = z.infer<typeof orderTableSchema>

/**
 * Decodes how the operators allow a service to grow and shrink.
 */
import { z } from 'zod'
import type { PoolScaling } from '../capacity/index.js'
import { type Zone, zoneSchema } from '../common/index.js'

const count = z.number().int().nonnegative()

/** `autoscaling` of a service. Prices are relative to each other. */
export const scalingSchema = z.object({
  'min-replicas': count,
  'max-replicas': count,
  'startup-s': z.number().nonnegative().default(0),
  'spot-price': z.number().nonnegative().optional(),
  'zone-prices': z.record(zoneSchema, z.number().nonnegative()).default({})
}).refine(scaling => scaling['min-replicas'] <= scaling['max-replicas'], 'min-replicas is greater than max-replicas')

const millisecondsPerSecond = 1000

/** The scaling of a service in the words of the product. */
export function scalingOf (document: z.infer<typeof scalingSchema>): PoolScaling {
  return {
    minWorkersPerZone: document['min-replicas'],
    maxWorkersPerZone: document['max-replicas'],
    startupMilliseconds: document['startup-s'] * millisecondsPerSecond,
    spotPrice: document['spot-price'],
    zonePrices: new Map(Object.entries(document['zone-prices']) as Array<[Zone, number]>)
  }
}

/**
 * Schemas of leases and of their records on the stream `leases`.
 */
import { z } from 'zod'
import { fencingNumberSchema, hostIdSchema, incarnationSchema, offsetSchema, type Zone } from '../common/index.js'

/** Name of a lease: `snapshots` or `zone/<zone>/planner`. */
export const leaseNameSchema = z.string()
  .regex(/^(snapshots|zone\/[a-z0-9][a-z0-9._-]{0,62}\/planner)$/, 'must be "snapshots" or "zone/<zone>/planner"')
  .brand<'LeaseName'>()
export type LeaseName = z.infer<typeof leaseNameSchema>

/** The lease whose holder writes snapshots of all streams. */
export const snapshotsLease = leaseNameSchema.parse('snapshots')

/** The lease whose holder plans the roles of a zone's engines and sends them orders. */
export function plannerLeaseOf (zone: Zone): LeaseName {
  return `zone/${zone}/planner` as LeaseName
}

/** One incarnation of a host. A restarted host is a different holder. */
export const leaseHolderSchema = z.object({ hostId: hostIdSchema, incarnation: incarnationSchema })
export type LeaseHolder = z.infer<typeof leaseHolderSchema>

/** True if both are the same incarnation of the same host. */
export function isSameHolder (left: LeaseHolder, right: LeaseHolder): boolean {
  return left.hostId === right.hostId && left.incarnation === right.incarnation
}

/** Maximum accepted duration of a lease. Limits how long an erroneous record can block a lease. */
const maxDurationMilliseconds = 600_000

const commonMembers = {
  lease: leaseNameSchema,
  holder: leaseHolderSchema,
  /** Offset of the lease's last accepted record, which this record follows; 0 if there is none. */
  succeeds: offsetSchema
}

/** A request to claim, renew or release a lease; the projection accepts or refuses it. */
export const leaseRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claim'), ...commonMembers, duration: z.number().int().positive().max(maxDurationMilliseconds) }),
  z.object({ kind: z.literal('renew'), ...commonMembers }),
  z.object({ kind: z.literal('release'), ...commonMembers })
])
export type LeaseRecord = z.infer<typeof leaseRecordSchema>

/** State of a lease after its last accepted record. */
export const leaseStateSchema = z.object({
  /** The most recent holder; kept after a release. */
  holder: leaseHolderSchema,
  isReleased: z.boolean(),
  /** Offset of the last accepted record. */
  lastOffset: offsetSchema,
  /** Offset of the last accepted claim. */
  fencingNumber: fencingNumberSchema,
  /** Maximum time for which the holder has authority after it sent an accepted record, in milliseconds. */
  duration: z.number()
})
export type LeaseState = z.infer<typeof leaseStateSchema>

/** All leases by name. */
export const leaseTableSchema = z.record(z.string(), leaseStateSchema)
export type LeaseTable = z.infer<typeof leaseTableSchema>

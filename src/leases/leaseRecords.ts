/**
 * Leases and their records on the stream `leases`.
 */
import { z } from 'zod'
import { fencingNumberSchema, hostIdSchema, incarnationSchema, offsetSchema, type Zone } from '../common/index.js'

/** Name of a lease. */
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

/** One start of a host. A restarted host is another holder. */
export const leaseHolderSchema = z.object({ hostId: hostIdSchema, incarnation: incarnationSchema })
export type LeaseHolder = z.infer<typeof leaseHolderSchema>

/** True if both are the same start of the same host. */
export function isSameHolder (left: LeaseHolder, right: LeaseHolder): boolean {
  return left.hostId === right.hostId && left.incarnation === right.incarnation
}

/** Longest duration of a lease, in milliseconds; a mistaken record must not block a lease for longer. */
const maxDurationMilliseconds = 600_000

const members = {
  lease: leaseNameSchema,
  holder: leaseHolderSchema,
  /** Offset of the last accepted record of the lease; 0 if there is none. */
  succeeds: offsetSchema
}

/** A record that may change a lease. */
export const leaseRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claim'), ...members, duration: z.number().int().positive().max(maxDurationMilliseconds) }),
  z.object({ kind: z.literal('renew'), ...members }),
  z.object({ kind: z.literal('release'), ...members })
])
export type LeaseRecord = z.infer<typeof leaseRecordSchema>

/** A lease after its last accepted record. */
export const leaseStateSchema = z.object({
  /** The last holder, even after a release. */
  holder: leaseHolderSchema,
  isReleased: z.boolean(),
  /** Offset of the last accepted record. */
  lastOffset: offsetSchema,
  /** Offset of the last accepted claim. */
  fencingNumber: fencingNumberSchema,
  /** Milliseconds from the sending of an accepted record for which the holder may have authority. */
  duration: z.number()
})
export type LeaseState = z.infer<typeof leaseStateSchema>

/** All leases by name. */
export const leaseTableSchema = z.record(z.string(), leaseStateSchema)
export type LeaseTable = z.infer<typeof leaseTableSchema>

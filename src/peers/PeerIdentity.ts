/**
 * Types that identify the sender and the receiver of a call between entry hosts.
 */
import { z } from 'zod'
import { type HostId, hostIdSchema, type Incarnation, incarnationSchema } from '../common/index.js'

/** One incarnation of an entry host. Each call between hosts names its sender by this identity. */
export const peerIdentitySchema = z.object({ hostId: hostIdSchema, incarnation: incarnationSchema })
export type PeerIdentity = z.infer<typeof peerIdentitySchema>

/** The host that a call is for. */
export interface PeerTarget {
  hostId: HostId
  /** `ip:port` of the host's peer server. */
  address: string
  /** Incarnation that the call is for; at any other one the call fails with `wrong_incarnation`. Absent: any incarnation. */
  incarnation?: Incarnation
}

/** Metadata key of the incarnation that the caller expects the receiver to have. */
export const expectedIncarnationKey = 'x-dogwooddale-incarnation'

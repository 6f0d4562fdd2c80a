/**
 * Who speaks and who is spoken to between entry hosts.
 */
import { z } from 'zod'
import { type HostId, hostIdSchema, type Incarnation, incarnationSchema } from '../common/index.js'

/** One start of one entry host; each call between hosts names its sender by it. */
export const peerIdentitySchema = z.object({ hostId: hostIdSchema, incarnation: incarnationSchema })
export type PeerIdentity = z.infer<typeof peerIdentitySchema>

/** The host that a call is for. */
export interface PeerTarget {
  hostId: HostId
  /** `ip:port` of the host's peer server. */
  address: string
  /** Start of the host that the call is for; another one answers `wrong_incarnation`. Absent: any. */
  incarnation?: Incarnation
}

/** Metadata key with the incarnation that the caller expects at the receiver. */
export const expectedIncarnationKey = 'x-dogwooddale-incarnation'

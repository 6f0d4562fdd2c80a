/**
 * Idempotency keys of calls that run at most once: `<hostId>.<incarnation>.<sequence>.<mac>`. The message
 * authentication code covers the other parts and the team, so callers cannot forge keys or use those of another team.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { type HostId, hostIdSchema, type Incarnation, incarnationSchema, type Team } from '../common/index.js'

/** A parsed key. `mac` is its message authentication code in hexadecimal digits. */
export interface IssuedKey {
  hostId: HostId
  incarnation: Incarnation
  sequence: number
  mac: string
}

/** Parses a key; returns undefined if the text has another form. */
export function parseKey (text: string): IssuedKey | undefined {
  const parts = /^(.+)\.([0-9a-f]{16})\.([1-9]\d{0,14})\.([0-9a-f]{32})$/.exec(text)
  if (parts === null) return undefined
  const hostId = hostIdSchema.safeParse(parts[1])
  const incarnation = incarnationSchema.safeParse(parts[2])
  if (!hostId.success || !incarnation.success) return undefined
  return { hostId: hostId.data, incarnation: incarnation.data, sequence: Number(parts[3]), mac: parts[4]! }
}

/** Creates and verifies the keys of one incarnation of a host. The secret never leaves the process. */
export class KeySigner {
  private readonly secret = randomBytes(32)

  constructor (private readonly hostId: HostId, private readonly incarnation: Incarnation) {}

  /** Creates the key with this sequence number for the team. */
  createKey (sequence: number, team: Team): string {
    return `${this.signedPart(sequence)}.${this.mac(sequence, team)}`
  }

  /** True if this incarnation of the host created the key for the team. */
  verify (key: IssuedKey, team: Team): boolean {
    return timingSafeEqual(Buffer.from(key.mac), Buffer.from(this.mac(key.sequence, team)))
  }

  private signedPart (sequence: number): string {
    return `${this.hostId}.${this.incarnation}.${sequence}`
  }

  private mac (sequence: number, team: Team): string {
    return createHmac('sha256', this.secret).update(`${this.signedPart(sequence)}.${team}`).digest('hex').slice(0, 32)
  }
}

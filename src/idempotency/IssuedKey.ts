/**
 * Keys of calls that run at most once: `<hostId>.<incarnation>.<sequence>.<mac>`. The code over the parts and
 * the team keeps callers from making up keys or using those of another team.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { type HostId, hostIdSchema, type Incarnation, incarnationSchema, type Team } from '../common/index.js'

/** Parts of a key. */
export interface IssuedKey {
  hostId: HostId
  incarnation: Incarnation
  sequence: number
  mac: string
}

/** Parses a key; undefined if it has another form. */
export function parseKey (text: string): IssuedKey | undefined {
  const parts = /^(.+)\.([0-9a-f]{16})\.([1-9]\d{0,14})\.([0-9a-f]{32})$/.exec(text)
  if (parts === null) return undefined
  const hostId = hostIdSchema.safeParse(parts[1])
  const incarnation = incarnationSchema.safeParse(parts[2])
  if (!hostId.success || !incarnation.success) return undefined
  return { hostId: hostId.data, incarnation: incarnation.data, sequence: Number(parts[3]), mac: parts[4]! }
}

/** Makes and checks the keys of one incarnation of a host. The secret never leaves the process. */
export class KeyMaker {
  private readonly secret = randomBytes(32)

  constructor (private readonly hostId: HostId, private readonly incarnation: Incarnation) {}

  /** The key with the given sequence number. */
  make (sequence: number, team: Team): string {
    return `${this.head(sequence)}.${this.mac(sequence, team)}`
  }

  /** True if this incarnation made the key for the team. */
  check (key: IssuedKey, team: Team): boolean {
    return timingSafeEqual(Buffer.from(key.mac), Buffer.from(this.mac(key.sequence, team)))
  }

  private head (sequence: number): string {
    return `${this.hostId}.${this.incarnation}.${sequence}`
  }

  private mac (sequence: number, team: Team): string {
    return createHmac('sha256', this.secret).update(`${this.head(sequence)}.${team}`).digest('hex').slice(0, 32)
  }
}

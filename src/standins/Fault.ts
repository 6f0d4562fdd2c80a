/**
 * Faults that a stand-in can be told to show, and the table of those that are set.
 */
import { z } from 'zod'
import type { Clock } from '../common/index.js'

const milliseconds = z.number().nonnegative()

const scope = {
  /** Only calls of this method. */
  method: z.string().optional(),
  /** Only calls whose path starts with this. */
  path: z.string().startsWith('/').optional(),
  /** How often the fault applies; absent: until it is cleared. */
  count: z.number().int().positive().optional(),
  /** The fault ends by itself after this time. */
  durationMilliseconds: z.number().positive().optional()
}

/** Whether a fault applies before the call takes effect or after it, before the answer. */
const when = z.enum(['before', 'after']).default('before')

const chunkScope = {
  ...scope,
  /** Applies to each chunk whose position is a multiple of this. */
  every: z.number().int().positive().default(1)
}

/** A fault as `POST /faults` takes it. */
export const faultSchema = z.discriminatedUnion('kind', [
  /** Answers with an error status. */
  z.strictObject({ kind: z.literal('refuse'), ...scope, status: z.number().int().min(400).max(599).default(503), when }),
  /** Waits before or after the effect of the call. */
  z.strictObject({ kind: z.literal('delay'), ...scope, milliseconds, when }),
  /**
   * Connections stay open and nothing more is sent on them, for good. `existing`: those open when the fault is
   * set; `all`: also those of later calls, each after `afterBytes` of its answer.
   */
  z.strictObject({
    kind: z.literal('silent'),
    ...scope,
    connections: z.enum(['existing', 'all']).default('existing'),
    afterBytes: z.number().int().nonnegative().default(0)
  }),
  /** Closes the connection after the call took effect. */
  z.strictObject({ kind: z.literal('lose_answer'), ...scope }),
  /**
   * No call takes effect, and open connections are closed. `unavailable`: calls get status 503; `disconnect`:
   * their connections are closed; `refused`: connections are refused, for `durationMilliseconds` (then required).
   */
  z.strictObject({
    kind: z.literal('outage'),
    ...scope,
    mode: z.enum(['unavailable', 'disconnect', 'refused']).default('unavailable')
  }).refine(fault => fault.mode !== 'refused' || fault.durationMilliseconds !== undefined, {
    path: ['durationMilliseconds'], message: 'required, since a process that refuses connections cannot be told to stop it'
  }),
  /** Resets the connection after this many bytes of the answer, headers included. */
  z.strictObject({ kind: z.literal('reset_after_bytes'), ...scope, bytes: z.number().int().nonnegative() }),
  /** Readers see the state of this long ago, in place of the lag in the settings. */
  z.strictObject({ kind: z.literal('lag'), ...scope, milliseconds }),
  /** Ends the process, at once or with the next call in scope. */
  z.strictObject({ kind: z.literal('crash'), ...scope, when: z.enum(['now', 'before', 'after']).default('now') }),
  /** Sends chunks twice; `attemptId` replaces the attempt id of the copies. */
  z.strictObject({ kind: z.literal('duplicate_chunks'), ...chunkScope, attemptId: z.string().optional() }),
  /** Sends chunks late, while later ones go on. */
  z.strictObject({ kind: z.literal('late_chunks'), ...chunkScope, milliseconds }),
  /** Sends chunks after their successor. */
  z.strictObject({ kind: z.literal('reordered_chunks'), ...chunkScope })
])

/** A fault. */
export type Fault = z.infer<typeof faultSchema>
/** A fault as a caller writes it, without the members that have defaults. */
export type FaultInput = z.input<typeof faultSchema>
type FaultKind = Fault['kind']
type FaultOf<Kind extends FaultKind> = Extract<Fault, { kind: Kind }>

/** The call that a fault may apply to. */
export interface FaultCall {
  method: string
  path: string
}

interface Entry {
  fault: Fault
  setAt: number
  /** How often the fault still applies. */
  left: number
}

function isInScope (fault: Fault, call: FaultCall): boolean {
  if (fault.method !== undefined && fault.method !== call.method) return false
  return fault.path === undefined || call.path.startsWith(fault.path)
}

/** The faults of one stand-in. */
export class FaultTable {
  private entries: Entry[] = []

  constructor (private readonly clock: Clock) {}

  /** Sets a further fault. */
  add (fault: Fault): void {
    this.entries.push({ fault, setAt: this.clock.monotonic(), left: fault.count ?? Infinity })
  }

  /** The faults that are set, with the count that remains. */
  list (): Fault[] {
    this.expire()
    return this.entries.map(({ fault, left }) => left === Infinity ? fault : { ...fault, count: left })
  }

  /** Ends all faults. */
  clear (): void {
    this.entries = []
  }

  /** The first fault of the kind that applies to the call; uses up one of its count. */
  take<Kind extends FaultKind> (
    kind: Kind,
    call: FaultCall,
    applies: (fault: FaultOf<Kind>) => boolean = () => true
  ): FaultOf<Kind> | undefined {
    this.expire()
    const entry = this.entries.find(({ fault }) => {
      return fault.kind === kind && isInScope(fault, call) && applies(fault as FaultOf<Kind>)
    })
    if (entry === undefined) return undefined
    entry.left -= 1
    return entry.fault as FaultOf<Kind>
  }

  /** Lag of reads in milliseconds, from a fault or else the given one. */
  lagMilliseconds (call: FaultCall, otherwise: number): number {
    return this.take('lag', call)?.milliseconds ?? otherwise
  }

  private expire (): void {
    const now = this.clock.monotonic()
    this.entries = this.entries.filter(({ fault, setAt, left }) => {
      return left > 0 && now < setAt + (fault.durationMilliseconds ?? Infinity)
    })
  }
}

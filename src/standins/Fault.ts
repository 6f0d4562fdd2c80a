/**
 * Faults that can be injected into a stand-in, and the table of those that are set.
 */
import { z } from 'zod'
import type { Clock } from '../common/index.js'

const milliseconds = z.number().nonnegative()

const scope = {
  /** Applies only to calls with this HTTP method. */
  method: z.string().optional(),
  /** Applies only to calls whose path starts with this prefix. */
  path: z.string().startsWith('/').optional(),
  /** Number of times the fault applies. Absent: until it is cleared. */
  count: z.number().int().positive().optional(),
  /** Time until the fault expires. Absent: it does not expire. */
  durationMilliseconds: z.number().positive().optional()
}

/** Whether a fault applies before the call takes effect, or after the effect and before the response is sent. */
const when = z.enum(['before', 'after']).default('before')

const chunkScope = {
  ...scope,
  /** Applies to each chunk whose position is a multiple of this number. */
  every: z.number().int().positive().default(1)
}

/** One fault in the body of `POST /faults`. */
export const faultSchema = z.discriminatedUnion('kind', [
  /** Answers with an error status. */
  z.strictObject({ kind: z.literal('refuse'), ...scope, status: z.number().int().min(400).max(599).default(503), when }),
  /** Waits before or after the effect of the call. */
  z.strictObject({ kind: z.literal('delay'), ...scope, milliseconds, when }),
  /**
   * Connections stay open and nothing more is ever sent on them. `existing`: the connections that are open when the
   * fault is set; `all`: also those of later calls, each after `afterBytes` of its response.
   */
  z.strictObject({
    kind: z.literal('silent'),
    ...scope,
    connections: z.enum(['existing', 'all']).default('existing'),
    afterBytes: z.number().int().nonnegative().default(0)
  }),
  /** Closes the connection after the call took effect, without a response. */
  z.strictObject({ kind: z.literal('lose_answer'), ...scope }),
  /**
   * No call takes effect, and open connections are closed. `unavailable`: calls fail with status 503; `disconnect`: the
   * connections of calls are closed; `refused`: new connections are refused for `durationMilliseconds`, which this
   * mode requires.
   */
  z.strictObject({
    kind: z.literal('outage'),
    ...scope,
    mode: z.enum(['unavailable', 'disconnect', 'refused']).default('unavailable')
  }).refine(fault => fault.mode !== 'refused' || fault.durationMilliseconds !== undefined, {
    path: ['durationMilliseconds'], message: 'required for mode "refused", since a stand-in that refuses connections cannot receive the call that clears the fault'
  }),
  /** Resets the connection after `bytes` of the response, headers included. */
  z.strictObject({ kind: z.literal('reset_after_bytes'), ...scope, bytes: z.number().int().nonnegative() }),
  /** Reads return the state as it was `milliseconds` ago; replaces the lag of the settings. */
  z.strictObject({ kind: z.literal('lag'), ...scope, milliseconds }),
  /** Ends the process: immediately, or before or after the next call in scope takes effect. */
  z.strictObject({ kind: z.literal('crash'), ...scope, when: z.enum(['now', 'before', 'after']).default('now') }),
  /** Sends chunks twice; `attemptId` replaces the attempt id of the copies. */
  z.strictObject({ kind: z.literal('duplicate_chunks'), ...chunkScope, attemptId: z.string().optional() }),
  /** Delays chunks by `milliseconds`, without holding back the chunks after them. */
  z.strictObject({ kind: z.literal('late_chunks'), ...chunkScope, milliseconds }),
  /** Sends each affected chunk after the chunk that follows it. */
  z.strictObject({ kind: z.literal('reordered_chunks'), ...chunkScope })
])

/** A validated fault, with the defaults filled in. */
export type Fault = z.infer<typeof faultSchema>
/** A fault before validation; members with defaults are optional. */
export type FaultInput = z.input<typeof faultSchema>
type FaultKind = Fault['kind']
type FaultOf<Kind extends FaultKind> = Extract<Fault, { kind: Kind }>

/** The call that a fault may apply to. */
export interface FaultCall {
  method: string
  path: string
}

interface FaultEntry {
  fault: Fault
  /** Monotonic time in milliseconds. */
  setAt: number
  /** Number of times the fault can still apply. */
  remainingCount: number
}

function isInScope (fault: Fault, call: FaultCall): boolean {
  if (fault.method !== undefined && fault.method !== call.method) return false
  return fault.path === undefined || call.path.startsWith(fault.path)
}

/** The faults of one stand-in. */
export class FaultTable {
  private entries: FaultEntry[] = []

  constructor (private readonly clock: Clock) {}

  /** Adds a fault to those that are set. */
  add (fault: Fault): void {
    this.entries.push({ fault, setAt: this.clock.monotonic(), remainingCount: fault.count ?? Infinity })
  }

  /** The faults that are set, each with its remaining count. */
  list (): Fault[] {
    this.expire()
    return this.entries.map(({ fault, remainingCount }) =>
      remainingCount === Infinity ? fault : { ...fault, count: remainingCount })
  }

  /** Clears all faults. */
  clear (): void {
    this.entries = []
  }

  /** The first fault of the kind that applies to the call, or undefined; reduces its remaining count by one. */
  take<Kind extends FaultKind> (
    kind: Kind,
    call: FaultCall,
    matches: (fault: FaultOf<Kind>) => boolean = () => true
  ): FaultOf<Kind> | undefined {
    this.expire()
    const entry = this.entries.find(({ fault }) => {
      return fault.kind === kind && isInScope(fault, call) && matches(fault as FaultOf<Kind>)
    })
    if (entry === undefined) return undefined
    entry.remainingCount -= 1
    return entry.fault as FaultOf<Kind>
  }

  /** Lag of reads in milliseconds: that of a `lag` fault, or else the default. */
  lagMilliseconds (call: FaultCall, defaultLagMilliseconds: number): number {
    return this.take('lag', call)?.milliseconds ?? defaultLagMilliseconds
  }

  private expire (): void {
    const now = this.clock.monotonic()
    this.entries = this.entries.filter(({ fault, setAt, remainingCount }) => {
      return remainingCount > 0 && now < setAt + (fault.durationMilliseconds ?? Infinity)
    })
  }
}

/**
 * Shared test helpers for log streams: a small projection whose state depends on the order of all records, and functions
 * that create records and advance the manual clock.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Clock, failure, type Failure, ManualClock, newRecordId } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { InMemoryLogClient, type LogClient, type StreamName } from '../clients/index.js'
import { FollowerGroup, type FollowerGroupOptions } from './FollowerGroup.js'
import { LogSource } from './LogSource.js'
import { FixedSourceDirectory } from './RecordSource.js'
import { type ApplyOutcome, currentRecordVersion, type StreamRecord, StreamProjection } from './StreamProjection.js'

const digestStateSchema = z.object({ digest: z.number(), count: z.number() })

/** Keeps a running digest. Accepts `add { number }` always, and `guard { digest }` only if it has the current digest. */
export class DigestProjection extends StreamProjection {
  digest = 7
  count = 0

  constructor (readonly stream: StreamName = 'configuration') {
    super()
  }

  apply (record: StreamRecord): ApplyOutcome {
    const { kind, number, digest } = record.value
    if (kind === 'add' && typeof number === 'number') return this.addToDigest(number)
    if (kind === 'guard' && digest === this.digest) return this.addToDigest(1)
    return { accepted: false, failure: failure(kind === 'guard' ? 'conflict' : 'bad_request', 'not applicable') }
  }

  snapshot (): unknown {
    return { digest: this.digest, count: this.count }
  }

  restore (state: unknown): Result<void, Failure> {
    const parsed = digestStateSchema.safeParse(state)
    if (!parsed.success) return Result.err(failure('bad_request', 'not a state of this projection'))
    this.digest = parsed.data.digest
    this.count = parsed.data.count
    return Result.ok(undefined)
  }

  private addToDigest (number: number): ApplyOutcome {
    this.digest = (this.digest * 31 + number) % 1_000_003
    this.count += 1
    return { accepted: true }
  }
}

/** Serialized record of the current version. */
export function recordText (kind: string, members: Record<string, unknown> = {}): string {
  return JSON.stringify({ version: currentRecordVersion, kind, id: newRecordId(), ...members })
}

/** Serialized `add` record. */
export function addText (number: number, members: Record<string, unknown> = {}): string {
  return recordText('add', { number, ...members })
}

/** Creates an event log that discards its output. */
export function discardingEventLog (clock: Clock, process = 'test'): EventLog {
  return new EventLog({ timeline: new Timeline(process, new HybridClock(clock)), level: 'error', write: () => {} })
}

/** Advances the clock in steps of 25 ms until the condition holds; throws after `limitMilliseconds` of the manual clock. */
export async function advanceUntil (clock: ManualClock, condition: () => boolean, limitMilliseconds = 60_000): Promise<void> {
  const stepMilliseconds = 25
  for (let waitedMilliseconds = 0; !condition(); waitedMilliseconds += stepMilliseconds) {
    if (waitedMilliseconds > limitMilliseconds) throw new Error(`the condition did not hold within ${limitMilliseconds} ms of the manual clock`)
    await clock.advance(waitedMilliseconds === 0 ? 0 : stepMilliseconds)
  }
}

/** Advances the clock until the promise settles, then returns its value or rethrows its error. */
export async function advanceUntilSettled<Value> (clock: ManualClock, promise: Promise<Value>): Promise<Value> {
  let isSettled = false
  const settle = (): void => { isSettled = true }
  promise.then(settle, settle)
  await advanceUntil(clock, () => isSettled)
  return await promise
}

/** A manual clock, an in-memory log, and the follower groups that a test creates on them. */
export class StreamFixture {
  readonly clock = new ManualClock()
  readonly log = new InMemoryLogClient(this.clock)
  private readonly groups: FollowerGroup[] = []

  /** Creates and starts a follower group; by default its only source is the log. */
  startGroup (
    projections: StreamProjection[],
    options: Partial<FollowerGroupOptions> & { clock?: Clock, log?: LogClient } = {}
  ): FollowerGroup {
    const { clock, log } = { clock: this.clock, log: this.log, ...options }
    const source = new LogSource({ log, clock, random: () => 0 })
    const group = new FollowerGroup({
      projections,
      directory: new FixedSourceDirectory([source]),
      log,
      clock,
      events: discardingEventLog(clock),
      random: () => 0,
      ...options
    })
    this.groups.push(group)
    group.start()
    return group
  }

  /** Advances the clock until the group is ready. */
  async waitUntilReady (group: FollowerGroup): Promise<FollowerGroup> {
    await advanceUntil(this.clock, () => group.isReady)
    return group
  }

  /** Stops all groups. */
  async stop (): Promise<void> {
    await Promise.all(this.groups.map(group => group.stop()))
  }
}

/**
 * The calls that ran under keys of this host, with their outcomes. A key that was used stays in the table
 * until it has expired, so that it never runs again; only the stored answer may be given up before.
 */
import type { Result } from 'true-myth'
import type { Failure } from '../common/index.js'
import type { OnceAnswer } from './IssuerClient.js'

/** Outcome of a call. */
export type OnceOutcome = Result<OnceAnswer, Failure>

/** One used key. */
export interface UsedKey {
  /** Hash of the call, to tell a repeated call from another one under the same key. */
  fingerprint: string
  /** The one run; duplicates wait for it. */
  running: Promise<OnceOutcome>
  /** Set when the run has ended; `dropped` when its answer had to make room. */
  outcome: OnceOutcome | 'dropped' | undefined
  bytes: number
  /** Monotonic time in milliseconds. */
  endedAt: number | undefined
}

/** Limits of the table. */
export interface OutcomeLimits {
  maxKeys: number
  /** Bytes of stored answers. */
  maxBytes: number
  keepMilliseconds: number
}

/** Used keys by sequence number, in order of use. */
export class OutcomeTable {
  private readonly used = new Map<number, UsedKey>()
  private bytes = 0

  constructor (private readonly limits: OutcomeLimits) {}

  get size (): number {
    return this.used.size
  }

  get storedBytes (): number {
    return this.bytes
  }

  get (sequence: number): UsedKey | undefined {
    return this.used.get(sequence)
  }

  /** Adds a key that is about to run; false if the table is full. */
  add (sequence: number, key: UsedKey, now: number, expiredThrough: number): boolean {
    if (this.used.size >= this.limits.maxKeys) this.removeOld(now, expiredThrough)
    if (this.used.size >= this.limits.maxKeys) return false
    this.used.set(sequence, key)
    return true
  }

  /** Forgets a key whose call certainly did not run. */
  forget (sequence: number): void {
    this.used.delete(sequence)
  }

  /** Stores the outcome of a run; the oldest answers make room. */
  store (sequence: number, outcome: OnceOutcome, now: number): void {
    const key = this.used.get(sequence)
    if (key === undefined) return
    key.outcome = outcome
    key.endedAt = now
    key.bytes = outcome.isOk ? outcome.value.body.length : 0
    this.bytes += key.bytes
    if (this.bytes > this.limits.maxBytes) this.dropAnswers()
  }

  /** Removes keys that have expired and whose outcome was kept long enough. */
  removeOld (now: number, expiredThrough: number): void {
    for (const [sequence, key] of this.used) {
      if (key.endedAt === undefined || sequence > expiredThrough) continue
      if (now - key.endedAt < this.limits.keepMilliseconds) continue
      if (key.outcome !== 'dropped') this.bytes -= key.bytes
      this.used.delete(sequence)
    }
  }

  private dropAnswers (): void {
    for (const key of this.used.values()) {
      if (this.bytes <= this.limits.maxBytes) return
      if (key.outcome === undefined || key.outcome === 'dropped' || key.bytes === 0) continue
      key.outcome = 'dropped'
      this.bytes -= key.bytes
    }
  }
}

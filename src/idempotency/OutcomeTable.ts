/**
 * Stores the used keys of this host with the outcomes of their calls. A used key stays in the table until it has
 * expired, so that the call never runs again; only the stored response may be evicted earlier.
 */
import type { Result } from 'true-myth'
import type { Failure } from '../common/index.js'
import type { OnceAnswer } from './IssuerClient.js'

/** How the run of a call ended: the service's response, or the failure. */
export type OnceOutcome = Result<OnceAnswer, Failure>

/** A used key with the run and the outcome of the call that used it. */
export interface UsedKey {
  /** Hash of the call; distinguishes a duplicate from a different call under the same key. */
  fingerprint: string
  /** Resolves with the outcome of the only run of the call; duplicates wait for it. */
  outcomePromise: Promise<OnceOutcome>
  /** Set when the run has ended; `evicted` if the response was removed to make room for later ones. */
  outcome: OnceOutcome | 'evicted' | undefined
  /** Size of the response body. */
  bytes: number
  /** Monotonic time at which the run ended, in milliseconds. */
  endedAt: number | undefined
}

/** Limits of an `OutcomeTable`. */
export interface OutcomeLimits {
  /** Maximum number of used keys. */
  maxKeys: number
  /** Maximum total size of stored responses, in bytes. */
  maxBytes: number
  /** Time for which an outcome is kept after the run has ended, in milliseconds. */
  keepMilliseconds: number
}

/** Used keys by sequence number, in order of use. */
export class OutcomeTable {
  private readonly usedKeys = new Map<number, UsedKey>()
  private bytes = 0

  constructor (private readonly limits: OutcomeLimits) {}

  get size (): number {
    return this.usedKeys.size
  }

  get storedBytes (): number {
    return this.bytes
  }

  get (sequence: number): UsedKey | undefined {
    return this.usedKeys.get(sequence)
  }

  /** Adds a key whose call is about to run; returns false if the table is full. */
  add (sequence: number, key: UsedKey, now: number, lastExpiredSequence: number): boolean {
    if (this.usedKeys.size >= this.limits.maxKeys) this.removeExpired(now, lastExpiredSequence)
    if (this.usedKeys.size >= this.limits.maxKeys) return false
    this.usedKeys.set(sequence, key)
    return true
  }

  /** Removes a key whose call certainly did not run. */
  remove (sequence: number): void {
    this.usedKeys.delete(sequence)
  }

  /** Stores the outcome of a run; evicts the oldest responses if the stored responses exceed the size limit. */
  store (sequence: number, outcome: OnceOutcome, now: number): void {
    const key = this.usedKeys.get(sequence)
    if (key === undefined) return
    key.outcome = outcome
    key.endedAt = now
    key.bytes = outcome.isOk ? outcome.value.body.length : 0
    this.bytes += key.bytes
    if (this.bytes > this.limits.maxBytes) this.evictResponses()
  }

  /** Removes keys that have expired and whose outcome was kept long enough. */
  removeExpired (now: number, lastExpiredSequence: number): void {
    for (const [sequence, key] of this.usedKeys) {
      if (key.endedAt === undefined || sequence > lastExpiredSequence) continue
      if (now - key.endedAt < this.limits.keepMilliseconds) continue
      if (key.outcome !== 'evicted') this.bytes -= key.bytes
      this.usedKeys.delete(sequence)
    }
  }

  private evictResponses (): void {
    for (const key of this.usedKeys.values()) {
      if (this.bytes <= this.limits.maxBytes) return
      if (key.outcome === undefined || key.outcome === 'evicted' || key.bytes === 0) continue
      key.outcome = 'evicted'
      this.bytes -= key.bytes
    }
  }
}

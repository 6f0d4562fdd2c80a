/**
 * Issues idempotency keys and stores the outcomes of the calls made with them. A call runs only on the host that
 * issued its key, and at most once there.
 */
import { createHash } from 'node:crypto'
import { Result } from 'true-myth'
import { type Clock, errorResponses, type Failure, failure, type HostId, type Incarnation, type Team } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import { KeySigner, parseKey } from './IssuedKey.js'
import type { IssuerClient, OnceCall } from './IssuerClient.js'
import { type OnceOutcome, OutcomeTable, type UsedKey } from './OutcomeTable.js'

/** Runs a call. Must run it at most once, and may fail with `not_run` only if nothing was sent. */
export type OnceExecutor = (call: OnceCall) => Promise<OnceOutcome>

/** Options of an `IdempotencyManager`. */
export interface IdempotencyManagerOptions {
  hostId: HostId
  incarnation: Incarnation
  clock: Clock
  events: EventLog
  issuers: IssuerClient
  execute: OnceExecutor
  /** Lifetime of a key, and of an outcome after the call has ended. Default: 600,000 (10 min, the maximum deadline). */
  keepMilliseconds?: number
  /** Maximum number of used keys; at the maximum, new calls fail with `overloaded`. Default: 1,000,000. */
  maxKeys?: number
  /** Maximum total size of stored responses, in bytes. Default: 64 MiB. */
  maxBytes?: number
}

/** Keys that are issued within one bucket of this length expire together. */
const expiryBucketMilliseconds = 1000

const sweepIntervalMilliseconds = 10_000

/** Issues keys and runs the calls made with them. */
export class IdempotencyManager {
  private readonly keys: KeySigner
  private readonly table: OutcomeTable
  private readonly keepMilliseconds: number
  private sequence = 0
  /** Issue times and greatest sequence number of the keys that expire together, oldest first. */
  private expiryBuckets: Array<{ firstIssuedAt: number, lastIssuedAt: number, lastSequence: number }> = []
  private lastExpiredSequence = 0
  private sweptAt = 0

  constructor (private readonly options: IdempotencyManagerOptions) {
    this.keys = new KeySigner(options.hostId, options.incarnation)
    this.keepMilliseconds = options.keepMilliseconds ?? 600_000
    this.table = new OutcomeTable({
      maxKeys: options.maxKeys ?? 1_000_000,
      maxBytes: options.maxBytes ?? 67_108_864,
      keepMilliseconds: this.keepMilliseconds
    })
  }

  /** Issues a key to a team. */
  issue (team: Team): string {
    this.sequence += 1
    const now = this.options.clock.monotonic()
    const bucket = this.expiryBuckets.at(-1)
    if (bucket === undefined || now - bucket.firstIssuedAt >= expiryBucketMilliseconds) {
      this.expiryBuckets.push({ firstIssuedAt: now, lastIssuedAt: now, lastSequence: this.sequence })
    } else {
      bucket.lastIssuedAt = now
      bucket.lastSequence = this.sequence
    }
    return this.keys.createKey(this.sequence, team)
  }

  /**
   * Runs a call on the host that issued its key. Errors: `bad_request` for a key of another form, those of
   * `executeIssued` on this host, and those of `IssuerClient.execute` on other hosts.
   */
  async execute (call: OnceCall): Promise<OnceOutcome> {
    const key = parseKey(call.key)
    if (key === undefined) return Result.err(failure('bad_request', 'the idempotency key was not issued by POST /keys'))
    if (key.hostId === this.options.hostId) return await this.executeIssued(call)
    return await this.options.issuers.execute(key.hostId, key.incarnation, call)
  }

  /**
   * Runs a call whose key names this host, or returns the outcome of the first run to a duplicate. Errors: `bad_request`
   * for a key that was not issued to the team, `conflict` for a different call under a used key, `wrong_incarnation` for
   * a key that does not name this host, `outcome_unknown`, `overloaded`, and those of the call.
   */
  async executeIssued (call: OnceCall): Promise<OnceOutcome> {
    const key = parseKey(call.key)
    if (key === undefined || key.hostId !== this.options.hostId) {
      return Result.err(failure('wrong_incarnation', 'the idempotency key was issued by another host'))
    }
    if (key.incarnation !== this.options.incarnation) {
      return Result.err(failure('outcome_unknown', 'the host that issued the key has restarted; the call may have run'))
    }
    if (!this.keys.verify(key, call.team)) {
      return Result.err(failure('bad_request', 'the idempotency key was not issued to this team'))
    }
    this.removeExpiredKeys()
    const fingerprint = fingerprintOf(call)
    const used = this.table.get(key.sequence)
    if (used !== undefined) return await this.answerDuplicate(used, fingerprint, call)
    if (key.sequence <= this.lastExpiredSequence) {
      return Result.err(failure('outcome_unknown', 'the idempotency key has expired; the call may have run'))
    }
    return await this.runNewCall(key.sequence, fingerprint, call)
  }

  private async runNewCall (sequence: number, fingerprint: string, call: OnceCall): Promise<OnceOutcome> {
    let startRun = (): void => {}
    const outcomePromise = new Promise<void>(resolve => { startRun = resolve }).then(() => this.run(sequence, call))
    const used: UsedKey = { fingerprint, outcomePromise, outcome: undefined, bytes: 0, endedAt: undefined }
    if (!this.table.add(sequence, used, this.options.clock.monotonic(), this.lastExpiredSequence)) {
      return Result.err(failure('overloaded', 'too many idempotency keys are in use'))
    }
    startRun()
    return await outcomePromise
  }

  private async run (sequence: number, call: OnceCall): Promise<OnceOutcome> {
    const outcome = await this.options.execute(call).catch((caught: unknown): OnceOutcome => {
      this.options.events.error('once_call_ended', { key: call.key, reason: String(caught) })
      return Result.err(failure('outcome_unknown', 'the call failed with an internal error'))
    })
    if (outcome.isErr && errorResponses[outcome.error.kind].notRun) this.table.remove(sequence)
    else this.table.store(sequence, outcome, this.options.clock.monotonic())
    return outcome
  }

  /** Returns the outcome of the first run to a duplicate; waits for that run until the duplicate's deadline. */
  private async answerDuplicate (used: UsedKey, fingerprint: string, call: OnceCall): Promise<OnceOutcome> {
    if (used.fingerprint !== fingerprint) {
      return Result.err(failure('conflict', 'the idempotency key was used for another call'))
    }
    if (used.outcome === 'evicted') {
      return Result.err(failure('outcome_unknown', 'the call has run, but its response is no longer stored'))
    }
    if (used.outcome !== undefined) return used.outcome
    const timerAbort = new AbortController()
    const timedOut: Promise<OnceOutcome> = this.options.clock.sleep(call.timeoutMilliseconds, timerAbort.signal)
      .then(() => Result.err(failure('outcome_unknown', 'the first call with this key is still running')))
    const outcome = await Promise.race([used.outcomePromise, timedOut])
    timerAbort.abort()
    return outcome
  }

  private removeExpiredKeys (): void {
    const now = this.options.clock.monotonic()
    while (this.expiryBuckets[0] !== undefined && now - this.expiryBuckets[0].lastIssuedAt >= this.keepMilliseconds) {
      this.lastExpiredSequence = this.expiryBuckets.shift()!.lastSequence
    }
    if (now - this.sweptAt < sweepIntervalMilliseconds) return
    this.sweptAt = now
    this.table.removeExpired(now, this.lastExpiredSequence)
  }
}

function fingerprintOf (call: OnceCall): string {
  const hash = createHash('sha256')
  hash.update(JSON.stringify([call.pool, call.method, call.path, call.headers['content-type'] ?? '']))
  return hash.update(call.body).digest('hex')
}

/** The failure of calls of class `once_logged_claim`, which are not available yet. */
export function claimClassUnavailable (): Failure {
  return failure('not_run', 'calls of class once_logged_claim are not available yet; the call did not run')
}

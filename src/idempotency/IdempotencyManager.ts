/**
 * Owns the keys that this host issued and the outcomes of the calls made with them. A call runs at the issuer
 * of its key, there at most once.
 */
import { createHash } from 'node:crypto'
import { Result } from 'true-myth'
import { type Clock, errorAnswers, type Failure, failure, type HostId, type Incarnation, type Team } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import { KeyMaker, parseKey } from './IssuedKey.js'
import type { IssuerClient, OnceCall } from './IssuerClient.js'
import { type OnceOutcome, OutcomeTable, type UsedKey } from './OutcomeTable.js'

/** Runs a call now. It must not run it more than once, and says `not_run` only if nothing was sent. */
export type OnceExecutor = (call: OnceCall) => Promise<OnceOutcome>

/** Options of an `IdempotencyManager`. */
export interface IdempotencyManagerOptions {
  hostId: HostId
  incarnation: Incarnation
  clock: Clock
  events: EventLog
  issuers: IssuerClient
  execute: OnceExecutor
  /** Life of a key, and how long an outcome is kept; default 10 min, the longest deadline. */
  keepMilliseconds?: number
  /** Used keys kept at most; default 1,000,000. While it is reached, new calls are refused. */
  maxKeys?: number
  /** Bytes of stored answers at most; default 64 MiB. */
  maxBytes?: number
}

/** Keys issued within this time share one expiry. */
const expiryStepMilliseconds = 1000

const sweepMilliseconds = 10_000

/** Issued keys and stored outcomes. */
export class IdempotencyManager {
  private readonly keys: KeyMaker
  private readonly table: OutcomeTable
  private readonly keepMilliseconds: number
  private sequence = 0
  /** Last key of each step of time, oldest first. */
  private steps: Array<{ startedAt: number, lastAt: number, through: number }> = []
  private expiredThrough = 0
  private sweptAt = 0

  constructor (private readonly options: IdempotencyManagerOptions) {
    this.keys = new KeyMaker(options.hostId, options.incarnation)
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
    const step = this.steps.at(-1)
    if (step === undefined || now - step.startedAt >= expiryStepMilliseconds) {
      this.steps.push({ startedAt: now, lastAt: now, through: this.sequence })
    } else {
      step.lastAt = now
      step.through = this.sequence
    }
    return this.keys.make(this.sequence, team)
  }

  /** Runs a call at the issuer of its key. */
  async execute (call: OnceCall): Promise<OnceOutcome> {
    const key = parseKey(call.key)
    if (key === undefined) return Result.err(failure('bad_request', 'the idempotency key was not issued by POST /keys'))
    if (key.hostId === this.options.hostId) return await this.executeIssued(call)
    return await this.options.issuers.execute(key.hostId, key.incarnation, call)
  }

  /**
   * Runs a call whose key names this host. Errors: `bad_request` for a key that was not issued to the team,
   * `conflict` for another call under a used key, `outcome_unknown`, `overloaded`, and those of the call.
   */
  async executeIssued (call: OnceCall): Promise<OnceOutcome> {
    const key = parseKey(call.key)
    if (key === undefined || key.hostId !== this.options.hostId) {
      return Result.err(failure('wrong_incarnation', 'the idempotency key was issued by another host'))
    }
    if (key.incarnation !== this.options.incarnation) {
      return Result.err(failure('outcome_unknown', 'the host that issued the key has restarted; the call may have run'))
    }
    if (!this.keys.check(key, call.team)) {
      return Result.err(failure('bad_request', 'the idempotency key was not issued to this team'))
    }
    this.expire()
    const fingerprint = fingerprintOf(call)
    const used = this.table.get(key.sequence)
    if (used !== undefined) return await this.repeat(used, fingerprint, call)
    if (key.sequence <= this.expiredThrough) {
      return Result.err(failure('outcome_unknown', 'the idempotency key has expired; the call may have run'))
    }
    return await this.runFirst(key.sequence, fingerprint, call)
  }

  private async runFirst (sequence: number, fingerprint: string, call: OnceCall): Promise<OnceOutcome> {
    let start = (): void => {}
    const running = new Promise<void>(resolve => { start = resolve }).then(() => this.run(sequence, call))
    const used: UsedKey = { fingerprint, running, outcome: undefined, bytes: 0, endedAt: undefined }
    if (!this.table.add(sequence, used, this.options.clock.monotonic(), this.expiredThrough)) {
      return Result.err(failure('overloaded', 'too many idempotency keys are in use'))
    }
    start()
    return await running
  }

  private async run (sequence: number, call: OnceCall): Promise<OnceOutcome> {
    const outcome = await this.options.execute(call).catch((caught: unknown): OnceOutcome => {
      this.options.events.error('once_call_ended', { key: call.key, reason: String(caught) })
      return Result.err(failure('outcome_unknown', 'the call ended by an internal error'))
    })
    if (outcome.isErr && errorAnswers[outcome.error.kind].notRun) this.table.forget(sequence)
    else this.table.store(sequence, outcome, this.options.clock.monotonic())
    return outcome
  }

  /** Answers a repeated call from the one run, which it may have to wait for. */
  private async repeat (used: UsedKey, fingerprint: string, call: OnceCall): Promise<OnceOutcome> {
    if (used.fingerprint !== fingerprint) {
      return Result.err(failure('conflict', 'the idempotency key was used for another call'))
    }
    if (used.outcome === 'dropped') {
      return Result.err(failure('outcome_unknown', 'the call has run, but its answer is no longer stored'))
    }
    if (used.outcome !== undefined) return used.outcome
    const waited = new AbortController()
    const late: Promise<OnceOutcome> = this.options.clock.sleep(call.timeoutMilliseconds, waited.signal)
      .then(() => Result.err(failure('outcome_unknown', 'the first call with this key is still running')))
    const outcome = await Promise.race([used.running, late])
    waited.abort()
    return outcome
  }

  private expire (): void {
    const now = this.options.clock.monotonic()
    while (this.steps[0] !== undefined && now - this.steps[0].lastAt >= this.keepMilliseconds) {
      this.expiredThrough = this.steps.shift()!.through
    }
    if (now - this.sweptAt < sweepMilliseconds) return
    this.sweptAt = now
    this.table.removeOld(now, this.expiredThrough)
  }
}

function fingerprintOf (call: OnceCall): string {
  const hash = createHash('sha256')
  hash.update(JSON.stringify([call.pool, call.method, call.path, call.headers['content-type'] ?? '']))
  return hash.update(call.body).digest('hex')
}

/** The failure that a call without an available class gets. */
export function claimNotAvailable (): Failure {
  return failure('not_run', 'calls of class once_logged_claim are not available yet; the call did not run')
}

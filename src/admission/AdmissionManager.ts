/**
 * Admission control of this host: decides which requests run, wait in a queue or fail as `overloaded`. Each team may
 * use its share of the host's concurrency, plus any capacity that other teams leave idle.
 */
import { Result } from 'true-myth'
import { type Clock, type Failure, failure, type Team } from '../common/index.js'
import type { ConfigurationReader } from '../configuration/index.js'
import type { Admission, AdmissionPriority, AdmissionRequest } from './Admission.js'
import { TeamQueue, type Waiter } from './TeamQueue.js'
import { TokenBucket } from './TokenBucket.js'

/** Options of an `AdmissionManager`. */
export interface AdmissionManagerOptions {
  configuration: ConfigurationReader
  clock: Clock
  /** Maximum number of requests in progress. */
  maxConcurrent: number
  /** Maximum number of queued requests. */
  maxQueued: number
}

/** Weight of a team without a configured share; configured weights are percentages of the fleet. */
const defaultTeamWeight = 1

/** Number of requests that each team may have in its queue even if its share of the host's queue is smaller. */
const minQueuedPerTeam = 8

/** Weight of the newest sample in the exponential average of the run time. */
const meanRunSmoothing = 0.1

/** Admits the requests of all teams on this host. */
export class AdmissionManager {
  private readonly queuesByTeam = new Map<Team, TeamQueue>()
  private readonly unsubscribe: () => void
  private running = 0
  private queued = 0
  private meanRunMilliseconds = 0

  constructor (private readonly options: AdmissionManagerOptions) {
    this.unsubscribe = options.configuration.onChange(paths => {
      if (!paths.some(path => path === '/fleet/shares' || path.endsWith('/settings/limits'))) return
      for (const queue of this.queuesByTeam.values()) this.applyConfiguration(queue)
      this.dispatch()
    })
  }

  /** Number of requests in progress. */
  get runningCount (): number {
    return this.running
  }

  /** Number of queued requests. */
  get queuedCount (): number {
    return this.queued
  }

  /** Stops following changes of the configuration. */
  close (): void {
    this.unsubscribe()
  }

  /**
   * Waits until the request may run. Errors: `overloaded`, with `retryAfterSeconds` in the detail, if a queue is full,
   * the team exceeded its request rate or the deadline cannot be met; `cancelled` if the caller disconnected.
   */
  async admit (request: AdmissionRequest): Promise<Result<Admission, Failure>> {
    if (request.signal.aborted) return Result.err(failure('cancelled', 'the caller disconnected'))
    const queue = this.queueOf(request.team)
    const now = this.options.clock.monotonic()
    const tokenDelayMilliseconds = queue.bucket?.take(now) ?? 0
    if (tokenDelayMilliseconds > 0) return Result.err(overloaded('the team exceeded its request rate', tokenDelayMilliseconds))
    // While the host has free capacity, other teams' requests are queued only because of the limits of those teams and
    // need not start first.
    if (this.running < this.options.maxConcurrent && queue.running < queue.maxConcurrent && queue.length === 0) {
      return Result.ok(this.start(queue))
    }
    const waitMilliseconds = this.estimateWaitMilliseconds(queue, request.priority)
    if (this.queued >= this.options.maxQueued || queue.length >= this.maxQueuedFor(queue)) {
      return Result.err(overloaded('too many requests are queued', waitMilliseconds))
    }
    if (now + waitMilliseconds > request.deadline) {
      return Result.err(overloaded(`the estimated wait of ${Math.ceil(waitMilliseconds)} ms exceeds the time remaining until the deadline`, waitMilliseconds))
    }
    return await this.enqueue(queue, request)
  }

  private async enqueue (queue: TeamQueue, request: AdmissionRequest): Promise<Result<Admission, Failure>> {
    const settledController = new AbortController()
    const result = await new Promise<Result<Admission, Failure>>(resolve => {
      const waiter: Waiter = { priority: request.priority, admit: resolve }
      const fail = (reason: Failure): void => {
        if (!queue.remove(waiter)) return
        this.queued -= 1
        this.removeIfIdle(queue)
        resolve(Result.err(reason))
      }
      queue.add(waiter)
      this.queued += 1
      request.signal.addEventListener('abort', () => fail(failure('cancelled', 'the caller disconnected')), { signal: settledController.signal })
      this.options.clock.sleep(request.deadline - this.options.clock.monotonic(), settledController.signal)
        .then(() => fail(overloaded('the deadline passed while the request was queued', 0)), () => {})
      this.dispatch()
    })
    settledController.abort()
    return result
  }

  /** Starts queued requests while the host has free capacity; the team that uses the least of its share goes first. */
  private dispatch (): void {
    while (this.running < this.options.maxConcurrent && this.queued > 0) {
      let next: TeamQueue | undefined
      for (const queue of this.queuesByTeam.values()) {
        if (queue.canStart && (next === undefined || queue.runningPerWeight < next.runningPerWeight)) next = queue
      }
      const waiter = next?.takeNext()
      if (next === undefined || waiter === undefined) return
      this.queued -= 1
      waiter.admit(Result.ok(this.start(next)))
    }
  }

  private start (queue: TeamQueue): Admission {
    const startedAt = this.options.clock.monotonic()
    let isReleased = false
    this.running += 1
    queue.running += 1
    return {
      release: () => {
        if (isReleased) return
        isReleased = true
        this.running -= 1
        queue.running -= 1
        this.recordRun(this.options.clock.monotonic() - startedAt)
        this.dispatch()
        this.removeIfIdle(queue)
      }
    }
  }

  private recordRun (milliseconds: number): void {
    this.meanRunMilliseconds = this.meanRunMilliseconds === 0
      ? milliseconds
      : this.meanRunMilliseconds + meanRunSmoothing * (milliseconds - this.meanRunMilliseconds)
  }

  /** Estimated milliseconds until a new request of the team starts, if the set of active teams does not change. */
  private estimateWaitMilliseconds (queue: TeamQueue, priority: AdmissionPriority): number {
    let activeWeight = 0
    for (const other of this.queuesByTeam.values()) {
      if (other === queue || other.running + other.length > 0) activeWeight += other.weight
    }
    const shareOfSlots = this.options.maxConcurrent * queue.weight / activeWeight
    const slots = Math.max(1, Math.min(shareOfSlots, queue.maxConcurrent))
    return (queue.countAhead(priority) + 1) * this.meanRunMilliseconds / slots
  }

  /** Maximum number of queued requests of a team. This limit reserves room in the host's queue for the other teams. */
  private maxQueuedFor (queue: TeamQueue): number {
    if (Object.keys(this.options.configuration.shares()).length === 0) return this.options.maxQueued
    return Math.max(minQueuedPerTeam, Math.floor(this.options.maxQueued * queue.weight / 100))
  }

  private queueOf (team: Team): TeamQueue {
    const existing = this.queuesByTeam.get(team)
    if (existing !== undefined) return existing
    const queue = new TeamQueue(team)
    this.applyConfiguration(queue)
    this.queuesByTeam.set(team, queue)
    return queue
  }

  private applyConfiguration (queue: TeamQueue): void {
    const limits = this.options.configuration.limits(queue.team)
    const now = this.options.clock.monotonic()
    queue.weight = Math.max(0.01, this.options.configuration.shares()[queue.team] ?? defaultTeamWeight)
    queue.maxConcurrent = limits?.maxConcurrent ?? Infinity
    if (limits === undefined) {
      queue.bucket = undefined
      return
    }
    const burst = Math.max(1, limits.requestsPerSecond)
    if (queue.bucket === undefined) queue.bucket = new TokenBucket(limits.requestsPerSecond, burst, now)
    else queue.bucket.configure(limits.requestsPerSecond, burst, now)
  }

  /** Keeps the queue of a team with a rate limit, because a new token bucket would start full and reset the limit. */
  private removeIfIdle (queue: TeamQueue): void {
    if (queue.running + queue.length === 0 && queue.bucket === undefined) this.queuesByTeam.delete(queue.team)
  }
}

function overloaded (message: string, waitMilliseconds: number): Failure {
  return failure('overloaded', message, { retryAfterSeconds: Math.max(1, Math.ceil(waitMilliseconds / 1000)) })
}

/**
 * Owns the queues of this host: decides which requests run, wait or are refused. Each team may use its share
 * of the host's concurrency, and any capacity that the other teams leave idle.
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
  /** Requests in progress at most. */
  maxConcurrent: number
  /** Requests that wait at most. */
  maxQueued: number
}

/** Weight of a team without a configured share, in percent of the fleet. */
const unsharedWeight = 1

/** Requests that each team may have waiting, however small its share is. */
const minTeamQueue = 8

/** Weight of the newest sample in the mean time that a request runs. */
const meanSmoothing = 0.1

/** The queues of this host. */
export class AdmissionManager {
  private readonly teams = new Map<Team, TeamQueue>()
  private readonly endListening: () => void
  private running = 0
  private queued = 0
  private meanRunMilliseconds = 0

  constructor (private readonly options: AdmissionManagerOptions) {
    this.endListening = options.configuration.onChange(paths => {
      if (!paths.some(path => path === '/fleet/shares' || path.endsWith('/settings/limits'))) return
      for (const queue of this.teams.values()) this.configure(queue)
      this.dispatch()
    })
  }

  /** Requests in progress. */
  get runningCount (): number {
    return this.running
  }

  /** Requests that wait. */
  get queuedCount (): number {
    return this.queued
  }

  /** Ends listening to the configuration. */
  close (): void {
    this.endListening()
  }

  /**
   * Waits until the request may run. Errors: `overloaded` (with `retryAfterSeconds` in the detail) if a queue is
   * full, the team's rate is used up or the deadline cannot be met; `cancelled` if the caller left.
   */
  async admit (request: AdmissionRequest): Promise<Result<Admission, Failure>> {
    if (request.signal.aborted) return Result.err(failure('cancelled', 'the caller left'))
    const queue = this.queueOf(request.team)
    const now = this.options.clock.monotonic()
    const tokenIn = queue.bucket?.take(now) ?? 0
    if (tokenIn > 0) return Result.err(overloaded('the team is over its request rate', tokenIn))
    // While the host has room, requests of other teams wait only because of limits of their own.
    if (this.running < this.options.maxConcurrent && queue.running < queue.maxConcurrent && queue.length === 0) {
      return Result.ok(this.start(queue))
    }
    const wait = this.estimatedWait(queue, request.priority)
    if (this.queued >= this.options.maxQueued || queue.length >= this.maxQueuedOf(queue)) {
      return Result.err(overloaded('too many requests wait', wait))
    }
    if (now + wait > request.deadline) {
      return Result.err(overloaded(`the estimated wait of ${Math.ceil(wait)} ms is over the deadline`, wait))
    }
    return await this.wait(queue, request)
  }

  private async wait (queue: TeamQueue, request: AdmissionRequest): Promise<Result<Admission, Failure>> {
    const done = new AbortController()
    const result = await new Promise<Result<Admission, Failure>>(resolve => {
      const waiter: Waiter = { priority: request.priority, admit: resolve }
      const giveUp = (failed: Failure): void => {
        if (!queue.remove(waiter)) return
        this.queued -= 1
        this.forgetIfIdle(queue)
        resolve(Result.err(failed))
      }
      queue.add(waiter)
      this.queued += 1
      request.signal.addEventListener('abort', () => giveUp(failure('cancelled', 'the caller left')), { signal: done.signal })
      this.options.clock.sleep(request.deadline - this.options.clock.monotonic(), done.signal)
        .then(() => giveUp(overloaded('the deadline passed while the request waited', 0)), () => {})
      this.dispatch()
    })
    done.abort()
    return result
  }

  /** Starts waiting requests while there is room, for the team with the least use of its share first. */
  private dispatch (): void {
    while (this.running < this.options.maxConcurrent && this.queued > 0) {
      let next: TeamQueue | undefined
      for (const queue of this.teams.values()) {
        if (queue.ready && (next === undefined || queue.occupancy < next.occupancy)) next = queue
      }
      const waiter = next?.take()
      if (next === undefined || waiter === undefined) return
      this.queued -= 1
      waiter.admit(Result.ok(this.start(next)))
    }
  }

  private start (queue: TeamQueue): Admission {
    const startedAt = this.options.clock.monotonic()
    let released = false
    this.running += 1
    queue.running += 1
    return {
      release: () => {
        if (released) return
        released = true
        this.running -= 1
        queue.running -= 1
        this.noteRun(this.options.clock.monotonic() - startedAt)
        this.dispatch()
        this.forgetIfIdle(queue)
      }
    }
  }

  private noteRun (milliseconds: number): void {
    this.meanRunMilliseconds = this.meanRunMilliseconds === 0
      ? milliseconds
      : this.meanRunMilliseconds + meanSmoothing * (milliseconds - this.meanRunMilliseconds)
  }

  /** Milliseconds until a new request of the team would start, if the teams that are active now stay so. */
  private estimatedWait (queue: TeamQueue, priority: AdmissionPriority): number {
    let activeWeight = 0
    for (const team of this.teams.values()) {
      if (team === queue || team.running + team.length > 0) activeWeight += team.weight
    }
    const share = this.options.maxConcurrent * queue.weight / activeWeight
    const slots = Math.max(1, Math.min(share, queue.maxConcurrent))
    return (queue.ahead(priority) + 1) * this.meanRunMilliseconds / slots
  }

  /** A team may fill only its part of the host's queue, so that it cannot keep the others from waiting. */
  private maxQueuedOf (queue: TeamQueue): number {
    if (Object.keys(this.options.configuration.shares()).length === 0) return this.options.maxQueued
    return Math.max(minTeamQueue, Math.floor(this.options.maxQueued * queue.weight / 100))
  }

  private queueOf (team: Team): TeamQueue {
    const known = this.teams.get(team)
    if (known !== undefined) return known
    const queue = new TeamQueue(team)
    this.configure(queue)
    this.teams.set(team, queue)
    return queue
  }

  private configure (queue: TeamQueue): void {
    const limits = this.options.configuration.limits(queue.team)
    const now = this.options.clock.monotonic()
    queue.weight = Math.max(0.01, this.options.configuration.shares()[queue.team] ?? unsharedWeight)
    queue.maxConcurrent = limits?.maxConcurrent ?? Infinity
    if (limits === undefined) {
      queue.bucket = undefined
      return
    }
    const burst = Math.max(1, limits.requestsPerSecond)
    if (queue.bucket === undefined) queue.bucket = new TokenBucket(limits.requestsPerSecond, burst, now)
    else queue.bucket.configure(limits.requestsPerSecond, burst, now)
  }

  /** A team with a rate limit stays, since a new bucket would be full. */
  private forgetIfIdle (queue: TeamQueue): void {
    if (queue.running + queue.length === 0 && queue.bucket === undefined) this.teams.delete(queue.team)
  }
}

function overloaded (message: string, waitMilliseconds: number): Failure {
  return failure('overloaded', message, { retryAfterSeconds: Math.max(1, Math.ceil(waitMilliseconds / 1000)) })
}

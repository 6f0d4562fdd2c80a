/**
 * Health of one upstream, judged only by what this host observes itself: its connections, requests and polls.
 */
import type { Clock } from '../common/index.js'

/** Consecutive failed requests after which the upstream is paused, that is, sent no work for a while. */
const failuresBeforePause = 3

/** Consecutive declined requests after which the upstream is paused briefly. */
const declinesBeforePause = 2

/** Pause after declined requests. It is short, since a full engine finishes a request every few milliseconds. */
const declinePauseMilliseconds = 250

/** Consecutive unanswered polls after which the upstream is sent no work until it answers a poll. */
const unansweredPollsBeforePause = 3

/**
 * Minimum time after which an abandoned request without a response is evidence against the upstream. Waits of a second
 * are usual under load.
 */
const minUnansweredMilliseconds = 1000

const firstPauseMilliseconds = 1000
const maxPauseMilliseconds = 10_000

/** Decides from the results of requests, connections and polls whether an upstream may be sent work. */
export class UpstreamHealth {
  private consecutiveFailures = 0
  private consecutiveDeclines = 0
  private unansweredPolls = 0
  private refusesConnections = false
  /** Monotonic time of the last response to a request, including responses that declined the request. */
  private lastAnsweredAt = -Infinity
  private pausedUntil = -Infinity
  private pauseMilliseconds = firstPauseMilliseconds

  /** `isPolled`: a poll loop detects the recovery of the upstream; without one, only time ends a pause. */
  constructor (private readonly clock: Clock, private readonly isPolled: boolean) {}

  /** True if the upstream may be sent work. */
  get isHealthy (): boolean {
    if (this.refusesConnections || this.unansweredPolls >= unansweredPollsBeforePause) return false
    return this.clock.monotonic() >= this.pausedUntil
  }

  /** Records an answered request; the next pause is then short again. */
  requestSucceeded (): void {
    this.lastAnsweredAt = this.clock.monotonic()
    this.consecutiveDeclines = 0
    this.consecutiveFailures = 0
    this.pauseMilliseconds = firstPauseMilliseconds
  }

  /** Records a request that failed because of the upstream or the connection to it; several in a row start a pause. */
  requestFailed (): void {
    this.consecutiveFailures += 1
    if (this.consecutiveFailures >= failuresBeforePause) this.pause()
  }

  /**
   * Records a request that was abandoned before any byte of the response arrived. The request counts as failed if the
   * upstream has answered no other request meanwhile: such an upstream hangs, while a busy one answers others.
   */
  requestUnanswered (sentAt: number): void {
    if (this.clock.monotonic() - sentAt < minUnansweredMilliseconds || this.lastAnsweredAt >= sentAt) return
    this.requestFailed()
  }

  /**
   * Records that the upstream stated that it did not run a request, because it is full or about to change its role.
   * After two declined requests in a row the upstream is paused briefly, so that requests go to other upstreams.
   */
  requestDeclined (): void {
    this.lastAnsweredAt = this.clock.monotonic()
    this.consecutiveDeclines += 1
    if (this.consecutiveDeclines < declinesBeforePause) return
    this.consecutiveDeclines = 0
    this.pauseFor(declinePauseMilliseconds)
  }

  /** Records that the upstream wants no requests from this host for the given time, in milliseconds. */
  pauseFor (milliseconds: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.clock.monotonic() + milliseconds)
  }

  /** Time until a pause ends, in milliseconds; 0 if there is none. */
  get remainingPauseMilliseconds (): number {
    return Math.max(0, this.pausedUntil - this.clock.monotonic())
  }

  /** Records a refused connection, which means that the process has stopped or is stopping. */
  connectionRefused (): void {
    if (this.isPolled) this.refusesConnections = true
    else this.pause()
  }

  /** Records an answered poll, which ends the exclusion after refused connections and unanswered polls. */
  pollAnswered (): void {
    this.unansweredPolls = 0
    this.refusesConnections = false
  }

  /** Records a poll that failed after connecting or received no valid response in time. */
  pollUnanswered (): void {
    this.unansweredPolls += 1
  }

  private pause (): void {
    this.consecutiveFailures = 0
    this.pauseFor(this.pauseMilliseconds)
    this.pauseMilliseconds = Math.min(maxPauseMilliseconds, this.pauseMilliseconds * 2)
  }
}

/**
 * Health of one upstream from direct evidence only: connections, requests and polls of this host.
 */
import type { Clock } from '../common/index.js'

/** Failed requests in a row after which the upstream gets no work for a while. */
const failuresBeforePause = 3

/** Requests in a row that an upstream declined after which it gets no work for a moment. */
const declinesBeforePause = 2

/** Length of that moment; a full engine ends a request every few milliseconds, so it is short. */
const declinePauseMilliseconds = 250

/** Polls without an answer in a row after which the upstream gets no work. */
const silentPollsBeforePause = 3

/** A request that is left after less than this time says nothing: waits of a second are usual under load. */
const silentRequestMilliseconds = 1000

const firstPauseMilliseconds = 1000
const longestPauseMilliseconds = 10_000

/** Decides from evidence whether an upstream may get work. */
export class UpstreamHealth {
  private failures = 0
  private declined = 0
  private silentPolls = 0
  private refused = false
  /** Monotonic time of the last answer, whatever it said. */
  private answeredAt = -Infinity
  private pausedUntil = -Infinity
  private pauseMilliseconds = firstPauseMilliseconds

  /** `polled`: a poll loop will notice the recovery; without one only time ends a pause. */
  constructor (private readonly clock: Clock, private readonly polled: boolean) {}

  /** True if the upstream may get work. */
  get usable (): boolean {
    if (this.refused || this.silentPolls >= silentPollsBeforePause) return false
    return this.clock.monotonic() >= this.pausedUntil
  }

  /** A request was answered. */
  requestSucceeded (): void {
    this.answeredAt = this.clock.monotonic()
    this.declined = 0
    this.failures = 0
    this.pauseMilliseconds = firstPauseMilliseconds
  }

  /** A request failed for a reason that lies with the upstream or the way to it. */
  requestFailed (): void {
    this.failures += 1
    if (this.failures >= failuresBeforePause) this.pause()
  }

  /**
   * A request got no byte of an answer until it was left. An upstream that has answered nothing else meanwhile hangs; a
   * busy one answers others.
   */
  requestUnanswered (sentAt: number): void {
    if (this.clock.monotonic() - sentAt < silentRequestMilliseconds || this.answeredAt >= sentAt) return
    this.requestFailed()
  }

  /**
   * The upstream stated that it did not run a request: it is full, or about to change its role. After two in a row
   * others are asked for a moment.
   */
  requestDeclined (): void {
    this.answeredAt = this.clock.monotonic()
    this.declined += 1
    if (this.declined < declinesBeforePause) return
    this.declined = 0
    this.pausedUntil = Math.max(this.pausedUntil, this.clock.monotonic() + declinePauseMilliseconds)
  }

  /** A connection was refused: the process is gone or leaving. */
  connectionRefused (): void {
    if (this.polled) this.refused = true
    else this.pause()
  }

  /** A poll was answered. */
  pollAnswered (): void {
    this.silentPolls = 0
    this.refused = false
  }

  /** A poll was not answered in time or failed after connecting. */
  pollUnanswered (): void {
    this.silentPolls += 1
  }

  private pause (): void {
    this.failures = 0
    this.pausedUntil = this.clock.monotonic() + this.pauseMilliseconds
    this.pauseMilliseconds = Math.min(longestPauseMilliseconds, this.pauseMilliseconds * 2)
  }
}

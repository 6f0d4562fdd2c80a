/**
 * How far the responses of a pool's workers lie from the expected times. A response that is later than this margin shows
 * that its worker is behind.
 */

/** Margin until enough responses have been measured, in milliseconds. */
const initialMarginMilliseconds = 400

/** Minimum margin, in milliseconds: reports of other hosts arrive with delays of this size. */
const minMarginMilliseconds = 100

/** Factor by which one deviation may exceed the margin, so that a worker that hangs does not raise its own margin. */
const maxDeviationFactor = 2

/** Number of responses from which the margin follows them. */
const minResponses = 8

/** Margin as a multiple of the average deviation; a normal scatter exceeds it in one of a thousand responses. */
const marginFactor = 4

/** Weight of a new deviation in the average. */
const weight = 0.1

/** Follows the deviations of the responses of one pool. */
export class ResponseSpread {
  private responses = 0
  private averageDeviation = 0

  /** Time after the expected one at which a missing response shows that its worker is behind, in milliseconds. */
  get marginMilliseconds (): number {
    if (this.responses < minResponses) return initialMarginMilliseconds
    return Math.max(minMarginMilliseconds, marginFactor * this.averageDeviation)
  }

  /** Records how much later than expected a response came, in milliseconds. */
  record (latenessMilliseconds: number): void {
    const deviation = Math.min(Math.abs(latenessMilliseconds), maxDeviationFactor * this.marginMilliseconds)
    this.responses += 1
    this.averageDeviation += Math.max(weight, 1 / this.responses) * (deviation - this.averageDeviation)
  }
}

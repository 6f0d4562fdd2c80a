/**
 * Estimates how long a prompt waits behind others.
 */

/** When workers become free if each of the prompts that are added goes to the worker that is free first. */
export class ExpectedQueue {
  private readonly freeAfter: number[]

  /** `backlogs`: time until each worker is free, in milliseconds. */
  constructor (backlogs: readonly number[]) {
    this.freeAfter = [...backlogs]
  }

  /** Time until the first worker is free, in milliseconds. */
  get waitMilliseconds (): number {
    return Math.min(...this.freeAfter)
  }

  /** Adds a prompt that occupies a worker for the given time. */
  add (computeMilliseconds: number): void {
    if (this.freeAfter.length === 0) return
    this.freeAfter[this.freeAfter.indexOf(this.waitMilliseconds)]! += computeMilliseconds
  }
}

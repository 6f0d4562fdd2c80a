/**
 * Estimates how long a prompt waits behind others.
 */

/** When workers become free if each of the prompts that are added goes to the worker that ends it first. */
export class ExpectedQueue {
  private readonly freeAfter: number[]

  /**
   * `backlogs`: time until each worker is free, in milliseconds; `slowness`: factor on the time that each worker takes for
   * a prompt, 1 if it is not given.
   */
  constructor (backlogs: readonly number[], private readonly slowness: readonly number[] = []) {
    this.freeAfter = [...backlogs]
  }

  /** Time until the first worker is free, in milliseconds. */
  get waitMilliseconds (): number {
    return Math.min(...this.freeAfter)
  }

  /** Time until a prompt is computed that occupies a worker of the usual speed for the given time, in milliseconds. */
  endMilliseconds (computeMilliseconds: number): number {
    return Math.min(...this.endsOf(computeMilliseconds))
  }

  /** Adds a prompt that occupies a worker of the usual speed for the given time. */
  add (computeMilliseconds: number): void {
    if (this.freeAfter.length === 0) return
    const ends = this.endsOf(computeMilliseconds)
    const first = Math.min(...ends)
    this.freeAfter[ends.indexOf(first)] = first
  }

  private endsOf (computeMilliseconds: number): number[] {
    return this.freeAfter.map((free, position) => free + computeMilliseconds * (this.slowness[position] ?? 1))
  }
}

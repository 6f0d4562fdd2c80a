/**
 * The largest demand of a recent period. Numbers of workers follow the peak rather than the present demand, since demand
 * that swings faster than workers start would otherwise be met too late each time.
 */

interface Sample { at: number, value: number }

/** Maximum of the values recorded within a period. */
export class DemandPeak {
  /** Samples with falling values: a later larger one makes an earlier one irrelevant. */
  private samples: Sample[] = []

  constructor (private readonly periodMilliseconds: number) {}

  record (value: number, now: number): void {
    while (this.samples.length > 0 && this.samples.at(-1)!.value <= value) this.samples.pop()
    this.samples.push({ at: now, value })
  }

  /** The largest value of the period; 0 if none was recorded. */
  maximum (now: number): number {
    while (this.samples.length > 0 && now - this.samples[0]!.at > this.periodMilliseconds) this.samples.shift()
    return this.samples[0]?.value ?? 0
  }
}

/**
 * Guards against an overload of the processor that goes unnoticed, and against single pauses that count as overload.
 */
import { expect, test } from '@jest/globals'
import { Clock } from './Clock.js'
import { EventLoopDelay } from './EventLoopDelay.js'

/** A clock whose sleeps end late by the given times, one after the other, and then never. */
class LateClock extends Clock {
  private now = 0
  constructor (private readonly delays: number[]) { super() }
  monotonic (): number { return this.now }
  wall (): number { return this.now }
  async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    const delay = this.delays.shift()
    if (delay === undefined) await new Promise<void>(resolve => signal?.addEventListener('abort', () => { resolve() }))
    else this.now += milliseconds + delay
  }
}

test.each([
  ['no delay', [0, 0, 0, 0, 0], 0, 0],
  ['one pause of a second', [0, 1000, 0, 0, 0, 0, 0, 0], 0, 100],
  ['delays of 400 ms without end', Array(15).fill(400) as number[], 350, 400]
] as Array<[string, number[], number, number]>)('after %s', async (_name, delays, least, most) => {
  const delay = new EventLoopDelay(new LateClock([...delays]))
  delay.start(() => {})
  for (let turn = 0; turn < 100; turn += 1) await Promise.resolve()
  expect(delay.milliseconds).toBeGreaterThanOrEqual(least)
  expect(delay.milliseconds).toBeLessThanOrEqual(most)
  await delay.stop()
})

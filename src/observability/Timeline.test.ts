/**
 * Guards against a merged time line that shows an effect before its cause when clocks differ, and against a
 * ring that loses the newest events.
 */
import { describe, expect, test } from '@jest/globals'
import { ManualClock } from '../common/index.js'
import { HybridClock } from './HybridClock.js'
import { mergeTimelines, Timeline } from './Timeline.js'

function processWithClock (name: string, wall: number, capacity = 10): { clock: HybridClock, timeline: Timeline } {
  const clock = new HybridClock(new ManualClock(wall))
  return { clock, timeline: new Timeline(name, clock, capacity) }
}

describe('Timeline', () => {
  test('orders cause before effect when the receiver has the slower clock', () => {
    const fast = processWithClock('a', 10_000)
    const slow = processWithClock('b', 5_000)
    const sent = fast.timeline.add('sent', { request: 'r1' })
    slow.clock.receive(sent.timestamp)
    slow.timeline.add('received', { request: 'r1' })
    const merged = mergeTimelines([slow.timeline.events(), fast.timeline.events()])
    expect(merged.map(event => event.event)).toEqual(['sent', 'received'])
  })

  test('does not follow a clock that is more than a minute ahead', () => {
    const { clock } = processWithClock('a', 10_000)
    clock.receive({ wall: 10_000_000, counter: 0 })
    expect(clock.now().wall).toBe(10_000)
  })

  test('keeps the newest events in order when the ring is full', () => {
    const { timeline } = processWithClock('a', 0, 3)
    for (let index = 1; index <= 7; index += 1) timeline.add('event', { index })
    expect(timeline.events().map(event => event.fields.index)).toEqual([5, 6, 7])
  })

  test.each([
    [{ request: 'r1' }, ['x']],
    [{ engine: 'e1' }, ['y']],
    [{ setting: '/fleet' }, ['z']],
    [{}, ['x', 'y', 'z']]
  ])('filters by %j', (filter, expected) => {
    const { timeline } = processWithClock('a', 0)
    timeline.add('x', { request: 'r1' })
    timeline.add('y', { worker: 'e1' })
    timeline.add('z', { path: '/fleet/shares' })
    expect(mergeTimelines([timeline.events()], filter).map(event => event.event)).toEqual(expected)
  })
})

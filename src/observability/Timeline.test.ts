/**
 * Guards against a merged timeline that shows an effect before its cause when the clocks of processes differ, and
 * against a ring buffer that loses the newest events.
 */
import { describe, expect, test } from '@jest/globals'
import { ManualClock } from '../common/index.js'
import { HybridClock } from './HybridClock.js'
import { mergeTimelines, Timeline } from './Timeline.js'

function createTimeline (name: string, wall: number, capacity = 10): { clock: HybridClock, timeline: Timeline } {
  const clock = new HybridClock(new ManualClock(wall))
  return { clock, timeline: new Timeline(name, clock, capacity) }
}

describe('Timeline', () => {
  test('orders a cause before its effect when the clock of the receiver is behind', () => {
    const sender = createTimeline('a', 10_000)
    const receiver = createTimeline('b', 5_000)
    const sent = sender.timeline.add('sent', { request: 'r1' })
    receiver.clock.receive(sent.timestamp)
    receiver.timeline.add('received', { request: 'r1' })
    const merged = mergeTimelines([receiver.timeline.events(), sender.timeline.events()])
    expect(merged.map(event => event.event)).toEqual(['sent', 'received'])
  })

  test('ignores a received timestamp that is more than a minute ahead of the local clock', () => {
    const { clock } = createTimeline('a', 10_000)
    clock.receive({ wall: 10_000_000, counter: 0 })
    expect(clock.now().wall).toBe(10_000)
  })

  test('keeps the newest events in order when the ring buffer is full', () => {
    const { timeline } = createTimeline('a', 0, 3)
    for (let index = 1; index <= 7; index += 1) timeline.add('event', { index })
    expect(timeline.events().map(event => event.fields.index)).toEqual([5, 6, 7])
  })

  test.each([
    [{ request: 'r1' }, ['x']],
    [{ engine: 'e1' }, ['y']],
    [{ setting: '/fleet' }, ['z']],
    [{}, ['x', 'y', 'z']]
  ])('the filter %j selects just the events that match it', (filter, expected) => {
    const { timeline } = createTimeline('a', 0)
    timeline.add('x', { request: 'r1' })
    timeline.add('y', { worker: 'e1' })
    timeline.add('z', { path: '/fleet/shares' })
    expect(mergeTimelines([timeline.events()], filter).map(event => event.event)).toEqual(expected)
  })
})

/**
 * Guards against relays where a change has less time to arrive than a failure of a relay takes, against hosts of a zone
 * that each choose another relay, and against hosts that keep asking one that fails.
 */
import { expect, test } from '@jest/globals'
import { loadHash, ManualClock, type Zone } from '../../common/index.js'
import { Metrics } from '../../observability/index.js'
import { discardingEventLog } from '../../streams/testSupport.js'
import type { PlatformSettings } from '../PlatformSettings.js'
import { StoreAvailability } from '../StoreAvailability.js'
import { StoreEra } from '../StoreEra.js'
import { RelayChoice } from './RelayChoice.js'
import { RelayPart } from './RelayPart.js'

const hash = await loadHash()

test.each([
  [undefined, 3000, false],
  [undefined, 3001, true],
  [true, 2000, true],
  [false, 9000, false]
])('with relay_reads = %s and a stable window of %i ms, reads are shared: %s', (relayReads, stableWindowMilliseconds, expected) => {
  const clock = new ManualClock()
  const settings = {
    host: { zone: 'a' }, listen: {}, store: { address: '127.0.0.1:1', relayReads }, bounds: { stableWindowMilliseconds }
  } as unknown as PlatformSettings
  const part = new RelayPart({
    settings,
    era: new StoreEra(),
    availability: new StoreAvailability(clock),
    clock,
    events: discardingEventLog(clock),
    hash,
    metrics: new Metrics(),
    candidates: () => [],
    onNoneLeft: () => {}
  })
  expect(part.services.size > 0).toBe(expected)
})

const candidates = [['1', 'a'], ['2', 'a'], ['3', 'b'], ['4', undefined]].map(([address, zone]) => ({ address: address!, zone }))

test('hosts of a zone choose the same relay, one of their zone before others', () => {
  const choose = (zone: string, known = candidates): string | undefined =>
    new RelayChoice({ zone: zone as Zone, clock: new ManualClock(), hash }).choose(known)?.address
  expect(['1', '2']).toContain(choose('a'))
  expect(choose('a', [...candidates].reverse())).toBe(choose('a'))
  expect(choose('b')).toBe('3')
  expect(choose('a', candidates.slice(2))).toBeDefined()
  expect(choose('a', [])).toBeUndefined()
})

test('a relay is avoided after a failure, longer after each further one, and then preferred again', async () => {
  const clock = new ManualClock()
  const choice = new RelayChoice({ zone: 'b' as Zone, clock, hash })
  for (const milliseconds of [3000, 6000, 12_000, 24_000, 48_000, 48_000]) {
    choice.recordFailure('3')
    await clock.advance(milliseconds - 1)
    expect(choice.choose(candidates)?.address).not.toBe('3')
    await clock.advance(1)
    expect(choice.choose(candidates)?.address).toBe('3')
  }
})

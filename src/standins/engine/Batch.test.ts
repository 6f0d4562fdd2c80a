/**
 * Guards against a batch whose costs, limits or order differ from the settings, which would make every measured
 * goodput wrong.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { type AttemptId, ManualClock, type RequestId } from '../../common/index.js'
import { Batch } from './Batch.js'
import { EngineRequest, type EngineWork } from './EngineRequest.js'
import { engineStandInSettingsSchema, type EngineStandInSettings } from './EngineSettings.js'
import { Pace } from './Pace.js'
import { type CacheChange, PrefixCache } from './PrefixCache.js'
import { blocksOf } from './tokens.js'

const cost = { stepMilliseconds: 10, sequenceMilliseconds: 1, prefillMilliseconds: 0.5 }
let running: Batch | undefined
afterEach(async () => await running?.stop())

function start (changed: EngineStandInSettings) {
  const settings = engineStandInSettingsSchema.parse({ cost, blockTokens: 4, ...changed })
  const clock = new ManualClock()
  const cache = new PrefixCache({ blockTokens: 4, capacityBlocks: 8, onChange: () => {} })
  const batch = new Batch({ clock, settings, pace: new Pace(clock, settings.timeScale), cache, onChange: () => {} })
  running = batch
  const events: string[] = []
  const submit = (name: string, promptTokens: number, maxTokens: number, more: Partial<EngineWork> = {}) => {
    const request = new EngineRequest({
      requestId: name as RequestId,
      attemptId: name as AttemptId,
      model: 'carassius',
      promptTokens: Array.from({ length: promptTokens }, (_, index) => `${name}${index}`),
      resumeFrom: 0,
      maxTokens,
      priority: 'interactive',
      ...more
    }, {
      token: position => events.push(`${clock.monotonic()} ${name}${position}`),
      end: failed => events.push(`${clock.monotonic()} ${name} ${failed?.kind ?? 'finished'}`)
    }, 0, 4)
    const refused = batch.submit(request)
    if (refused !== undefined) events.push(`${name} ${refused.kind}`)
    return request
  }
  return { batch, clock, events, submit }
}

type Submit = ReturnType<typeof start>['submit']

describe('Batch', () => {
  test.each<[string, EngineStandInSettings, (submit: Submit) => void, string[]]>([
    ['a prompt costs by token, a step by sequence', {}, submit => submit('a', 20, 3), [
      // 10 + 20 x 0.5, then twice 10 + 1
      '20 a0', '31 a1', '42 a2', '42 a finished'
    ]],
    ['the time scale shortens all costs', { timeScale: 0.5 }, submit => submit('a', 20, 2), ['10 a0', '15.5 a1', '15.5 a finished']],
    ['the token budget splits a long prompt', { stepTokenBudget: 8 }, submit => submit('a', 20, 1), [
      // 8, 8 and 4 tokens: 14 + 14 + 12
      '40 a0', '40 a finished'
    ]],
    ['interactive requests come before batch ones', { maxSequences: 1 }, submit => {
      submit('a', 2, 1, { priority: 'batch' })
      submit('b', 2, 1, { priority: 'batch' })
      submit('c', 2, 1)
    }, ['11 c0', '11 c finished', '22 a0', '22 a finished', '33 b0', '33 b finished']],
    ['a request waits for KV memory', { kvCapacityTokens: 10 }, submit => {
      submit('a', 4, 2)
      submit('b', 4, 1)
    }, ['12 a0', '23 a1', '23 a finished', '35 b0', '35 b finished']],
    ['a request larger than the KV memory is refused', { kvCapacityTokens: 10 }, submit => submit('a', 10, 1), ['a bad_request']],
    ['a request beyond the queue is refused', { maxQueued: 1 }, submit => {
      submit('a', 2, 1)
      submit('b', 2, 1)
    }, ['b overloaded', '11 a0', '11 a finished']],
    ['a resumed request computes the output so far', {}, submit => submit('a', 4, 4, { resumeFrom: 2 }), [
      '13 a2', '24 a3', '24 a finished'
    ]],
    ['a request with nothing left ends after its prompt', {}, submit => submit('a', 4, 2, { resumeFrom: 2 }), ['13 a finished']]
  ])('%s', async (_name, settings, act, expected) => {
    const { clock, events, submit } = start(settings)
    act(submit)
    await clock.advance(0)
    await clock.advance(1000)
    expect(events).toEqual(expected)
  })

  test('computes a cached prefix only once', async () => {
    const { clock, events, submit } = start({})
    const promptTokens = Array.from({ length: 10 }, (_, index) => `w${index}`)
    submit('a', 0, 1, { promptTokens })
    await clock.advance(0)
    await clock.advance(100)
    const second = submit('b', 0, 1, { promptTokens })
    await clock.advance(0)
    await clock.advance(100)
    expect(second.cachedTokens).toBe(8)
    expect(events).toEqual(['15 a0', '15 a finished', '111 b0', '111 b finished'])
  })

  test('frees what cancelled and interrupted requests held', async () => {
    const { batch, clock, events, submit } = start({ maxSequences: 1 })
    const first = submit('a', 2, 50)
    submit('b', 2, 50)
    await clock.advance(0)
    await clock.advance(30)
    batch.cancel(first)
    submit('c', 2, 1)
    await clock.advance(15)
    expect(batch.interrupt('test')).toBe(1)
    await clock.advance(100)
    expect(events.filter(event => !/\d$/.test(event))).toEqual(['30 a cancelled', '45 b upstream_failed', '45 c not_run'])
    expect(batch.figures()).toEqual({ runningDecodes: 0, queuedPrefillTokens: 0, kvUsedTokens: 0 })
  })
})

describe('PrefixCache', () => {
  function startCache (capacityBlocks: number) {
    const changes: CacheChange[] = []
    return { changes, cache: new PrefixCache({ blockTokens: 2, capacityBlocks, onChange: change => changes.push(change) }) }
  }
  const sequence = (text: string) => blocksOf('carassius', text.split(' '), 2)

  test.each([
    ['nothing of another prompt', 'a b c d', 'x b c d', 0],
    ['nothing of another beginning with the same end', 'a b c d', 'x y c d', 0],
    ['the common full blocks', 'a b c d', 'a b c x', 2],
    ['no short block', 'a b c', 'a b c', 2]
  ])('finds %s', (_name, stored, wanted, expected) => {
    const { cache } = startCache(8)
    cache.store(sequence(stored))
    expect(cache.cachedTokens(sequence(wanted))).toBe(expected)
  })

  test('uses an imported short block once', () => {
    const { cache } = startCache(8)
    cache.importBlocks(sequence('a b c'))
    expect([cache.use(sequence('a b c')), cache.use(sequence('a b c'))]).toEqual([3, 2])
  })

  test('evicts the end of the least recently used sequence first and tells so', () => {
    const { cache, changes } = startCache(3)
    const [first, second] = [sequence('a b c d'), sequence('x y')]
    cache.store(first)
    cache.store(second)
    cache.use(first)
    cache.store(sequence('p q'))
    expect(changes.at(-1)).toEqual({ kind: 'removed', blocks: [second[0]?.hash] })
    cache.store(sequence('r s'))
    expect(changes.at(-1)).toEqual({ kind: 'removed', blocks: [first[1]?.hash] })
  })
})

/**
 * Guards against a batch whose durations, limits or order deviate from the settings: every goodput measured with the
 * engine stand-in would then be wrong.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { type AttemptId, ManualClock, type RequestId } from '../../common/index.js'
import { Batch } from './Batch.js'
import { EngineRequest, type EngineWork } from './EngineRequest.js'
import { engineStandInSettingsSchema, type EngineStandInSettings } from './EngineSettings.js'
import { WorkTimer } from './WorkTimer.js'
import { type CacheChange, PrefixCache } from './PrefixCache.js'
import { blocksOf } from './tokens.js'

const cost = { stepMilliseconds: 10, sequenceMilliseconds: 1, prefillMilliseconds: 0.5 }
let startedBatch: Batch | undefined
afterEach(async () => await startedBatch?.stop())

function startBatch (overrides: EngineStandInSettings) {
  const settings = engineStandInSettingsSchema.parse({ cost, blockTokens: 4, ...overrides })
  const clock = new ManualClock()
  const cache = new PrefixCache({ blockTokens: 4, capacityBlocks: 8, onChange: () => {} })
  const batch = new Batch({ clock, settings, timer: new WorkTimer(clock, settings.timeScale), cache, onChange: () => {} })
  startedBatch = batch
  const events: string[] = []
  const submit = (name: string, promptTokens: number, maxTokens: number, workOverrides: Partial<EngineWork> = {}) => {
    const request = new EngineRequest({
      requestId: name as RequestId,
      attemptId: name as AttemptId,
      model: 'carassius',
      promptTokens: Array.from({ length: promptTokens }, (_, index) => `${name}${index}`),
      resumeFrom: 0,
      maxTokens,
      priority: 'interactive',
      ...workOverrides
    }, {
      onToken: position => events.push(`${clock.monotonic()} ${name}${position}`),
      onEnd: failed => events.push(`${clock.monotonic()} ${name} ${failed?.kind ?? 'finished'}`)
    }, 0, 4)
    const refusal = batch.submit(request)
    if (refusal !== undefined) events.push(`${name} ${refusal.kind}`)
    return request
  }
  return { batch, clock, events, submit }
}

type Submit = ReturnType<typeof startBatch>['submit']

describe('Batch', () => {
  test.each<[string, EngineStandInSettings, (submit: Submit) => void, string[]]>([
    ['a step takes its base time, plus a time for each prompt token and each generating sequence', {}, submit => submit('a', 20, 3), [
      // Prefill step: 10 + 20 x 0.5 ms; then two decode steps: 10 + 1 ms.
      '20 a0', '31 a1', '42 a2', '42 a finished'
    ]],
    ['a time scale of 0.5 halves all durations', { timeScale: 0.5 }, submit => submit('a', 20, 2), ['10 a0', '15.5 a1', '15.5 a finished']],
    ['a prompt longer than the token budget is computed in several steps', { stepTokenBudget: 8 }, submit => submit('a', 20, 1), [
      // Steps with 8, 8 and 4 prompt tokens: 14 + 14 + 12 ms.
      '40 a0', '40 a finished'
    ]],
    ['a later interactive request runs before waiting batch requests', { maxSequences: 1 }, submit => {
      submit('a', 2, 1, { priority: 'batch' })
      submit('b', 2, 1, { priority: 'batch' })
      submit('c', 2, 1)
    }, ['11 c0', '11 c finished', '22 a0', '22 a finished', '33 b0', '33 b finished']],
    ['a request waits until another one frees enough KV memory', { kvCapacityTokens: 10 }, submit => {
      submit('a', 4, 2)
      submit('b', 4, 1)
    }, ['12 a0', '23 a1', '23 a finished', '35 b0', '35 b finished']],
    ['a request that needs more than the KV capacity is rejected as bad_request', { kvCapacityTokens: 10 }, submit => submit('a', 10, 1), ['a bad_request']],
    ['a request is rejected as overloaded when the queue is full', { maxQueued: 1 }, submit => {
      submit('a', 2, 1)
      submit('b', 2, 1)
    }, ['b overloaded', '11 a0', '11 a finished']],
    ['a resumed request computes the output before its position in the prefill and generates only the remaining tokens', {}, submit => submit('a', 4, 4, { resumeFrom: 2 }), [
      '13 a2', '24 a3', '24 a finished'
    ]],
    ['a request resumed at its last position finishes after the prefill without a token', {}, submit => submit('a', 4, 2, { resumeFrom: 2 }), ['13 a finished']]
  ])('%s', async (_name, settings, act, expected) => {
    const { clock, events, submit } = startBatch(settings)
    act(submit)
    await clock.advance(0)
    await clock.advance(1000)
    expect(events).toEqual(expected)
  })

  test('does not compute the cached full blocks of a prompt again', async () => {
    const { clock, events, submit } = startBatch({})
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

  test('cancelled and interrupted requests free their slots and KV memory', async () => {
    const { batch, clock, events, submit } = startBatch({ maxSequences: 1 })
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
    expect(batch.load()).toEqual({ runningDecodes: 0, queuedPrefillTokens: 0, kvUsedTokens: 0 })
  })
})

describe('PrefixCache', () => {
  function startCache (capacityBlocks: number) {
    const changes: CacheChange[] = []
    return { changes, cache: new PrefixCache({ blockTokens: 2, capacityBlocks, onChange: change => changes.push(change) }) }
  }
  const sequence = (text: string) => blocksOf('carassius', text.split(' '), 2)

  test.each([
    ['no block of a prompt that differs in its first token', 'a b c d', 'x b c d', 0],
    ['no block of a prompt that shares only its last block', 'a b c d', 'x y c d', 0],
    ['the full blocks of a shared prefix', 'a b c d', 'a b c x', 2],
    ['the full blocks but not the partial block of the same prompt', 'a b c', 'a b c', 2]
  ])('finds %s', (_name, stored, wanted, expected) => {
    const { cache } = startCache(8)
    cache.store(sequence(stored))
    expect(cache.cachedTokens(sequence(wanted))).toBe(expected)
  })

  test('counts an imported partial block as cached for the first use only', () => {
    const { cache } = startCache(8)
    cache.importBlocks(sequence('a b c'))
    expect([cache.useCached(sequence('a b c')), cache.useCached(sequence('a b c'))]).toEqual([3, 2])
  })

  test('evicts the least recently used sequence first, from its end, and reports the removed blocks', () => {
    const { cache, changes } = startCache(3)
    const [first, second] = [sequence('a b c d'), sequence('x y')]
    cache.store(first)
    cache.store(second)
    cache.useCached(first)
    cache.store(sequence('p q'))
    expect(changes.at(-1)).toEqual({ kind: 'removed', blocks: [second[0]?.hash] })
    cache.store(sequence('r s'))
    expect(changes.at(-1)).toEqual({ kind: 'removed', blocks: [first[1]?.hash] })
  })
})

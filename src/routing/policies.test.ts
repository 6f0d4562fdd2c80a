/**
 * Guards against policies that send work to loaded workers, leave the own zone without need, ignore cached
 * prompts or overload the worker that holds a popular one.
 */
import { beforeAll, describe, expect, test } from '@jest/globals'
import { type Hash, loadHash, type WorkerId, type Zone } from '../common/index.js'
import { EstimatedFirstTokenPolicy } from './EstimatedFirstTokenPolicy.js'
import { LeastOutstandingPolicy } from './LeastOutstandingPolicy.js'
import { PowerOfTwoPolicy } from './PowerOfTwoPolicy.js'
import { PrefixAffinityPolicy } from './PrefixAffinityPolicy.js'
import { PrefixIndex } from './PrefixIndex.js'
import { RoundRobinPolicy } from './RoundRobinPolicy.js'
import { preferOwnZone, pressureOf, type RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

let hash: Hash
beforeAll(async () => { hash = await loadHash() })

interface Load { outstanding: number, queuedPrefillTokens: number, runningDecodes: number }

function candidate (id: string, load: Partial<Load> = {}, ownZone = true) {
  return {
    id: id as WorkerId,
    zone: (ownZone ? 'a' : 'b') as Zone,
    ownZone,
    load: { outstanding: 0, queuedPrefillTokens: 0, runningDecodes: 0, ...load }
  }
}

const request: RoutingRequest = { promptTokens: 4096, promptBlocks: ['x1', 'x2'] }
const shortRequest: RoutingRequest = { promptTokens: 10, promptBlocks: [] }

function policies (index = new PrefixIndex()): Array<[string, RoutingPolicy]> {
  return [
    ['round robin', new RoundRobinPolicy()],
    ['least outstanding', new LeastOutstandingPolicy()],
    ['power of two', new PowerOfTwoPolicy(1)],
    ['prefix affinity', new PrefixAffinityPolicy(index, 2048, hash)],
    ['estimated first token', new EstimatedFirstTokenPolicy(index, 2048)]
  ]
}

test('every policy chooses one of the candidates, of the own zone when all are idle', () => {
  const candidates = [candidate('w-1'), candidate('w-2'), candidate('v-1', {}, false)]
  for (const [name, policy] of policies()) {
    expect([name, policy.choose(request, [])]).toEqual([name, undefined])
    expect([name, policy.choose(request, [candidate('v-1', {}, false)])?.id]).toEqual([name, 'v-1'])
    const zones = Array.from({ length: 20 }, () => policy.choose(shortRequest, candidates)?.ownZone)
    expect([name, new Set(zones)]).toEqual([name, new Set([true])])
  }
})

test('equal workers share the work under every policy but those that follow prefixes', () => {
  for (const [name, policy] of policies().filter(([name]) => name !== 'prefix affinity')) {
    const candidates = Array.from({ length: 8 }, (_, index) => candidate(`w-${index}`))
    const uses = new Map<string, number>()
    for (let round = 0; round < 800; round += 1) {
      const chosen = policy.choose(shortRequest, candidates)!
      uses.set(chosen.id, (uses.get(chosen.id) ?? 0) + 1)
    }
    expect([name, uses.size]).toEqual([name, 8])
    expect([name, Math.max(...uses.values()) < 160]).toEqual([name, true])
  }
})

test('least outstanding takes the worker with the fewest requests', () => {
  const candidates = [candidate('w-1', { outstanding: 3 }), candidate('w-2', { outstanding: 1 }), candidate('w-3', { outstanding: 2 })]
  expect(new LeastOutstandingPolicy().choose(request, candidates)?.id).toBe('w-2')
})

test('power of two never takes the most loaded worker, and equal seeds choose alike', () => {
  const candidates = [1, 2, 3, 4].map(load => candidate(`w-${load}`, { runningDecodes: load }))
  const choices = (seed: number) => {
    const policy = new PowerOfTwoPolicy(seed)
    return Array.from({ length: 200 }, () => policy.choose(request, candidates)!.id)
  }
  expect(choices(5)).not.toContain('w-4')
  expect(new Set(choices(5))).toEqual(new Set(['w-1', 'w-2', 'w-3']))
  expect(choices(5)).toEqual(choices(5))
  expect(choices(5)).not.toEqual(choices(6))
})

describe('prefix affinity', () => {
  const idle = () => Array.from({ length: 10 }, (_, index) => candidate(`w-${index}`))

  test('keeps a prompt on one worker, also when others join', () => {
    const policy = new PrefixAffinityPolicy(new PrefixIndex(), 2048, hash)
    const first = policy.choose(request, idle())!.id
    for (let round = 0; round < 20; round += 1) expect(policy.choose(request, idle())!.id).toBe(first)
    const others = Array.from({ length: 40 }, (_, index) =>
      new PrefixAffinityPolicy(new PrefixIndex(), 2048, hash).choose({ promptTokens: 4096, promptBlocks: [`y${index}`] }, idle())!.id)
    expect(new Set(others).size).toBeGreaterThan(5)
  })

  test('takes the worker that holds most of the prompt', () => {
    const index = new PrefixIndex()
    index.noteSent('w-3' as WorkerId, ['x1'])
    index.noteSent('w-7' as WorkerId, ['x1', 'x2'])
    expect(new PrefixAffinityPolicy(index, 2048, hash).choose(request, idle())?.id).toBe('w-7')
  })

  test('no worker gets more than its bound, however popular the prompt', () => {
    const policy = new PrefixAffinityPolicy(new PrefixIndex(), 2048, hash)
    const candidates = idle()
    for (let sent = 1; sent <= 200; sent += 1) {
      const chosen = policy.choose(request, candidates)!
      policy.sent(request, chosen)
      chosen.load.outstanding += 1
      expect(pressureOf(chosen)).toBeLessThanOrEqual(sent / 10 * 1.25 + 2)
    }
  })
})

describe('estimated first token', () => {
  const index = new PrefixIndex()
  index.noteSent('cached' as WorkerId, ['x1', 'x2'])
  const policy = new EstimatedFirstTokenPolicy(index, 2048)

  test.each([
    ['fewer queued prompt tokens', [candidate('a', { queuedPrefillTokens: 900 }), candidate('b', { queuedPrefillTokens: 100 })], 'b'],
    ['fewer streams', [candidate('a', { runningDecodes: 9 }), candidate('b', { runningDecodes: 3 })], 'b'],
    ['a cached prompt', [candidate('a'), candidate('cached')], 'cached'],
    ['a cached prompt behind a short queue', [candidate('a'), candidate('cached', { queuedPrefillTokens: 3000 })], 'cached'],
    ['an idle worker over a long queue at the cached prompt',
      [candidate('a'), candidate('cached', { queuedPrefillTokens: 5000 })], 'a'],
    ['the own zone while its wait is shorter than the way', [candidate('a', { queuedPrefillTokens: 150 }), candidate('b', {}, false)], 'a'],
    ['another zone when that pays', [candidate('a', { queuedPrefillTokens: 300 }), candidate('b', {}, false)], 'b']
  ])('prefers %s', (_name, candidates, expected) => {
    // The policy looks at the candidates from another one on each time; the choice must not depend on that.
    for (const order of [candidates, candidates, candidates.toReversed()]) {
      expect(policy.choose(request, order)?.id).toBe(expected)
    }
  })

  test('counts only the tokens that are not cached as queued', () => {
    expect(policy.prefillTokens(request, candidate('cached'))).toBe(0)
    expect(policy.prefillTokens(request, candidate('a'))).toBe(4096)
  })
})

test('own zone candidates come first in the list', () => {
  expect(preferOwnZone([candidate('a'), candidate('b', {}, false)])).toBe(1)
  expect(preferOwnZone([candidate('b', {}, false)])).toBe(1)
})

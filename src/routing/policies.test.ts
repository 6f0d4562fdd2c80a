/**
 * Guards against policies that send requests to loaded workers, choose another zone without need, ignore cached prompts
 * or overload the worker that holds a popular prompt.
 */
import { beforeAll, describe, expect, test } from '@jest/globals'
import { type Hash, loadHash, type WorkerId, type Zone } from '../common/index.js'
import { EstimatedFirstTokenPolicy } from './EstimatedFirstTokenPolicy.js'
import { LeastOutstandingPolicy } from './LeastOutstandingPolicy.js'
import { PowerOfTwoPolicy } from './PowerOfTwoPolicy.js'
import { PrefixAffinityPolicy } from './PrefixAffinityPolicy.js'
import { PrefixIndex } from './PrefixIndex.js'
import { RoundRobinPolicy } from './RoundRobinPolicy.js'
import { countPreferredCandidates, loadInStreams, type RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

let hash: Hash
beforeAll(async () => { hash = await loadHash() })

interface Load { outstanding: number, queuedPrefillTokens: number, runningDecodes: number }

function candidate (id: string, load: Partial<Load> = {}, isInOwnZone = true) {
  return {
    id: id as WorkerId,
    zone: (isInOwnZone ? 'a' : 'b') as Zone,
    isInOwnZone,
    load: { outstanding: 0, queuedPrefillTokens: 0, runningDecodes: 0, ...load }
  }
}

const request: RoutingRequest = { promptTokens: 4096, promptBlocks: ['x1', 'x2'] }
const shortRequest: RoutingRequest = { promptTokens: 10, promptBlocks: [] }

function createPolicies (index = new PrefixIndex()): Array<[string, RoutingPolicy]> {
  return [
    ['round robin', new RoundRobinPolicy()],
    ['least outstanding', new LeastOutstandingPolicy()],
    ['power of two', new PowerOfTwoPolicy(1)],
    ['prefix affinity', new PrefixAffinityPolicy(index, 2048, hash)],
    ['estimated first token', new EstimatedFirstTokenPolicy(index, 2048)]
  ]
}

test('every policy chooses one of the candidates, and one in the zone of the host if all are idle', () => {
  const candidates = [candidate('w-1'), candidate('w-2'), candidate('v-1', {}, false)]
  for (const [name, policy] of createPolicies()) {
    expect([name, policy.choose(request, [])]).toEqual([name, undefined])
    expect([name, policy.choose(request, [candidate('v-1', {}, false)])?.id]).toEqual([name, 'v-1'])
    const zones = Array.from({ length: 20 }, () => policy.choose(shortRequest, candidates)?.isInOwnZone)
    expect([name, new Set(zones)]).toEqual([name, new Set([true])])
  }
})

test('every policy except prefix affinity divides requests among equally loaded workers', () => {
  for (const [name, policy] of createPolicies().filter(([name]) => name !== 'prefix affinity')) {
    const candidates = Array.from({ length: 8 }, (_, index) => candidate(`w-${index}`))
    const choiceCounts = new Map<string, number>()
    for (let round = 0; round < 800; round += 1) {
      const chosen = policy.choose(shortRequest, candidates)!
      choiceCounts.set(chosen.id, (choiceCounts.get(chosen.id) ?? 0) + 1)
    }
    expect([name, choiceCounts.size]).toEqual([name, 8])
    expect([name, Math.max(...choiceCounts.values()) < 160]).toEqual([name, true])
  }
})

test('least outstanding chooses the worker with the fewest open requests', () => {
  const candidates = [candidate('w-1', { outstanding: 3 }), candidate('w-2', { outstanding: 1 }), candidate('w-3', { outstanding: 2 })]
  expect(new LeastOutstandingPolicy().choose(request, candidates)?.id).toBe('w-2')
})

test('power of two never chooses the most loaded worker, and equal seeds give equal choices', () => {
  const candidates = [1, 2, 3, 4].map(load => candidate(`w-${load}`, { runningDecodes: load }))
  const chooseRepeatedly = (seed: number) => {
    const policy = new PowerOfTwoPolicy(seed)
    return Array.from({ length: 200 }, () => policy.choose(request, candidates)!.id)
  }
  expect(chooseRepeatedly(5)).not.toContain('w-4')
  expect(new Set(chooseRepeatedly(5))).toEqual(new Set(['w-1', 'w-2', 'w-3']))
  expect(chooseRepeatedly(5)).toEqual(chooseRepeatedly(5))
  expect(chooseRepeatedly(5)).not.toEqual(chooseRepeatedly(6))
})

describe('prefix affinity', () => {
  const idleCandidates = () => Array.from({ length: 10 }, (_, index) => candidate(`w-${index}`))

  test('always chooses the same worker for a prompt, and spreads other prompts over the workers', () => {
    const policy = new PrefixAffinityPolicy(new PrefixIndex(), 2048, hash)
    const firstChoice = policy.choose(request, idleCandidates())!.id
    for (let round = 0; round < 20; round += 1) expect(policy.choose(request, idleCandidates())!.id).toBe(firstChoice)
    const choicesForOtherPrompts = Array.from({ length: 40 }, (_, index) =>
      new PrefixAffinityPolicy(new PrefixIndex(), 2048, hash).choose({ promptTokens: 4096, promptBlocks: [`y${index}`] }, idleCandidates())!.id)
    expect(new Set(choicesForOtherPrompts).size).toBeGreaterThan(5)
  })

  test('chooses the worker that holds the longest prefix of the prompt', () => {
    const index = new PrefixIndex()
    index.recordSent('w-3' as WorkerId, ['x1'])
    index.recordSent('w-7' as WorkerId, ['x1', 'x2'])
    expect(new PrefixAffinityPolicy(index, 2048, hash).choose(request, idleCandidates())?.id).toBe('w-7')
  })

  test('no worker exceeds the load limit if all requests have the same prompt', () => {
    const policy = new PrefixAffinityPolicy(new PrefixIndex(), 2048, hash)
    const candidates = idleCandidates()
    for (let sent = 1; sent <= 200; sent += 1) {
      const chosen = policy.choose(request, candidates)!
      policy.recordSent(request, chosen)
      chosen.load.outstanding += 1
      expect(loadInStreams(chosen)).toBeLessThanOrEqual(sent / 10 * 1.25 + 2)
    }
  })
})

describe('estimated first token', () => {
  const index = new PrefixIndex()
  index.recordSent('cached' as WorkerId, ['x1', 'x2'])
  const policy = new EstimatedFirstTokenPolicy(index, 2048)

  test.each([
    ['a worker with fewer queued prompt tokens', [candidate('a', { queuedPrefillTokens: 900 }), candidate('b', { queuedPrefillTokens: 100 })], 'b'],
    ['a worker with fewer streams', [candidate('a', { runningDecodes: 9 }), candidate('b', { runningDecodes: 3 })], 'b'],
    ['the worker that holds the prompt', [candidate('a'), candidate('cached')], 'cached'],
    ['the worker that holds the prompt if its queue is short', [candidate('a'), candidate('cached', { queuedPrefillTokens: 3000 })], 'cached'],
    ['an idle worker if the worker that holds the prompt has a long queue',
      [candidate('a'), candidate('cached', { queuedPrefillTokens: 5000 })], 'a'],
    ['the worker in the zone of the host if its wait is shorter than the cost of crossing zones', [candidate('a', { queuedPrefillTokens: 150 }), candidate('b', {}, false)], 'a'],
    ['a worker in another zone if the wait in the zone of the host exceeds the cost of crossing zones', [candidate('a', { queuedPrefillTokens: 300 }), candidate('b', {}, false)], 'b']
  ])('prefers %s', (_name, candidates, expected) => {
    // The policy starts at another candidate on each call; the choice must not depend on the start or on the order.
    for (const order of [candidates, candidates, candidates.toReversed()]) {
      expect(policy.choose(request, order)?.id).toBe(expected)
    }
  })

  test('prefillTokens counts only the prompt tokens that the worker does not hold', () => {
    expect(policy.prefillTokens(request, candidate('cached'))).toBe(0)
    expect(policy.prefillTokens(request, candidate('a'))).toBe(4096)
  })
})

test('only the candidates in the zone of the host are preferred, or all candidates if there are none in it', () => {
  expect(countPreferredCandidates([candidate('a'), candidate('b', {}, false)])).toBe(1)
  expect(countPreferredCandidates([candidate('b', {}, false)])).toBe(1)
})

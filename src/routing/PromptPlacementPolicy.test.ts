/**
 * Guards against hosts that compute the same shared part on different workers, prompts that are queued while another
 * worker is idle, and parts that are computed again although a worker holds them.
 */
import { beforeAll, describe, expect, test } from '@jest/globals'
import { type Hash, loadHash, type WorkerId, type Zone } from '../common/index.js'
import { PrefixIndex } from './PrefixIndex.js'
import { PromptPlacementPolicy } from './PromptPlacementPolicy.js'
import { RoundRobinPolicy } from './RoundRobinPolicy.js'
import type { RoutingCandidate } from './RoutingPolicy.js'

let hash: Hash
beforeAll(async () => { hash = await loadHash() })

function candidate (id: string, load: Partial<RoutingCandidate['load']> = {}, isInOwnZone = true): RoutingCandidate {
  const idle = { outstanding: 0, queuedPrefillTokens: 0, runningDecodes: 0 }
  return { id: id as WorkerId, zone: 'a' as Zone, isInOwnZone, load: { ...idle, ...load } }
}

function createPolicy (): PromptPlacementPolicy {
  const costs = {
    prefillTokensPerMillisecond: 50,
    interleavedTokensPerMillisecond: 25,
    fetchedTokensPerMillisecond: 600,
    millisecondsPerStream: 2,
    otherZoneMillisecondsPerToken: 0.0005
  }
  return new PromptPlacementPolicy({
    index: new PrefixIndex(), hash, costs, policyWithoutPrompt: new RoundRobinPolicy(), seed: 1
  })
}

function requestOf (sharedPart: string, ownPart: string) {
  return { promptTokens: 17_000, promptBlocks: [`m/${sharedPart}`, `m/${ownPart}`], blockTokens: [13_000, 4000] }
}

const workers = ['w-1', 'w-2', 'w-3', 'w-4'].map(id => candidate(id))

describe('chooseForPrompt', () => {
  test('all hosts choose the same worker for prompts with the same shared part, and different parts are spread over the workers', () => {
    const homes = Array.from({ length: 40 }, (_, thread) => {
      const chosenWorkers = [createPolicy(), createPolicy(), createPolicy()].map((policy, index) =>
        policy.chooseForPrompt(requestOf(`thread-${thread}`, `own-${index}`), workers, workers)?.worker.id)
      expect(new Set(chosenWorkers).size).toBe(1)
      return chosenWorkers[0]
    })
    expect(new Set(homes).size).toBe(4)
  })

  test('a prompt whose home worker is busy is computed on another worker, which fetches the shared part from the home', () => {
    const policy = createPolicy()
    const home = policy.chooseForPrompt(requestOf('thread', 'own'), workers, workers)!.worker
    const candidates = workers.map(worker => worker === home ? candidate(home.id, { queuedPrefillTokens: 50_000 }) : worker)
    const placement = policy.chooseForPrompt(requestOf('thread', 'own-2'), candidates, candidates)!
    expect(placement.worker.id).not.toBe(home.id)
    expect(placement.sharedPartsSource?.id).toBe(home.id)
  })

  test('a home worker that computes a prompt fetches the shared part from another worker that is known to hold the part', () => {
    const policy = createPolicy()
    const home = policy.chooseForPrompt(requestOf('thread', 'own'), workers, workers)!.worker
    const other = workers.find(worker => worker !== home)!
    policy.recordSent(requestOf('thread', 'own'), other)
    expect(policy.chooseForPrompt(requestOf('thread', 'own-2'), workers, workers)).toEqual({ worker: home, sharedPartsSource: other })
  })

  test('if no worker is known to hold the shared part, the home fetches the part from its second home among the decode workers', () => {
    const decodeCandidates = ['g-1', 'g-2', 'g-3'].map(id => candidate(id))
    const request = requestOf('thread', 'own')
    const placement = createPolicy().chooseForPrompt(request, workers, decodeCandidates)!
    expect(decodeCandidates).toContain(placement.sharedPartsSource)
    expect(createPolicy().choose(requestOf('thread', 'own-2'), decodeCandidates)).toBe(placement.sharedPartsSource)
  })

  test('without candidates for the computation, no placement is returned', () => {
    expect(createPolicy().chooseForPrompt(requestOf('thread', 'own'), [], [])).toBeUndefined()
  })
})

test('answers to requests with the same shared part are generated on the same worker until its load costs more than fetching the part', () => {
  const candidatesWithStreams = (streams: number) => ['g-1', 'g-2'].map(id => candidate(id, { runningDecodes: id === home ? streams : 0 }))
  const home = createPolicy().choose(requestOf('thread', 'own'), ['g-1', 'g-2'].map(id => candidate(id)))!.id
  expect(createPolicy().choose(requestOf('thread', 'own-2'), candidatesWithStreams(10))!.id).toBe(home)
  expect(createPolicy().choose(requestOf('thread', 'own-3'), candidatesWithStreams(12))!.id).not.toBe(home)
})

test('without load reports, requests are divided evenly among the workers in the zone of the host', () => {
  const candidates = ['w-1', 'w-2', 'w-3', 'w-4', 'w-5', 'w-6'].map((id, index) => candidate(id, {}, index < 3))
  const policy = createPolicy()
  const requests = Array.from({ length: 300 }, (_, index) => ({
    promptTokens: 1000, promptBlocks: [`m/own-${index}`], blockTokens: [1000]
  }))
  const countsByWorker = new Map<string, { prompts: number, answers: number }>()
  const countsOf = (id: string) => countsByWorker.get(id) ?? { prompts: 0, answers: 0 }
  for (const request of requests) {
    const promptWorker = policy.chooseForPrompt(request, candidates, candidates)!.worker.id
    countsByWorker.set(promptWorker, { ...countsOf(promptWorker), prompts: countsOf(promptWorker).prompts + 1 })
    const decodeWorker = policy.choose(request, candidates)!.id
    countsByWorker.set(decodeWorker, { ...countsOf(decodeWorker), answers: countsOf(decodeWorker).answers + 1 })
  }
  expect([...countsByWorker.keys()].sort()).toEqual(['w-1', 'w-2', 'w-3'])
  for (const { prompts, answers } of countsByWorker.values()) {
    // Lower bound: four standard deviations below one third of the 300 requests.
    expect(Math.min(prompts, answers)).toBeGreaterThan(100 - 4 * Math.sqrt(300 * 1 / 3 * 2 / 3))
  }
})

test.each([
  ['a worker with fewer streams', [candidate('w-1', { runningDecodes: 9 }), candidate('w-2', { runningDecodes: 3 })], 'w-2'],
  ['a worker with fewer queued prompt tokens', [candidate('w-1', { queuedPrefillTokens: 5000 }), candidate('w-2')], 'w-2'],
  ['a worker in the zone of the host', [candidate('w-1', {}, false), candidate('w-2')], 'w-2'],
  ['a worker in another zone if the worker in the zone of the host is busy', [candidate('w-1', {}, false), candidate('w-2', { runningDecodes: 40 })], 'w-1']
])('choose prefers %s', (_name, candidates, chosen) => {
  expect(createPolicy().choose(requestOf('thread', 'own'), candidates)?.id as string).toBe(chosen)
})

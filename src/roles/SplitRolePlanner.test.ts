/**
 * Guards against a split that leaves too few engines generating, changes more engines than needed while earlier
 * changes are on their way, or takes most engines away at once.
 */
import { expect, test } from '@jest/globals'
import type { Model, WorkerId, Zone } from '../common/index.js'
import type { EngineRole } from '../configuration/index.js'
import type { PlannedEngine } from './RolePlanner.js'
import { SplitRolePlanner } from './SplitRolePlanner.js'

const input = {
  now: 3000,
  demand: new Map(),
  capacity: { prefillTokensPerSecond: 1, decodeTokensPerSecond: 1, changeSeconds: 0, mixedEfficiency: 1 }
}

/** Engines as text: `p` prefill, `d` decode, `m` mixed; upper case is out of service. */
function engines (text: string): PlannedEngine[] {
  const roles: Record<string, EngineRole> = { p: 'prefill', d: 'decode', m: 'mixed' }
  return [...text].map((letter, index) => ({
    worker: `w-${index}` as WorkerId,
    model: 'm' as Model,
    role: roles[letter.toLowerCase()]!,
    roleSince: 0,
    unavailable: letter !== letter.toLowerCase(),
    isBeingReplaced: false
  }))
}

test.each([
  ['the wanted split', 'ppppppdd', []],
  ['too few engines on prompts', 'pppddddd', ['w-3', 'w-4', 'w-5']],
  ['a large pool changes in steps', 'dddddddd', ['w-0', 'w-1', 'w-2']],
  ['a change on its way', 'ppppDddd', ['w-5']],
  ['enough changes on their way', 'pppDDDdd', []],
  ['too many engines on prompts', 'pppppppp', ['w-0', 'w-1']],
  ['two of six go on generating', 'pppppd', ['w-0']],
  ['two of five go on generating', 'ppppd', ['w-0']],
  ['one of four goes on generating', 'ppdd', ['w-2']],
  ['one of three goes on generating', 'pdd', ['w-1']],
  ['a pool of two has one of each', 'dd', ['w-0']],
  ['a single engine stays as it is', 'd', []],
  ['mixed engines stay as they are', 'mmmm', []]
])('%s: %s', (_name, text, changed) => {
  const changes = new SplitRolePlanner(0.75).plan({ ...input, engines: engines(text) })
  expect(changes.map(({ worker }) => worker as string)).toEqual(changed)
})

test('in a large pool the generating engines are spread over the zones', () => {
  const placed = engines('d'.repeat(24)).map((engine, index) => ({ ...engine, zone: (index < 12 ? 'a' : index < 18 ? 'b' : 'c') as Zone }))
  const planner = new SplitRolePlanner(0.75)
  let left = placed
  for (let round = 0; round < 4; round += 1) {
    const changed = new Set(planner.plan({ ...input, engines: left }).map(({ worker }) => worker))
    left = left.map(engine => changed.has(engine.worker) ? { ...engine, role: 'prefill' as const } : engine)
  }
  const generating = left.filter(({ role }) => role === 'decode').map(({ zone }) => zone as string)
  expect(generating.sort()).toEqual(['a', 'a', 'b', 'b', 'c', 'c'])
})

test('an engine that has just come changes nothing until all have settled', () => {
  const planner = new SplitRolePlanner(0.75)
  const [newcomer, ...others] = engines('dppppppdd')
  const plan = (since: number) => planner.plan({ ...input, engines: [{ ...newcomer!, roleSince: since }, ...others] })
  expect(plan(1000)).toEqual([])
  expect(plan(0)).toHaveLength(1)
})

/**
 * Guards against planners that chase a quickly alternating mix, take the last engine of a kind of work, or
 * ignore what a change costs.
 */
import { describe, expect, test } from '@jest/globals'
import type { EngineRole } from '../configuration/index.js'
import type { Model, WorkerId } from '../common/index.js'
import { defaultPaybackOptions, PaybackRolePlanner } from './PaybackRolePlanner.js'
import type { EngineCapacity, ModelDemand, PlannedEngine, RoleChange, RolePlanner } from './RolePlanner.js'
import { ThresholdRolePlanner } from './ThresholdRolePlanner.js'

const model = 'm' as Model
const capacity: EngineCapacity = {
  prefillTokensPerSecond: 1000,
  decodeTokensPerSecond: 100,
  changeSeconds: 5,
  mixedEfficiency: 0.7
}
const prefillHeavy: ModelDemand = { prefillTokensPerSecond: 4000, decodeTokensPerSecond: 100 }
const decodeHeavy: ModelDemand = { prefillTokensPerSecond: 1000, decodeTokensPerSecond: 400 }

function fleet (roles: EngineRole[]): PlannedEngine[] {
  return roles.map((role, index) => ({
    worker: `e${index}` as WorkerId, model, role, roleSince: -1_000_000, unavailable: false, isBeingReplaced: false
  }))
}

/** Runs a planner once a second and applies its changes at once. */
function run (
  planner: RolePlanner,
  engines: PlannedEngine[],
  seconds: number,
  demandAt: (second: number) => ModelDemand
): RoleChange[] {
  const changes: RoleChange[] = []
  for (let second = 0; second < seconds; second += 1) {
    const input = { now: second * 1000, engines, demand: new Map([[model, demandAt(second)]]), capacity }
    for (const change of planner.plan(input)) {
      const engine = engines.find(candidate => candidate.worker === change.worker)
      if (engine === undefined) throw new Error(`unknown worker ${change.worker}`)
      engine.role = change.to
      engine.roleSince = second * 1000
      changes.push(change)
    }
  }
  return changes
}

const alternating = (period: number) => (second: number): ModelDemand =>
  Math.floor(second / period) % 2 === 0 ? prefillHeavy : decodeHeavy

describe('PaybackRolePlanner', () => {
  test('moves engines towards a mix that stays', () => {
    const engines = fleet(['decode', 'decode', 'decode', 'decode', 'decode', 'prefill'])
    run(new PaybackRolePlanner({ ...defaultPaybackOptions, changeWeightSeconds: 5 }), engines, 120, () => prefillHeavy)
    expect(engines.filter(engine => engine.role !== 'decode').length).toBeGreaterThanOrEqual(4)
  })

  test('changes less than half as often as the threshold planner when the mix alternates about as fast as a change takes', () => {
    const roles: EngineRole[] = ['prefill', 'prefill', 'prefill', 'decode', 'decode', 'decode']
    const payback = run(new PaybackRolePlanner(), fleet(roles), 600, alternating(7))
    const threshold = run(new ThresholdRolePlanner(), fleet(roles), 600, alternating(7))
    expect(payback.length).toBeLessThan(threshold.length / 2)
  })

  test('a greater weight gives fewer changes', () => {
    const changesWith = (changeWeightSeconds: number): number => run(
      new PaybackRolePlanner({ ...defaultPaybackOptions, changeWeightSeconds }),
      fleet(['prefill', 'prefill', 'decode', 'decode', 'decode', 'decode']), 900, alternating(120)).length
    expect(changesWith(60)).toBeLessThan(changesWith(2))
  })

  test('prefers an engine that is being replaced anyway', () => {
    const engines = fleet(['decode', 'decode', 'decode', 'decode', 'prefill', 'prefill'])
    const replaced = engines[3]
    if (replaced !== undefined) Object.assign(replaced, { isBeingReplaced: true, unavailable: true })
    const changes = run(new PaybackRolePlanner(), engines, 3, () => prefillHeavy)
    expect(changes[0]?.worker).toBe('e3')
  })

  test('keeps to the cap per hour', () => {
    const options = { ...defaultPaybackOptions, changeWeightSeconds: 0, minimumStayMilliseconds: 0, maxChangesPerHour: 3 }
    const changes = run(new PaybackRolePlanner(options), fleet(['prefill', 'prefill', 'decode', 'decode']), 3000, alternating(100))
    expect(changes.length).toBe(3)
  })
})

describe.each([
  ['payback', () => new PaybackRolePlanner({ ...defaultPaybackOptions, changeWeightSeconds: 0 })],
  ['threshold', () => new ThresholdRolePlanner()]
])('%s planner', (_name, make) => {
  test.each([
    [prefillHeavy, ['prefill', 'decode'] as EngineRole[]],
    [decodeHeavy, ['prefill', 'decode'] as EngineRole[]],
    [prefillHeavy, ['mixed'] as EngineRole[]]
  ])('never takes the last engine of a kind of work: %j on %j', (demand, roles) => {
    const engines = fleet(roles)
    run(make(), engines, 200, () => demand)
    expect(engines.some(engine => engine.role !== 'decode')).toBe(true)
    expect(engines.some(engine => engine.role !== 'prefill')).toBe(true)
  })
})

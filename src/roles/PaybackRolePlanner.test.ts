/**
 * Guards against planners that follow a quickly alternating mix, leave no engine for prefill or decode work, or ignore
 * the cost of a change.
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

function enginesWithRoles (roles: EngineRole[]): PlannedEngine[] {
  return roles.map((role, index) => ({
    worker: `e${index}` as WorkerId, model, role, roleSince: -1_000_000, unavailable: false, isBeingReplaced: false
  }))
}

/** Calls a planner once per simulated second and applies its changes immediately. */
function runPlanner (
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

const alternatingDemand = (period: number) => (second: number): ModelDemand =>
  Math.floor(second / period) % 2 === 0 ? prefillHeavy : decodeHeavy

describe('PaybackRolePlanner', () => {
  test('under a constant prefill-heavy mix, changes decode engines to roles that do prefill work', () => {
    const engines = enginesWithRoles(['decode', 'decode', 'decode', 'decode', 'decode', 'prefill'])
    runPlanner(new PaybackRolePlanner({ ...defaultPaybackOptions, changeWeightSeconds: 5 }), engines, 120, () => prefillHeavy)
    expect(engines.filter(engine => engine.role !== 'decode').length).toBeGreaterThanOrEqual(4)
  })

  test('makes fewer than half as many changes as the threshold planner if the mix alternates in about the time that a change takes', () => {
    const roles: EngineRole[] = ['prefill', 'prefill', 'prefill', 'decode', 'decode', 'decode']
    const payback = runPlanner(new PaybackRolePlanner(), enginesWithRoles(roles), 600, alternatingDemand(7))
    const threshold = runPlanner(new ThresholdRolePlanner(), enginesWithRoles(roles), 600, alternatingDemand(7))
    expect(payback.length).toBeLessThan(threshold.length / 2)
  })

  test('a higher weight per change leads to fewer changes', () => {
    const changeCountWith = (changeWeightSeconds: number): number => runPlanner(
      new PaybackRolePlanner({ ...defaultPaybackOptions, changeWeightSeconds }),
      enginesWithRoles(['prefill', 'prefill', 'decode', 'decode', 'decode', 'decode']), 900, alternatingDemand(120)).length
    expect(changeCountWith(60)).toBeLessThan(changeCountWith(2))
  })

  test('selects an engine that is already being replaced over other engines in the same role', () => {
    const engines = enginesWithRoles(['decode', 'decode', 'decode', 'decode', 'prefill', 'prefill'])
    const engineBeingReplaced = engines[3]
    if (engineBeingReplaced !== undefined) Object.assign(engineBeingReplaced, { isBeingReplaced: true, unavailable: true })
    const changes = runPlanner(new PaybackRolePlanner(), engines, 3, () => prefillHeavy)
    expect(changes[0]?.worker).toBe('e3')
  })

  test('makes no more changes than the limit per hour allows', () => {
    const options = { ...defaultPaybackOptions, changeWeightSeconds: 0, minimumRoleMilliseconds: 0, maxChangesPerHour: 3 }
    const changes = runPlanner(new PaybackRolePlanner(options), enginesWithRoles(['prefill', 'prefill', 'decode', 'decode']), 3000, alternatingDemand(100))
    expect(changes.length).toBe(3)
  })
})

describe.each([
  ['payback', () => new PaybackRolePlanner({ ...defaultPaybackOptions, changeWeightSeconds: 0 })],
  ['threshold', () => new ThresholdRolePlanner()]
])('%s planner', (_name, createPlanner) => {
  test.each([
    [prefillHeavy, ['prefill', 'decode'] as EngineRole[]],
    [decodeHeavy, ['prefill', 'decode'] as EngineRole[]],
    [prefillHeavy, ['mixed'] as EngineRole[]]
  ])('under demand %j, engines %j keep at least one for prefill and one for decode work', (demand, roles) => {
    const engines = enginesWithRoles(roles)
    runPlanner(createPlanner(), engines, 200, () => demand)
    expect(engines.some(engine => engine.role !== 'decode')).toBe(true)
    expect(engines.some(engine => engine.role !== 'prefill')).toBe(true)
  })
})

import { expect, test } from '@jest/globals'
import { SchedulerEligibility } from './SchedulerEligibility.js'

// Guards against a fleet in which no host schedules, and against small hosts that schedule beside larger ones.
test.each([
  ['a large host', 0.5, true, false, true],
  ['a small host beside larger ones', 0.2, true, false, false],
  ['a small host in a fleet without a scheduler', 0.2, true, true, true],
  ['a tiny host in a fleet without a scheduler', 0.05, true, true, false],
  ['a host that others cannot reach', 1, false, true, false]
])('%s with %d cores, reachable: %s, without another scheduler: %s, offers to schedule: %s', (_host, cores, isReachable, hasNone, offers) => {
  expect(new SchedulerEligibility({ cores, isReachable, hasNoScheduler: () => hasNone }).isEligible).toBe(offers)
})

// Guards against schedulers that withdraw as soon as the store names them, which would leave the fleet without one again.
test('an offer is kept once there are schedulers', () => {
  let hasNone = true
  const eligibility = new SchedulerEligibility({ cores: 0.2, isReachable: true, hasNoScheduler: () => hasNone })
  expect(eligibility.isEligible).toBe(true)
  hasNone = false
  expect(eligibility.isEligible).toBe(true)
})

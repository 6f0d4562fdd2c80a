/** Guards against limits that an ordinary client meets, or that exceed the machine. */
import { expect, test } from '@jest/globals'
import { deriveIntakeLimits } from './intakeLimits.js'

const mebibyte = 1_048_576

test.each([
  ['without settings', {}, { megabytes: 192, maxConnections: 12_288, maxRequests: 29_469, maxTableEntries: 200_000 }],
  ['on the smallest machine', { memoryMegabytes: 202, descriptors: 1024 }, { megabytes: 24, maxConnections: 439, maxRequests: 439, maxTableEntries: 50_500 }],
  ['on the largest machine', { memoryMegabytes: 602, descriptors: 4096 }, { megabytes: 156, maxConnections: 1821, maxRequests: 1821 }],
  ['with next to nothing', { memoryMegabytes: 10, descriptors: 10 }, { megabytes: 16, maxConnections: 32, maxRequests: 32 }]
])('%s', (_name, machine, { megabytes, ...counts }) => {
  const { budgetBytes, ...limits } = deriveIntakeLimits(machine)
  expect(limits).toMatchObject(counts)
  expect(Math.round(budgetBytes / mebibyte)).toBe(megabytes)
})

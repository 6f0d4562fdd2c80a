/** Guards against bodies that are changed by joining their chunks, and against chunks whose overhead exceeds their content. */
import { expect, test } from '@jest/globals'
import { BodyBuffer } from './BodyBuffer.js'

test.each<[string, number[], number]>([
  ['no chunk', [], 0],
  ['one chunk', [5], 1300],
  ['one large chunk', [65_536], 70_000],
  ['chunks of one byte', Array.from({ length: 100_000 }, () => 1), 160_000],
  ['large and small chunks', [1, 70_000, 3, 4096, 4095, 1, 65_536], 170_000]
])('a body in %s stays the same and is held with little overhead', (_name, sizes, maxHeldBytes) => {
  const chunks = sizes.map((size, index) => Buffer.alloc(size, index % 251))
  const buffer = new BodyBuffer()
  for (const chunk of chunks) buffer.add(chunk)
  expect(buffer.heldBytes).toBeLessThanOrEqual(maxHeldBytes)
  expect(buffer.take().equals(Buffer.concat(chunks))).toBe(true)
})

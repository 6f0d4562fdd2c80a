/** Guards against bodies that are changed by joining their chunks, and against chunks whose overhead exceeds their content. */
import { expect, test } from '@jest/globals'
import { BodyBuffer } from './BodyBuffer.js'

test.each<[string, number[], number]>([
  ['no chunk', [], 0],
  ['one chunk', [5], 1300],
  ['one large chunk', [65_536], 70_000],
  ['chunks of one byte', Array.from({ length: 100_000 }, () => 1), 160_000],
  ['large and small chunks', [1, 70_000, 3, 4096, 4095, 1, 65_536], 210_000]
])('a body in %s stays the same and is held with little overhead', (_name, sizes, maxHeldBytes) => {
  const chunks = sizes.map((size, index) => Buffer.alloc(size, index % 251))
  const buffer = new BodyBuffer()
  for (const chunk of chunks) buffer.add(chunk)
  expect(buffer.heldBytes).toBeLessThanOrEqual(maxHeldBytes)
  expect(buffer.take().equals(Buffer.concat(chunks))).toBe(true)
})

// Guards against bodies that share a block with one that was taken or dropped before.
test('bodies that use blocks again do not change those taken before', () => {
  const bodies = Array.from({ length: 20 }, (_, index) => {
    const buffer = new BodyBuffer()
    for (let count = 0; count < 40; count += 1) buffer.add(Buffer.alloc(index % 2 === 0 ? 5000 : 300, index))
    if (index % 5 === 0) buffer.clear()
    return index % 5 === 0 ? Buffer.alloc(0) : buffer.take()
  })
  for (const [index, body] of bodies.entries()) expect(body.every(byte => byte === index)).toBe(true)
})

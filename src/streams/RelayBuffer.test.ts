/** Guards against a relayed message that exceeds the limit of gRPC, which no follower can then receive. */
import { expect, test } from '@jest/globals'
import { toOffset } from '../common/index.js'
import { RelayBuffer } from './RelayBuffer.js'

const maxBytes = 3000

// A limit in UTF-16 code units lets records in other scripts take up to three times the bytes.
test.each<[string, string, number]>([
  ['ASCII', 'x', 3],
  ['characters of two bytes', 'ż', 1],
  ['characters of three bytes', '水', 1],
  ['characters of four bytes', '🐟', 1],
  ['characters of which one exceeds the limit', '水水', 1]
])('selects records in %s up to the limit in bytes', (_name, text, expected) => {
  const buffer = new RelayBuffer()
  for (const offset of [1, 2, 3, 4]) buffer.push({ offset: toOffset(offset), at: 0, value: text.repeat(1000) })
  expect(buffer.slice(1, 10, maxBytes).map(({ offset }) => offset)).toEqual([1, 2, 3].slice(0, expected))
})

/**
 * Guards against log lines that are lost because the process exits while they are buffered or being written, and against
 * buffered lines that take more memory than the limit allows.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { LineWriter, maxPendingBytes } from './LineWriter.js'

let directory: string
let file: string
let descriptor: number

beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), 'lines-'))
  file = join(directory, 'log')
  descriptor = openSync(file, 'w')
})

afterEach(() => {
  closeSync(descriptor)
  rmSync(directory, { recursive: true })
})

test('drain resolves when the lines are written, those written during an earlier write included', async () => {
  const writer = new LineWriter(descriptor)
  writer.writeLine('first')
  writer.flush()
  writer.writeLine('second')
  await writer.drain()
  expect(readFileSync(file, 'utf8')).toBe('first\nsecond\n')
})

test('drain resolves when the output has no reader any more', async () => {
  const readOnly = openSync(file, 'r')
  const writer = new LineWriter(readOnly)
  writer.writeLine('first')
  await writer.drain()
  closeSync(readOnly)
})

// A limit in UTF-16 code units lets lines of other scripts take up to three times the memory.
test.each([
  ['ASCII', 'x'],
  ['characters of two bytes', 'ż'],
  ['characters of three bytes', '水'],
  ['characters of four bytes', '🐟']
])('buffers at most the limit in bytes of lines in %s', (_name, character) => {
  const writer = new LineWriter(descriptor)
  const line = character.repeat(1000)
  for (let count = 0; count < 1000; count += 1) writer.writeLine(line)
  const buffered = 1000 - writer.droppedLines
  expect(buffered * (Buffer.byteLength(line) + 1)).toBeLessThanOrEqual(maxPendingBytes)
  expect((buffered + 1) * (Buffer.byteLength(line) + 1)).toBeGreaterThan(maxPendingBytes)
})

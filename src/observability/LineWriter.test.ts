/** Guards against log lines that are lost because the process exits while they are buffered or being written. */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { LineWriter } from './LineWriter.js'

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

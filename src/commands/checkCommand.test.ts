/**
 * Guards against example settings files that the program does not accept, and against files with mistakes that
 * pass the check.
 */
import { readdirSync } from 'node:fs'
import { afterEach, expect, jest, test } from '@jest/globals'
import { runCommandLine } from './runCommandLine.js'

const kinds = ['host-list', 'host', 'engine', 'service', 'log', 'weight-store'] as const

afterEach(() => {
  jest.restoreAllMocks()
  process.exitCode = undefined
})

async function check (kind: string, file: string): Promise<{ status: number, output: string }> {
  let output = ''
  jest.spyOn(process.stdout, 'write').mockImplementation(chunk => { output += String(chunk); return true })
  await runCommandLine(['check', '--kind', kind, file])
  return { status: Number(process.exitCode ?? 0), output }
}

const examples = ['acuarios', 'kontenerowo'].flatMap(name => readdirSync(`examples/${name}`)
  .filter(file => file.endsWith('.toml'))
  .map(file => [kinds.find(kind => file.startsWith(kind)) ?? 'host', `examples/${name}/${file}`] as const))

test.each(examples)('%s settings in the example file %s are valid', async (kind, file) => {
  expect(await check(kind, file)).toEqual({ status: 0, output: `${file}: valid\n` })
})

test('the check of a settings file of another kind of process ends with status 2 and prints the problems', async () => {
  const { status, output } = await check('host', 'examples/acuarios/log.toml')
  expect(status).toBe(2)
  expect(output).toContain('retention_seconds: found an unknown key')
})

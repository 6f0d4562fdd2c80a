/**
 * Guards against commands that report success for a refused change, change twice after a lost answer, miss
 * changes while they watch, merge time lines in the wrong order, or end with a status outside the table.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { text } from 'node:stream/consumers'
import { afterEach, describe, expect, jest, test } from '@jest/globals'
import { getRequestListener } from '@hono/node-server'
import { exampleApplication } from '../administration/administrationTestSupport.js'
import { type AdministrationOptions, type FleetReport, fleetReportSchema } from '../administration/index.js'
import { ManualClock } from '../common/index.js'
import { forumToken, operatorToken } from '../configuration/exampleConfiguration.js'
import { HybridClock, Timeline } from '../observability/index.js'
import { AdministrationClient, type WatchedChange } from './AdministrationClient.js'
import { runCommandLine } from './runCommandLine.js'

const servers: Server[] = []

type Listener = ReturnType<typeof getRequestListener>

async function listen (listener: Listener): Promise<string> {
  const server = createServer((request, response) => { listener(request, response).catch(() => {}) })
  servers.push(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

async function exampleServer (changed: Partial<AdministrationOptions> = {}) {
  const example = await exampleApplication(changed)
  const listener = getRequestListener(example.application.fetch)
  return { ...example, listener, address: await listen(listener) }
}

/** Address of a server that is not there (any more). */
async function closedAddress (): Promise<string> {
  const address = await listen(async () => {})
  await close(servers.pop())
  return address
}

async function close (server: Server | undefined): Promise<void> {
  server?.closeAllConnections()
  await new Promise(resolve => server?.close(resolve))
}

afterEach(async () => {
  jest.restoreAllMocks()
  await Promise.all(servers.splice(0).map(close))
})

interface Ended { status: number, output: string, errors: string }

/** Runs a command in this process. */
async function run (...args: string[]): Promise<Ended> {
  const written = { output: '', errors: '' }
  jest.spyOn(process.stdout, 'write').mockImplementation(chunk => { written.output += String(chunk); return true })
  jest.spyOn(process.stderr, 'write').mockImplementation(chunk => { written.errors += String(chunk); return true })
  try {
    await runCommandLine(args)
    return { status: Number(process.exitCode ?? 0), ...written }
  } finally {
    process.exitCode = undefined
    jest.restoreAllMocks()
  }
}

const role = '/fleet/roles/engine-1'

function clientOptions (address: string, token = operatorToken): string[] {
  return ['--server', address, '--token', token]
}

describe('administer', () => {
  test('sets, shows, deletes and lists the history of a document', async () => {
    const { address } = await exampleServer()
    const options = clientOptions(address)
    expect(await run('administer', 'set', role, '{"role":"mixed"}', ...options)).toMatchObject({ status: 0, output: expect.stringMatching(/^accepted version=2 /) })
    expect(JSON.parse((await run('administer', 'get', role, '--json', ...options)).output)).toEqual({ path: role, version: 2, value: { role: 'mixed' } })
    expect(await run('administer', 'delete', role, ...options)).toMatchObject({ status: 0 })
    expect(await run('administer', 'get', role, ...options)).toMatchObject({ status: 4, output: '' })
    expect(await run('administer', 'set', role, '{"role":"decode"}', ...options)).toMatchObject({ status: 0 })
    const history = (await run('administer', 'history', role, ...options)).output.trim().split('\n')
    expect(history.map(line => / version=(\d) author=harbour /.exec(line)?.[1])).toEqual(['1', '2', '3', '4'])
    expect((await run('administer', 'get', '/fleet/models/', ...options)).output).toContain('/fleet/models/danio version=1')
  })

  test.each<[string, string[], number, string]>([
    ['stale version', ['administer', 'set', role, '{"role":"mixed"}', '--expect-version', '0'], 5, '"version": 1'],
    ['new path that exists', ['administer', 'delete', role, '--expect-version', '7'], 5, 'conflict'],
    ['invalid document', ['administer', 'set', role, '{"role":"x"}'], 2, 'invalid_configuration'],
    ['value that is not JSON', ['administer', 'set', role, '{role}'], 2, 'not JSON'],
    ['malformed path', ['administer', 'get', '/X/y'], 2, 'bad_request'],
    ['unknown change', ['administer', 'change', 'c'], 4, 'not_found'],
    ['bad token', ['administer', 'get', role, '--token', 'wrong'], 3, 'unauthenticated'],
    ['another team', ['drain', '--token', forumToken], 3, 'forbidden'],
    ['unknown worker', ['drain', 'engine-9'], 4, 'not_found'],
    ['restore without confirmation', ['administer', 'restore', 'x.json'], 2, '--confirm-replace'],
    ['restore of no export', ['administer', 'restore', 'package.json', '--confirm-replace'], 2, 'not an exported configuration'],
    ['unknown option', ['fleet', '--colour'], 2, 'Unknown argument'],
    ['no action', ['administer'], 2, 'Name an action'],
    ['no server', ['use', '--server'], 2, 'Not enough arguments'],
    ['no host', ['timeline', '--event', 'x'], 4, 'not_found']
  ])('%s ends with the status of its error', async (_name, args, status, message) => {
    const { address } = await exampleServer()
    const token = args.includes('--token') ? [] : ['--token', operatorToken]
    const ended = await run(...args, ...(args.includes('--server') ? [] : ['--server', address]), ...token)
    expect(ended).toMatchObject({ status, output: '', errors: expect.stringContaining(message) })
  })

  test('applies the documents of a file as one change, all or none', async () => {
    const { address } = await exampleServer()
    const file = join(mkdtempSync(join(tmpdir(), 'dogwooddale-test-')), 'documents.json')
    const applied = async (documents: unknown) => {
      writeFileSync(file, JSON.stringify(documents))
      return await run('administer', 'apply', file, ...clientOptions(address))
    }
    expect((await applied({ [role]: { role: 'decode' }, '/fleet/models/tetra': { versions: [] } })).status).toBe(2)
    expect((await run('administer', 'get', role, ...clientOptions(address))).output).not.toContain('decode')
    const model = { versions: ['1'], defaultVersion: '1', contextTokens: 10 }
    expect(await applied({ [role]: { role: 'decode' }, '/fleet/models/tetra': model })).toMatchObject({ status: 0 })
    expect((await run('administer', 'get', role, ...clientOptions(address))).output).toContain('decode')
    expect((await applied([1])).status).toBe(2)
  })

  test('an outage ends with 6, a lost answer with 7 and the identity of the change', async () => {
    const { address, writer } = await exampleServer()
    const set = async () => await run('administer', 'set', role, '{"role":"mixed"}', '--change-id', 'c1', '--json', ...clientOptions(address))
    writer.mode = 'outage'
    expect((await set()).status).toBe(6)
    writer.mode = 'lost_answer'
    const lost = await set()
    expect([lost.status, JSON.parse(lost.errors).error.detail.changeId]).toEqual([7, 'c1'])
    writer.deliver()
    expect((await run('administer', 'change', 'c1', ...clientOptions(address))).output).toContain('"accepted"')
  })

  test('tries the next server when one cannot be reached', async () => {
    const { address } = await exampleServer()
    const [gone, alsoGone] = [await closedAddress(), await closedAddress()]
    expect((await run('administer', 'get', role, '--server', gone, ...clientOptions(address))).status).toBe(0)
    expect(await run('administer', 'get', role, '--server', gone, ...clientOptions(alsoGone))).toMatchObject({ status: 6, errors: expect.stringContaining('not_run') })
  })

  test('a change whose answer was lost takes effect once through the next server', async () => {
    const { address, application, writer, configuration } = await exampleServer()
    const losing = await listen(getRequestListener(async request => {
      const response = await application.fetch(request)
      return request.method === 'PUT' ? await new Promise<Response>(() => { breakAll() }) : response
    }))
    const losingServer = servers.at(-1)
    const breakAll = (): void => { losingServer?.closeAllConnections() }
    expect(await run('administer', 'set', role, '{"role":"mixed"}', '--server', losing, ...clientOptions(address))).toMatchObject({ status: 0, output: expect.stringContaining('version=2') })
    expect([writer.records.length, configuration.historyOf(role).length]).toEqual([2, 2])
  })

  test('a lost answer stays unknown when the next server cannot be reached', async () => {
    const losing = await listen(getRequestListener(() => new Promise<Response>(() => { losingServer?.closeAllConnections() })))
    const losingServer = servers.at(-1)
    const ended = await run('administer', 'delete', role, '--expect-version', '1', '--server', losing, ...clientOptions(await closedAddress()))
    expect(ended).toMatchObject({ status: 7 })
  })

  test('a drain whose answer was lost is not sent to the next server', async () => {
    const { address, application, calls } = await exampleServer()
    const losing = await listen(getRequestListener(async request => {
      await application.fetch(request)
      return await new Promise<Response>(() => { losingServer?.closeAllConnections() })
    }))
    const losingServer = servers.at(-1)
    expect((await run('drain', '--server', losing, ...clientOptions(address))).status).toBe(7)
    expect(calls).toHaveLength(1)
  })

  test('exports to a file and restores it with the confirmation', async () => {
    const { address, snapshots } = await exampleServer()
    const file = join(mkdtempSync(join(tmpdir(), 'dogwooddale-')), 'export.json')
    expect((await run('administer', 'export', '--output', file, ...clientOptions(address))).status).toBe(0)
    expect(JSON.parse(readFileSync(file, 'utf8')).state.documents).toHaveLength(10)
    const restored = await run('administer', 'restore', file, '--confirm-replace', ...clientOptions(address))
    expect(restored).toMatchObject({ status: 0, output: 'snapshot written offset=6\n' })
    expect(snapshots).toHaveLength(1)
  })

  test('the built program takes the value from standard input and the token from the environment', async () => {
    const { address } = await exampleServer()
    const program = spawn(process.execPath, ['dist/dogwooddale.cjs', 'administer', 'set', role, '--server', address], {
      env: { ...process.env, DOGWOODDALE_TOKEN: operatorToken, NODE_OPTIONS: '' }
    })
    program.stdin.end('{ "role": "mixed" }\n')
    const [output, status] = await Promise.all([
      text(program.stdout),
      new Promise(resolve => program.once('exit', resolve))
    ])
    expect([status, output]).toEqual([0, expect.stringMatching(/^accepted version=2 /)])
  })
})

describe('watch', () => {
  test('goes on with the next server after a break and misses no change', async () => {
    const example = await exampleServer()
    const first = await listen(example.listener)
    const firstServer = servers.at(-1)
    const seen: WatchedChange[] = []
    const stopping = new AbortController()
    const client = new AdministrationClient({ servers: [first, example.address], token: operatorToken })
    const setShare = async (share: number, version: number) => {
      await example.send('PUT', '/settings/fleet/shares', { body: { forum: share }, headers: { 'if-match': `"${version}"` } })
    }
    const actions: Array<Promise<void>> = []
    const before = example.configuration.list('/fleet/').length
    const ended = client.watch('/fleet/', 0, change => {
      seen.push(change)
      if (seen.length === before) actions.push(close(firstServer).then(async () => { await setShare(1, 1) }))
      if (seen.length === before + 1) actions.push(setShare(2, 2))
      if (seen.length === before + 2) stopping.abort()
    }, stopping.signal)
    expect((await ended).isOk).toBe(true)
    await Promise.all(actions)
    expect(seen.slice(before).map(change => change.value)).toEqual([{ forum: 1 }, { forum: 2 }])
  })

  test('an error that another try cannot mend is not tried at the next server', async () => {
    const { address } = await exampleServer()
    let asked = 0
    const next = await listen(getRequestListener(() => {
      asked += 1
      return new Response(null, { status: 500 })
    }))
    const client = new AdministrationClient({ servers: [address, next], token: 'wrong' })
    const ended = await client.watch('', 0, () => {}, new AbortController().signal)
    expect([ended.isErr && ended.error.kind, asked]).toEqual(['unauthenticated', 0])
  })

  test('a reader that leaves makes room for another', async () => {
    const { address } = await exampleServer({ maxWatches: 1 })
    const client = new AdministrationClient({ servers: [address], token: operatorToken })
    const watchOnce = async () => {
      const stopping = new AbortController()
      const ended = await client.watch('/fleet/shares', 0, () => { stopping.abort() }, stopping.signal)
      return ended.isOk ? 'seen' : ended.error.kind
    }
    expect(await watchOnce()).toBe('seen')
    // The server learns of the end a moment later than the reader.
    let second = await watchOnce()
    while (second === 'overloaded') second = await watchOnce()
    expect(second).toBe('seen')
  })

  test('ends with the error of the server, also later', async () => {
    const { address, send } = await exampleServer()
    expect(await run('administer', 'watch', ...clientOptions(address, 'wrong'))).toMatchObject({ status: 3 })
    const actions: unknown[] = []
    const client = new AdministrationClient({ servers: [address], token: forumToken })
    const ended = await client.watch('/fleet/shares', 0, () => {
      actions.push(send('PUT', '/settings/teams/forum/account', { body: { owner: 'acuarios', tokens: [] }, headers: { 'if-match': '"1"' } }))
    }, new AbortController().signal)
    await Promise.all(actions)
    expect(ended.isErr && ended.error.kind).toBe('unauthenticated')
  })
})

describe('reports', () => {
  function timelineOf (name: string, wall: number) {
    const clock = new HybridClock(new ManualClock(wall))
    return { clock, timeline: new Timeline(name, clock) }
  }

  test('timeline merges all hosts, leaves out one that does not answer, and filters', async () => {
    const [fast, slow] = [timelineOf('a', 10_000), timelineOf('b', 5_000)]
    const cause = fast.timeline.add('sent', { request: 'r1' })
    slow.clock.receive(cause.timestamp)
    slow.timeline.add('received', { request: 'r1', engine: 'engine-1' })
    slow.timeline.add('other', { path: '/fleet/shares' })
    const hosts = await Promise.all([slow, fast].map(async ({ timeline }) => (await exampleServer({ timeline })).address))
    const gone = await closedAddress()
    const fleet = (await exampleServer()).application
    const report = await (await fleet.request('/fleet', { headers: { authorization: `Bearer ${operatorToken}` } })).json() as FleetReport
    const listed = [...hosts, gone].map((administration, index) => ({
      hostId: `h${index}`, incarnation: '0'.repeat(16), zone: 'z', region: 'r', state: 'live', addresses: { callers: [], peers: '', administration }
    }))
    const known = await exampleServer({ fleetReport: () => ({ ...report, hosts: fleetReportSchema.shape.hosts.parse(listed) }) })
    const ended = await run('timeline', ...clientOptions(known.address))
    expect(ended.output.trim().split('\n').map(line => line.split(' ').slice(2, 4).join(' '))).toEqual(['a sent', 'b received', 'b other'])
    expect([ended.status, ended.errors]).toEqual([0, expect.stringContaining(`left out: not_run: ${gone}`)])
    const given = ['--host', hosts[0] ?? '', '--host', hosts[1] ?? '', '--token', operatorToken, '--json']
    const filters = [['--request', 'r1'], ['--engine', 'engine-1'], ['--setting', '/fleet'], ['--event', 'sent']]
    const counts: number[] = []
    for (const filter of filters) counts.push(JSON.parse((await run('timeline', ...given, ...filter)).output).length)
    expect(counts).toEqual([2, 1, 1, 1])
  })

  test('fleet, use and drain print what the host answers', async () => {
    const line = {
      owner: 'acuarios', team: 'forum', subject: 'carassius', requests: 3, promptTokens: 40, cachedPromptTokens: 5, generatedTokens: 60, engineMilliseconds: 70, calls: 0
    }
    const usageStatement = (() => ({ isErr: false, isOk: true, value: { through: 9, lines: [line] } })) as never
    const { address, calls } = await exampleServer({ usageStatement })
    expect((await run('fleet', ...clientOptions(address))).output).toContain('HOST  ZONE  STATE')
    expect((await run('use', ...clientOptions(address))).output).toMatch(/acuarios +forum +carassius +3 +40 +5 +60 +70 +0\nthrough offset 9/)
    expect((await run('drain', 'engine-1', ...clientOptions(address))).output).toBe('draining engine-1\n')
    expect((await run('administer', 'confirm-order', 'o-1', ...clientOptions(address))).output).toBe('confirmed order=o-1\n')
    expect(calls).toEqual([['engine-1', 'harbour'], ['o-1', 'harbour']])
  })
})

/**
 * Guards against commands that report success for a change that failed, make a change twice after a lost response, miss
 * changes during a watch, merge timelines in the wrong order, or end with the exit status of another error.
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
import { EndlessServer, endlessHeads, maxAcceptedBytes } from '../clients/testing/EndlessSender.js'
import { createExampleApplication } from '../administration/administrationTestSupport.js'
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

async function startExampleServer (overrides: Partial<AdministrationOptions> = {}) {
  const example = await createExampleApplication(overrides)
  const listener = getRequestListener(example.application.fetch)
  return { ...example, listener, address: await listen(listener) }
}

/** Address of a server that has been closed. */
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

interface CommandResult { status: number, output: string, errors: string }

/** Runs a command in this process and captures its exit status and output. */
async function run (...args: string[]): Promise<CommandResult> {
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
  test('set, get and delete act on a document, and history lists all its versions', async () => {
    const { address } = await startExampleServer()
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
    ['set with a stale version', ['administer', 'set', role, '{"role":"mixed"}', '--expect-version', '0'], 5, '"version": 1'],
    ['delete with a version that is not the current one', ['administer', 'delete', role, '--expect-version', '7'], 5, 'conflict'],
    ['set with an invalid document', ['administer', 'set', role, '{"role":"x"}'], 2, 'invalid_configuration'],
    ['set with a value that is not JSON', ['administer', 'set', role, '{role}'], 2, 'not JSON'],
    ['get with a malformed path', ['administer', 'get', '/X/y'], 2, 'bad_request'],
    ['change with an unknown id', ['administer', 'change', 'c'], 4, 'not_found'],
    ['get with an unknown token', ['administer', 'get', role, '--token', 'wrong'], 3, 'unauthenticated'],
    ['drain with a token without operator rights', ['drain', '--token', forumToken], 3, 'forbidden'],
    ['drain of an unknown worker', ['drain', 'engine-9'], 4, 'not_found'],
    ['restore without confirmation', ['administer', 'restore', 'x.json'], 2, '--confirm-replace'],
    ['restore of a file that is not an export', ['administer', 'restore', 'package.json', '--confirm-replace'], 2, 'not an exported configuration'],
    ['fleet with an unknown option', ['fleet', '--colour'], 2, 'Unknown argument'],
    ['administer without an action', ['administer'], 2, 'Name an action'],
    ['use without a server address', ['use', '--server'], 2, 'Not enough arguments'],
    ['timeline without a known host', ['timeline', '--event', 'x'], 4, 'not_found']
  ])('%s ends with the exit status of its error', async (_name, args, status, message) => {
    const { address } = await startExampleServer()
    const token = args.includes('--token') ? [] : ['--token', operatorToken]
    const ended = await run(...args, ...(args.includes('--server') ? [] : ['--server', address]), ...token)
    expect(ended).toMatchObject({ status, output: '', errors: expect.stringContaining(message) })
  })

  test('apply sets the documents of a file as one change, or none of them if one is invalid', async () => {
    const { address } = await startExampleServer()
    const file = join(mkdtempSync(join(tmpdir(), 'dogwooddale-test-')), 'documents.json')
    const applyDocuments = async (documents: unknown) => {
      writeFileSync(file, JSON.stringify(documents))
      return await run('administer', 'apply', file, ...clientOptions(address))
    }
    expect((await applyDocuments({ [role]: { role: 'decode' }, '/fleet/models/tetra': { versions: [] } })).status).toBe(2)
    expect((await run('administer', 'get', role, ...clientOptions(address))).output).not.toContain('decode')
    const model = { versions: ['1'], defaultVersion: '1', contextTokens: 10 }
    expect(await applyDocuments({ [role]: { role: 'decode' }, '/fleet/models/tetra': model })).toMatchObject({ status: 0 })
    expect((await run('administer', 'get', role, ...clientOptions(address))).output).toContain('decode')
    expect((await applyDocuments([1])).status).toBe(2)
  })

  test('a change ends with status 6 during an outage, and with status 7 and its id after a lost response', async () => {
    const { address, writer } = await startExampleServer()
    const setRole = async () => await run('administer', 'set', role, '{"role":"mixed"}', '--change-id', 'c1', '--json', ...clientOptions(address))
    writer.mode = 'outage'
    expect((await setRole()).status).toBe(6)
    writer.mode = 'lost_answer'
    const lostResponseResult = await setRole()
    expect([lostResponseResult.status, JSON.parse(lostResponseResult.errors).error.detail.changeId]).toEqual([7, 'c1'])
    writer.deliver()
    expect((await run('administer', 'change', 'c1', ...clientOptions(address))).output).toContain('"accepted"')
  })

  test('a command tries the next server if one cannot be reached, and ends with not_run if none can', async () => {
    const { address } = await startExampleServer()
    const [unreachable, alsoUnreachable] = [await closedAddress(), await closedAddress()]
    expect((await run('administer', 'get', role, '--server', unreachable, ...clientOptions(address))).status).toBe(0)
    expect(await run('administer', 'get', role, '--server', unreachable, ...clientOptions(alsoUnreachable))).toMatchObject({ status: 6, errors: expect.stringContaining('not_run') })
  })

  test('a change whose response was lost is sent to the next server and takes effect once', async () => {
    const { address, application, writer, configuration } = await startExampleServer()
    const lossyAddress = await listen(getRequestListener(async request => {
      const response = await application.fetch(request)
      return request.method === 'PUT' ? await new Promise<Response>(() => { closeConnections() }) : response
    }))
    const lossyServer = servers.at(-1)
    const closeConnections = (): void => { lossyServer?.closeAllConnections() }
    expect(await run('administer', 'set', role, '{"role":"mixed"}', '--server', lossyAddress, ...clientOptions(address))).toMatchObject({ status: 0, output: expect.stringContaining('version=2') })
    expect([writer.records.length, configuration.historyOf(role).length]).toEqual([2, 2])
  })

  test('the outcome of a change stays unknown if its response was lost and the next server cannot be reached', async () => {
    const lossyAddress = await listen(getRequestListener(() => new Promise<Response>(() => {
      lossyServer?.closeAllConnections()
    })))
    const lossyServer = servers.at(-1)
    const ended = await run('administer', 'delete', role, '--expect-version', '1', '--server', lossyAddress, ...clientOptions(await closedAddress()))
    expect(ended).toMatchObject({ status: 7 })
  })

  test('a drain whose response was lost is not sent to the next server', async () => {
    const { address, application, calls } = await startExampleServer()
    const lossyAddress = await listen(getRequestListener(async request => {
      await application.fetch(request)
      return await new Promise<Response>(() => { lossyServer?.closeAllConnections() })
    }))
    const lossyServer = servers.at(-1)
    expect((await run('drain', '--server', lossyAddress, ...clientOptions(address))).status).toBe(7)
    expect(calls).toHaveLength(1)
  })

  test('export writes the configuration to a file, and a confirmed restore writes it back as a snapshot', async () => {
    const { address, snapshots } = await startExampleServer()
    const file = join(mkdtempSync(join(tmpdir(), 'dogwooddale-')), 'export.json')
    expect((await run('administer', 'export', '--output', file, ...clientOptions(address))).status).toBe(0)
    expect(JSON.parse(readFileSync(file, 'utf8')).state.documents).toHaveLength(10)
    const restored = await run('administer', 'restore', file, '--confirm-replace', ...clientOptions(address))
    expect(restored).toMatchObject({ status: 0, output: 'snapshot written offset=6\n' })
    expect(snapshots).toHaveLength(1)
  })

  test('the built program reads the value from standard input and the token from the environment', async () => {
    const { address } = await startExampleServer()
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
  test('resumes on the next server after its server closes and misses no change', async () => {
    const example = await startExampleServer()
    const firstAddress = await listen(example.listener)
    const firstServer = servers.at(-1)
    const seen: WatchedChange[] = []
    const abortController = new AbortController()
    const client = new AdministrationClient({ servers: [firstAddress, example.address], token: operatorToken })
    const setShare = async (share: number, version: number) => {
      await example.send('PUT', '/settings/fleet/shares', { body: { forum: share }, headers: { 'if-match': `"${version}"` } })
    }
    const actions: Array<Promise<void>> = []
    const initialCount = example.configuration.list('/fleet/').length
    const ended = client.watch('/fleet/', 0, change => {
      seen.push(change)
      if (seen.length === initialCount) actions.push(close(firstServer).then(async () => { await setShare(1, 1) }))
      if (seen.length === initialCount + 1) actions.push(setShare(2, 2))
      if (seen.length === initialCount + 2) abortController.abort()
    }, abortController.signal)
    expect((await ended).isOk).toBe(true)
    await Promise.all(actions)
    expect(seen.slice(initialCount).map(change => change.value)).toEqual([{ forum: 1 }, { forum: 2 }])
  })

  // Guards against a command that takes up the memory of its machine with what a faulty server sends.
  test.each([
    ...endlessHeads,
    ['an event without an end', 'HTTP/1.1 200 OK\r\n\r\n', 'data: x\n'],
    ['a line without an end', 'HTTP/1.1 200 OK\r\n\r\ndata: ', 'x'],
    ['an error without an end', 'HTTP/1.1 500 X\r\n\r\n', ' ']
  ])('ends with a failure after %s', async (_name, head, piece) => {
    const server = await EndlessServer.start(head, piece)
    const client = new AdministrationClient({ servers: [server.address], token: operatorToken })
    const ended = await client.watch('', 0, () => {}, new AbortController().signal)
    expect(ended.isErr).toBe(true)
    expect(server.sentBytes).toBeLessThan(maxAcceptedBytes)
    await client.close()
    await server.stop()
  })

  test('does not try the next server after an error for which a retry cannot help', async () => {
    const { address } = await startExampleServer()
    let requestCount = 0
    const nextAddress = await listen(getRequestListener(() => {
      requestCount += 1
      return new Response(null, { status: 500 })
    }))
    const client = new AdministrationClient({ servers: [address, nextAddress], token: 'wrong' })
    const ended = await client.watch('', 0, () => {}, new AbortController().signal)
    expect([ended.isErr && ended.error.kind, requestCount]).toEqual(['unauthenticated', 0])
  })

  test('at the limit of watches, a new watch is accepted after another one has ended', async () => {
    const { address } = await startExampleServer({ maxWatches: 1 })
    const client = new AdministrationClient({ servers: [address], token: operatorToken })
    const watchOnce = async () => {
      const abortController = new AbortController()
      const ended = await client.watch('/fleet/shares', 0, () => { abortController.abort() }, abortController.signal)
      return ended.isOk ? 'seen' : ended.error.kind
    }
    expect(await watchOnce()).toBe('seen')
    // The server notices the end of the first watch a moment later than the client.
    let second = await watchOnce()
    while (second === 'overloaded') second = await watchOnce()
    expect(second).toBe('seen')
  })

  test('ends with the error of the server, both at the start and later in the stream', async () => {
    const { address, send } = await startExampleServer()
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
  function createTimeline (name: string, wall: number) {
    const clock = new HybridClock(new ManualClock(wall))
    return { clock, timeline: new Timeline(name, clock) }
  }

  test('timeline merges the events of all hosts, omits an unreachable host, and applies the filters', async () => {
    const [sender, receiver] = [createTimeline('a', 10_000), createTimeline('b', 5_000)]
    const cause = sender.timeline.add('sent', { request: 'r1' })
    receiver.clock.receive(cause.timestamp)
    receiver.timeline.add('received', { request: 'r1', engine: 'engine-1' })
    receiver.timeline.add('other', { path: '/fleet/shares' })
    const hosts = await Promise.all([receiver, sender]
      .map(async ({ timeline }) => (await startExampleServer({ timeline })).address))
    const unreachable = await closedAddress()
    const fleet = (await startExampleServer()).application
    const report = await (await fleet.request('/fleet', { headers: { authorization: `Bearer ${operatorToken}` } })).json() as FleetReport
    const listedHosts = [...hosts, unreachable].map((administration, index) => ({
      hostId: `h${index}`, incarnation: '0'.repeat(16), zone: 'z', region: 'r', state: 'live', addresses: { callers: [], peers: '', administration }
    }))
    const listingHost = await startExampleServer({
      fleetReport: () => ({ ...report, hosts: fleetReportSchema.shape.hosts.parse(listedHosts) })
    })
    const ended = await run('timeline', ...clientOptions(listingHost.address))
    expect(ended.output.trim().split('\n').map(line => line.split(' ').slice(2, 4).join(' '))).toEqual(['a sent', 'b received', 'b other'])
    expect([ended.status, ended.errors]).toEqual([0, expect.stringContaining(`omitted: not_run: ${unreachable}`)])
    const hostOptions = ['--host', hosts[0] ?? '', '--host', hosts[1] ?? '', '--token', operatorToken, '--json']
    const filters = [['--request', 'r1'], ['--engine', 'engine-1'], ['--setting', '/fleet'], ['--event', 'sent']]
    const eventCounts: number[] = []
    for (const filter of filters) eventCounts.push(JSON.parse((await run('timeline', ...hostOptions, ...filter)).output).length)
    expect(eventCounts).toEqual([2, 1, 1, 1])
  })

  test('fleet, use, drain and confirm-order print the response of the host', async () => {
    const usageLine = {
      owner: 'acuarios', team: 'forum', subject: 'carassius', requests: 3, promptTokens: 40, cachedPromptTokens: 5, generatedTokens: 60, engineMilliseconds: 70, calls: 0
    }
    const usageStatement = (() => ({ isErr: false, isOk: true, value: { through: 9, lines: [usageLine] } })) as never
    const { address, calls } = await startExampleServer({ usageStatement })
    expect((await run('fleet', ...clientOptions(address))).output).toContain('HOST  ZONE  STATE')
    expect((await run('use', ...clientOptions(address))).output).toMatch(/acuarios +forum +carassius +3 +40 +5 +60 +70 +0\nthrough offset 9/)
    expect((await run('drain', 'engine-1', ...clientOptions(address))).output).toBe('draining engine-1\n')
    expect((await run('administer', 'confirm-order', 'o-1', ...clientOptions(address))).output).toBe('confirmed order=o-1\n')
    expect(calls).toEqual([['engine-1', 'harbour'], ['o-1', 'harbour']])
  })
})

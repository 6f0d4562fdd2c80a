/**
 * Guards against hosts that let an engine work for callers who are gone, cut streams or lose use when they are
 * stopped, end with the wrong exit status, or let one caller or one dead host hold up others. Hosts run as
 * processes, since signals, connections and exit statuses are what is checked.
 */
import { connect } from 'node:net'
import { text as textOfBody } from 'node:stream/consumers'
import { afterAll, afterEach, beforeAll, describe, expect, test } from '@jest/globals'
import { expectedText } from '../standins/index.js'
import { Deployment, type DeploymentOptions, operatorTeam, type StartedProcess, tokenOf } from '../testing/index.js'

const model = 'pez'
const zone = 'guayaquil-a'
const endStates = ['finished', 'cancelled', 'failed']

const options: DeploymentOptions = {
  region: 'costa',
  zones: [zone],
  hostsPerZone: 0,
  enginesPerZone: 1,
  servicesPerZone: 1,
  model,
  enginePool: 'modelos-foro',
  servicePool: 'app-foro',
  teams: { foro: 'acuarios' }
}

const headers = { authorization: `Bearer ${tokenOf('foro')}`, 'content-type': 'application/json', 'x-timeout-ms': '120000' }

interface EngineView { state: string, position: number }

function bodyOf (prompt: string, tokens: number): string {
  return JSON.stringify({ model, prompt, max_tokens: tokens, stream: true })
}

/** Opens a stream; resolves when its first token is on the way. */
async function openStream (host: StartedProcess, prompt: string, tokens: number, signal?: AbortSignal): Promise<Response> {
  const init = { method: 'POST', headers, body: bodyOf(prompt, tokens), ...(signal === undefined ? {} : { signal }) }
  const response = await fetch(`${host.origin('callers')}/v1/completions`, init)
  expect(response.status).toBe(200)
  return response
}

/** The text of a complete stream; throws if the stream has no end mark. */
function textOfEvents (events: string): string {
  const data = events.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice('data: '.length))
  expect(data.at(-1)).toBe('[DONE]')
  return data.slice(0, -1)
    .map(chunk => (JSON.parse(chunk) as { choices: Array<{ text?: string }> }).choices[0]?.text ?? '')
    .join('')
}

/** The engine's view of a request when the engine no longer works on it. */
async function endedOnEngine (engine: StartedProcess, requestId: string): Promise<EngineView> {
  for (;;) {
    const view = await (await fetch(`${engine.origin()}/requests/${requestId}`)).json() as EngineView
    if (endStates.includes(view.state)) return view
  }
}

function firstOf (processes: Map<string, StartedProcess>): StartedProcess {
  const [first] = processes.values()
  if (first === undefined) throw new Error('there is no such process')
  return first
}

async function setFault (started: StartedProcess, fault: object): Promise<void> {
  const answer = await fetch(`${started.origin()}/faults`, { method: 'POST', body: JSON.stringify(fault) })
  expect(answer.ok).toBe(true)
}

/** Request ids in the usage records that the log holds. */
async function loggedRequestIds (deployment: Deployment): Promise<string> {
  return await (await fetch(`${deployment.platform('log').origin()}/streams/use/records?from=1&limit=1000`)).text()
}

describe('with an engine at its usual pace', () => {
  const tokens = 300
  const prompts = ['why is the water cloudy', 'which fish eat algae', 'how warm must it be']
  let deployment: Deployment

  beforeAll(async () => { deployment = await Deployment.start(options) })
  afterEach(async () => {
    await fetch(`${deployment.platform('log').origin()}/faults`, { method: 'DELETE' })
    for (const host of deployment.hosts.values()) await host.kill()
  })
  afterAll(async () => { await deployment.stop() })

  test('a caller that vanishes in the middle of a stream ends the work on the engine', async () => {
    const host = await deployment.startHost('leaving-caller', zone)
    const caller = new AbortController()
    const response = await openStream(host, 'a long answer', 1000, caller.signal)
    caller.abort()
    const ended = await endedOnEngine(firstOf(deployment.engines), response.headers.get('x-request-id') ?? '')
    expect(ended.state).toBe('cancelled')
    expect(ended.position).toBeLessThan(1000)
  })

  /** Opens the streams, starts the shutdown and returns when the host reports all of them as open. */
  async function drainWithStreams (name: string, settings = {}): Promise<{ host: StartedProcess, streams: Response[] }> {
    const host = await deployment.startHost(name, zone, settings)
    const streams = await Promise.all(prompts.map(prompt => openStream(host, prompt, tokens)))
    host.signal('SIGTERM')
    await host.logLine(new RegExp(`event=drain_started open=${prompts.length}$`))
    return { host, streams }
  }

  async function expectWhole (streams: Response[]): Promise<void> {
    const texts = await Promise.all(streams.map(async stream => textOfEvents(await stream.text())))
    expect(texts).toEqual(prompts.map(prompt => expectedText(model, prompt, tokens)))
  }

  test.each([
    ['one SIGTERM', 'stopped-once', 0],
    ['a second SIGTERM in the middle', 'stopped-twice', 1],
    ['many SIGTERMs in the middle', 'stopped-often', 5]
  ])('%s ends open streams whole with exit status 0', async (_name, hostName, further) => {
    const { host, streams } = await drainWithStreams(hostName)
    for (let signal = 0; signal < further; signal += 1) host.signal('SIGTERM')
    await expectWhole(streams)
    expect(await host.exited).toEqual({ code: 0, signal: null })
    const logged = await loggedRequestIds(deployment)
    for (const stream of streams) expect(logged).toContain(stream.headers.get('x-request-id'))
  })

  test('a drain ordered by an operator ends streams whole and the process with status 0', async () => {
    const host = await deployment.startHost('drained-by-operator', zone)
    const streams = await Promise.all(prompts.map(prompt => openStream(host, prompt, tokens)))
    const authorization = `Bearer ${tokenOf(operatorTeam)}`
    const ordered = await fetch(`${host.origin('administration')}/drain`, { method: 'POST', headers: { authorization } })
    expect(ordered.status).toBe(202)
    await expectWhole(streams)
    expect(await host.exited).toEqual({ code: 0, signal: null })
  })

  test('SIGTERM while the log is out ends streams whole and waits for the log to store their use', async () => {
    const log = deployment.platform('log')
    const host = await deployment.startHost('stopped-in-outage', zone)
    const streams = await Promise.all(prompts.map(prompt => openStream(host, prompt, tokens)))
    await setFault(log, { kind: 'outage', mode: 'unavailable' })
    host.signal('SIGTERM')
    await expectWhole(streams)
    expect(host.isRunning).toBe(true)
    await fetch(`${log.origin()}/faults`, { method: 'DELETE' })
    expect(await host.exited).toEqual({ code: 0, signal: null })
    const logged = await loggedRequestIds(deployment)
    for (const stream of streams) expect(logged).toContain(stream.headers.get('x-request-id'))
  })

  test('SIGTERM in an outage of the log that outlasts the time limit ends streams whole with exit status 9', async () => {
    const settings = { drain: { timeoutMilliseconds: 8000 } }
    const host = await deployment.startHost('stopped-in-long-outage', zone, settings)
    const streams = await Promise.all(prompts.map(prompt => openStream(host, prompt, tokens)))
    await setFault(deployment.platform('log'), { kind: 'outage', mode: 'unavailable' })
    host.signal('SIGTERM')
    await expectWhole(streams)
    expect(await host.exited).toEqual({ code: 9, signal: null })
  })

  test('a host killed with SIGKILL leaves the streams of others whole and the work of its own ended', async () => {
    const [killed, other] = await Promise.all([
      deployment.startHost('killed', zone), deployment.startHost('other', zone)
    ])
    const lost = await openStream(killed, 'a long answer', 1000)
    const streams = await Promise.all(prompts.map(prompt => openStream(other, prompt, tokens)))
    expect(await killed.kill()).toEqual({ code: null, signal: 'SIGKILL' })
    await expect(lost.text()).rejects.toThrow()
    await expectWhole([...streams])
    await expectWhole(await Promise.all(prompts.map(prompt => openStream(other, prompt, tokens))))
    const ended = await endedOnEngine(firstOf(deployment.engines), lost.headers.get('x-request-id') ?? '')
    expect(ended.state).toBe('cancelled')
  })
})

test('a caller that reads nothing holds up no other and gets its whole answer later', async () => {
  const tokens = 60_000
  const deployment = await Deployment.start({
    ...options,
    hostsPerZone: 1,
    hostSettings: { limits: { maxBufferedBytes: 4096 } },
    engineSettings: { timeScale: 0.001 }
  })
  try {
    const host = firstOf(deployment.hosts)
    const [address = '', port] = host.address('callers').split(':')
    const silent = connect(Number(port), address)
    const body = bodyOf('a long answer', tokens)
    const head = ['POST /v1/completions HTTP/1.0', 'host: entry', ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
      `content-length: ${Buffer.byteLength(body)}`, '', '']
    await new Promise<void>(resolve => silent.write(head.join('\r\n') + body, () => resolve()))
    for (const prompt of ['first', 'second', 'third']) {
      expect(textOfEvents(await (await openStream(host, prompt, 50)).text())).toBe(expectedText(model, prompt, 50))
    }
    const service = await fetch(`${host.origin('callers')}/services/app-foro/threads/4`, { headers })
    expect(service.status).toBe(200)
    expect(textOfEvents(await textOfBody(silent))).toBe(expectedText(model, 'a long answer', tokens))
  } finally {
    await deployment.stop()
  }
})

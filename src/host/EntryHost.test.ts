/**
 * Guards against hosts that keep an engine working after the caller disconnected, that interrupt streams or lose usage
 * records during a shutdown, that exit with a wrong status, or that let a slow caller or a killed host affect other
 * streams. The tests check signals, connections and exit statuses, so the hosts run as separate processes.
 */
import { connect } from 'node:net'
import { text as textOfBody } from 'node:stream/consumers'
import { afterAll, afterEach, beforeAll, describe, expect, test } from '@jest/globals'
import { expectedText } from '../standins/index.js'
import { Deployment, type DeploymentOptions, operatorTeam, type StartedProcess, tokenOf } from '../testing/index.js'

const model = 'pez'
const zone = 'guayaquil-a'
const finalStates = ['finished', 'cancelled', 'failed']

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

/** Opens a stream. Resolves when the response headers have arrived; the host sends them when it has the first token. */
async function openStream (host: StartedProcess, prompt: string, tokens: number, signal?: AbortSignal): Promise<Response> {
  const init = { method: 'POST', headers, body: bodyOf(prompt, tokens), ...(signal === undefined ? {} : { signal }) }
  const response = await fetch(`${host.origin('callers')}/v1/completions`, init)
  expect(response.status).toBe(200)
  return response
}

/** Returns the text of a complete stream; throws if the stream does not end with `[DONE]`. */
function textOfEvents (events: string): string {
  const data = events.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice('data: '.length))
  expect(data.at(-1)).toBe('[DONE]')
  return data.slice(0, -1)
    .map(chunk => (JSON.parse(chunk) as { choices: Array<{ text?: string }> }).choices[0]?.text ?? '')
    .join('')
}

/** Waits until the engine no longer works on a request and returns the engine's state of the request. */
async function waitForEndOnEngine (engine: StartedProcess, requestId: string): Promise<EngineView> {
  for (;;) {
    const view = await (await fetch(`${engine.origin()}/requests/${requestId}`)).json() as EngineView
    if (finalStates.includes(view.state)) return view
  }
}

function firstProcessOf (processes: Map<string, StartedProcess>): StartedProcess {
  const [first] = processes.values()
  if (first === undefined) throw new Error('the deployment has no such process')
  return first
}

async function setFault (started: StartedProcess, fault: object): Promise<void> {
  const response = await fetch(`${started.origin()}/faults`, { method: 'POST', body: JSON.stringify(fault) })
  expect(response.ok).toBe(true)
}

/** Returns the text of the usage records in the log, which contains the request ids. */
async function readLoggedUsage (deployment: Deployment): Promise<string> {
  return await (await fetch(`${deployment.platform('log').origin()}/streams/use/records?from=1&limit=1000`)).text()
}

describe('with an engine at normal speed', () => {
  const tokens = 300
  const prompts = ['why is the water cloudy', 'which fish eat algae', 'how warm must it be']
  let deployment: Deployment

  beforeAll(async () => { deployment = await Deployment.start(options) })
  afterEach(async () => {
    await fetch(`${deployment.platform('log').origin()}/faults`, { method: 'DELETE' })
    for (const host of deployment.hosts.values()) await host.kill()
  })
  afterAll(async () => { await deployment.stop() })

  test('when a caller disconnects in the middle of a stream, the engine cancels the request', async () => {
    const host = await deployment.startHost('leaving-caller', zone)
    const caller = new AbortController()
    const response = await openStream(host, 'a long answer', 1000, caller.signal)
    caller.abort()
    const engineView = await waitForEndOnEngine(firstProcessOf(deployment.engines), response.headers.get('x-request-id') ?? '')
    expect(engineView.state).toBe('cancelled')
    expect(engineView.position).toBeLessThan(1000)
  })

  /** Opens a stream per prompt, sends a signal, and waits until the host logs the start of its drain with these open requests. */
  async function startShutdownWithStreams (
    name: string,
    settings = {},
    signal: NodeJS.Signals = 'SIGTERM'
  ): Promise<{ host: StartedProcess, streams: Response[] }> {
    const host = await deployment.startHost(name, zone, settings)
    const streams = await Promise.all(prompts.map(prompt => openStream(host, prompt, tokens)))
    host.signal(signal)
    await host.waitForLogLine(new RegExp(`event=drain_started open=${prompts.length}$`))
    return { host, streams }
  }

  async function expectComplete (streams: Response[]): Promise<void> {
    const texts = await Promise.all(streams.map(async stream => textOfEvents(await stream.text())))
    expect(texts).toEqual(prompts.map(prompt => expectedText(model, prompt, tokens)))
  }

  test.each<[string, string, number, NodeJS.Signals]>([
    ['one SIGTERM', 'stopped-once', 0, 'SIGTERM'],
    ['a second SIGTERM during the shutdown', 'stopped-twice', 1, 'SIGTERM'],
    ['further SIGTERMs during the shutdown', 'stopped-often', 5, 'SIGTERM'],
    ['the loss of its terminal (SIGHUP)', 'stopped-by-hangup', 1, 'SIGHUP']
  ])('after %s, open streams complete, their usage is stored and the host exits with status 0', async (_name, hostName, furtherSignals, signal) => {
    const { host, streams } = await startShutdownWithStreams(hostName, {}, signal)
    for (let count = 0; count < furtherSignals; count += 1) host.signal(signal)
    await expectComplete(streams)
    expect(await host.exited).toEqual({ code: 0, signal: null })
    const logged = await readLoggedUsage(deployment)
    for (const stream of streams) expect(logged).toContain(stream.headers.get('x-request-id'))
  })

  test('after an operator orders a drain, open streams complete and the host exits with status 0', async () => {
    const host = await deployment.startHost('drained-by-operator', zone)
    const streams = await Promise.all(prompts.map(prompt => openStream(host, prompt, tokens)))
    const authorization = `Bearer ${tokenOf(operatorTeam)}`
    const ordered = await fetch(`${host.origin('administration')}/drain`, { method: 'POST', headers: { authorization } })
    expect(ordered.status).toBe(202)
    await expectComplete(streams)
    expect(await host.exited).toEqual({ code: 0, signal: null })
  })

  test('after SIGTERM during a log outage, open streams complete and the host exits once the log has stored their usage', async () => {
    const log = deployment.platform('log')
    const host = await deployment.startHost('stopped-in-outage', zone)
    const streams = await Promise.all(prompts.map(prompt => openStream(host, prompt, tokens)))
    await setFault(log, { kind: 'outage', mode: 'unavailable' })
    host.signal('SIGTERM')
    await expectComplete(streams)
    expect(host.isRunning).toBe(true)
    await fetch(`${log.origin()}/faults`, { method: 'DELETE' })
    expect(await host.exited).toEqual({ code: 0, signal: null })
    const logged = await readLoggedUsage(deployment)
    for (const stream of streams) expect(logged).toContain(stream.headers.get('x-request-id'))
  })

  test('after SIGTERM during a log outage that outlasts the drain limit, open streams complete and the host exits with status 9', async () => {
    const settings = { drain: { timeoutMilliseconds: 8000 } }
    const host = await deployment.startHost('stopped-in-long-outage', zone, settings)
    const streams = await Promise.all(prompts.map(prompt => openStream(host, prompt, tokens)))
    await setFault(deployment.platform('log'), { kind: 'outage', mode: 'unavailable' })
    host.signal('SIGTERM')
    await expectComplete(streams)
    expect(await host.exited).toEqual({ code: 9, signal: null })
  })

  // Guards against a drain that waits without a limit for a caller whose request is incomplete.
  test('after SIGTERM, a caller that stalls in its request body delays the exit only up to the drain limit', async () => {
    const host = await deployment.startHost('stalled-body', zone, { drain: { timeoutMilliseconds: 4000 } })
    const [address = '', port] = host.address('callers').split(':')
    const caller = connect(Number(port), address)
    caller.on('error', () => {})
    const fields = Object.entries({ ...headers, host: 'x', 'content-length': '10' }).map(([name, value]) => `${name}: ${value}\r\n`)
    caller.write(`POST /v1/completions HTTP/1.1\r\n${fields.join('')}\r\n{`)
    // Its response shows that the host has also read what was sent before.
    await (await openStream(host, 'a short answer', 1)).text()
    host.signal('SIGTERM')
    expect(await host.exited).toEqual({ code: 9, signal: null })
    caller.destroy()
  })

  test('when a host is killed, streams of another host complete and the engine cancels the killed host\'s requests', async () => {
    const [killed, other] = await Promise.all([
      deployment.startHost('killed', zone), deployment.startHost('other', zone)
    ])
    const interruptedStream = await openStream(killed, 'a long answer', 1000)
    const streams = await Promise.all(prompts.map(prompt => openStream(other, prompt, tokens)))
    expect(await killed.kill()).toEqual({ code: null, signal: 'SIGKILL' })
    await expect(interruptedStream.text()).rejects.toThrow()
    await expectComplete([...streams])
    await expectComplete(await Promise.all(prompts.map(prompt => openStream(other, prompt, tokens))))
    const engineView = await waitForEndOnEngine(firstProcessOf(deployment.engines), interruptedStream.headers.get('x-request-id') ?? '')
    expect(engineView.state).toBe('cancelled')
  })
})

test('a caller that does not read does not delay other callers, and receives its complete response once it reads', async () => {
  const tokens = 60_000
  const deployment = await Deployment.start({
    ...options,
    hostsPerZone: 1,
    hostSettings: { limits: { maxBufferedBytes: 4096 } },
    engineSettings: { timeScale: 0.001 }
  })
  try {
    const host = firstProcessOf(deployment.hosts)
    const [address = '', port] = host.address('callers').split(':')
    const slowCaller = connect(Number(port), address)
    const body = bodyOf('a long answer', tokens)
    const head = ['POST /v1/completions HTTP/1.0', 'host: entry', ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
      `content-length: ${Buffer.byteLength(body)}`, '', '']
    await new Promise<void>(resolve => slowCaller.write(head.join('\r\n') + body, () => resolve()))
    for (const prompt of ['first', 'second', 'third']) {
      expect(textOfEvents(await (await openStream(host, prompt, 50)).text())).toBe(expectedText(model, prompt, 50))
    }
    const service = await fetch(`${host.origin('callers')}/services/app-foro/threads/4`, { headers })
    expect(service.status).toBe(200)
    expect(textOfEvents(await textOfBody(slowCaller))).toBe(expectedText(model, 'a long answer', tokens))
  } finally {
    await deployment.stop()
  }
})

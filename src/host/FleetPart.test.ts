/**
 * Guards against changes of model version or engine role that interrupt a stream, and against engines that are not
 * reconciled with the configuration. Runs a host and engines as separate processes.
 */
import { afterAll, beforeAll, expect, test } from '@jest/globals'
import { setTimeout as sleep } from 'node:timers/promises'
import { expectedText } from '../standins/index.js'
import { Deployment, operatorTeam, tokenOf } from '../testing/index.js'

const model = 'pez'
let deployment: Deployment

beforeAll(async () => {
  deployment = await Deployment.start({
    region: 'costa',
    zones: ['duran-c'],
    hostsPerZone: 1,
    enginesPerZone: 2,
    servicesPerZone: 1,
    model,
    enginePool: 'modelos-foro',
    servicePool: 'app-foro',
    teams: { foro: 'acuarios' },
    engineSettings: { models: [], checksFencing: true, timeScale: 0.2 }
  })
})

afterAll(async () => { await deployment.stop() })

interface EngineView {
  role: string
  models: Array<{ model: string, version: string }>
  interruptedRequests: number
}

async function engineStates (): Promise<EngineView[]> {
  return await Promise.all([...deployment.engines.values()].map(async engine =>
    await (await fetch(`${engine.origin()}/state`)).json() as EngineView))
}

/** Waits until every engine meets the condition. There is no time limit of its own; the test's timeout ends the wait. */
async function waitForEngines (condition: (engine: EngineView) => boolean): Promise<void> {
  while (!(await engineStates()).every(condition)) await sleep(100)
}

function hasVersion (version: string): (engine: EngineView) => boolean {
  return engine => engine.models.some(loaded => loaded.model === model && loaded.version === version)
}

async function putSetting (path: string, value: unknown): Promise<void> {
  const [host] = [...deployment.hosts.values()]
  const url = `${host?.origin('administration')}/settings${path}`
  const authorization = `Bearer ${tokenOf(operatorTeam)}`
  const current = await fetch(url, { headers: { authorization } })
  const match: Record<string, string> = current.status === 200 ? { 'if-match': current.headers.get('etag') ?? '' } : { 'if-none-match': '*' }
  const response = await fetch(url, {
    method: 'PUT', headers: { authorization, 'content-type': 'application/json', ...match }, body: JSON.stringify(value)
  })
  expect([response.status, await response.text()]).toEqual([200, expect.any(String)])
}

interface StreamResult { text: string, isComplete: boolean, status: number }

async function requestStream (prompt: string, tokens: number): Promise<StreamResult> {
  const [origin] = deployment.callerOrigins()
  const response = await fetch(`${origin}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${tokenOf('foro')}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model, prompt, max_tokens: tokens, stream: true })
  })
  const events = (await response.text()).split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice(6))
  const chunks = events.filter(event => event !== '[DONE]').map(event => JSON.parse(event) as { choices?: Array<{ text?: string }> })
  return { text: chunks.map(chunk => chunk.choices?.[0]?.text ?? '').join(''), isComplete: events.at(-1) === '[DONE]', status: response.status }
}

/**
 * Waits until a stream completes. Requests fail with `not_run` until the next load report shows that an engine
 * has loaded the model.
 */
async function waitUntilModelServed (): Promise<void> {
  while (!(await requestStream('first', 1)).isComplete) await sleep(100)
}

/** Runs `concurrency` loops that request one stream after the other. `stop` ends the loops and returns the faulty responses. */
function runLoad (concurrency: number): { stop: () => Promise<{ sent: number, faultyResponses: string[] }> } {
  const stopping = new AbortController()
  let sent = 0
  const faultyResponses: string[] = []
  const running = Array.from({ length: concurrency }, async (_, lane) => {
    while (!stopping.signal.aborted) {
      sent += 1
      const prompt = `lane ${lane} request ${sent}`
      const result = await requestStream(prompt, 60)
      if (!result.isComplete || result.text.trim() !== expectedText(model, prompt, 60).trim()) faultyResponses.push(`${prompt}: status ${result.status}, complete ${result.isComplete}`)
    }
  })
  return {
    stop: async () => {
      stopping.abort()
      await Promise.all(running)
      return { sent, faultyResponses }
    }
  }
}

test('engines load the configured model, and a new default version replaces it without interrupting a stream', async () => {
  await waitForEngines(hasVersion('1'))
  await waitUntilModelServed()
  const load = runLoad(6)
  await putSetting(`/fleet/models/${model}`, { versions: ['1', '2'], defaultVersion: '2', contextTokens: 100_000 })
  await waitForEngines(hasVersion('2'))
  const { sent, faultyResponses } = await load.stop()
  expect(sent).toBeGreaterThan(6)
  expect(faultyResponses).toEqual([])
  expect((await engineStates()).map(engine => engine.interruptedRequests)).toEqual([0, 0])
})

test('an engine changes to its configured role and back without interrupting a stream', async () => {
  await waitForEngines(engine => engine.models.length > 0)
  const load = runLoad(6)
  const [engine = ''] = [...deployment.engines.keys()]
  await putSetting(`/fleet/roles/${engine}`, { role: 'prefill' })
  while (!(await engineStates()).some(({ role }) => role === 'prefill')) await sleep(100)
  await putSetting(`/fleet/roles/${engine}`, { role: 'mixed' })
  await waitForEngines(({ role }) => role === 'mixed')
  const { faultyResponses } = await load.stop()
  expect(faultyResponses).toEqual([])
  expect((await engineStates()).map(({ interruptedRequests }) => interruptedRequests)).toEqual([0, 0])
})

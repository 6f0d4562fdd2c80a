/**
 * Guards against a change of version or role that cuts a stream, and against engines that do not follow the
 * configuration. Runs a host and engines as separate processes.
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

/** Waits for a state of the engines; the test's own limit ends a wait that takes forever. */
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

interface Streamed { text: string, isComplete: boolean, status: number }

async function stream (prompt: string, tokens: number): Promise<Streamed> {
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

/** A host learns of a loaded model with the next load report; until then it refuses requests as not run. */
async function waitUntilServed (): Promise<void> {
  while (!(await stream('first', 1)).isComplete) await sleep(100)
}

/** Sends streams one after the other in several lanes until told to stop; returns what went wrong. */
function runLoad (lanes: number): { stop: () => Promise<{ sent: number, wrong: string[] }> } {
  const stopping = new AbortController()
  let sent = 0
  const wrong: string[] = []
  const running = Array.from({ length: lanes }, async (_, lane) => {
    while (!stopping.signal.aborted) {
      sent += 1
      const prompt = `lane ${lane} request ${sent}`
      const answer = await stream(prompt, 60)
      if (!answer.isComplete || answer.text.trim() !== expectedText(model, prompt, 60).trim()) wrong.push(`${prompt}: status ${answer.status}, complete ${answer.isComplete}`)
    }
  })
  return {
    stop: async () => {
      stopping.abort()
      await Promise.all(running)
      return { sent, wrong }
    }
  }
}

test('engines load the configured model, and a new version replaces it without cutting a stream', async () => {
  await waitForEngines(hasVersion('1'))
  await waitUntilServed()
  const load = runLoad(6)
  await putSetting(`/fleet/models/${model}`, { versions: ['1', '2'], defaultVersion: '2', contextTokens: 100_000 })
  await waitForEngines(hasVersion('2'))
  const { sent, wrong } = await load.stop()
  expect(sent).toBeGreaterThan(6)
  expect(wrong).toEqual([])
  expect((await engineStates()).map(engine => engine.interruptedRequests)).toEqual([0, 0])
})

test('a configured role is taken up without cutting a stream', async () => {
  await waitForEngines(engine => engine.models.length > 0)
  const load = runLoad(6)
  const [engine = ''] = [...deployment.engines.keys()]
  await putSetting(`/fleet/roles/${engine}`, { role: 'prefill' })
  while (!(await engineStates()).some(({ role }) => role === 'prefill')) await sleep(100)
  await putSetting(`/fleet/roles/${engine}`, { role: 'mixed' })
  await waitForEngines(({ role }) => role === 'mixed')
  const { wrong } = await load.stop()
  expect(wrong).toEqual([])
  expect((await engineStates()).map(({ interruptedRequests }) => interruptedRequests)).toEqual([0, 0])
})

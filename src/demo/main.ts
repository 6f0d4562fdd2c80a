/**
 * The demo: starts stand-ins for the platform and the upstreams and three entry hosts, one in each of three
 * availability zones, as separate processes. It sends requests to the model and to the service through the hosts,
 * prints the results, and fails if one of them is not as expected.
 */
import { Deployment, tokenOf } from '../testing/index.js'

const team = 'foro'

interface Completion {
  choices: Array<{ text: string }>
  usage: { prompt_tokens: number, completion_tokens: number, prompt_tokens_details?: { cached_tokens: number } }
}

function printLine (text: string): void {
  process.stdout.write(`${text}\n`)
}

function createHeaders (additional: Record<string, string> = {}): Record<string, string> {
  return { authorization: `Bearer ${tokenOf(team)}`, 'content-type': 'application/json', ...additional }
}

/** Fails the demo if the condition does not hold. */
function assertThat (condition: boolean, message: string): void {
  if (!condition) throw new Error(`the demo failed: ${message}`)
}

async function showCompletions (origin: string): Promise<void> {
  const prompt = Array.from({ length: 3000 }, (_, index) => `breeding-thread-word-${index}`).join(' ')
  for (const round of ['first', 'second']) {
    const response = await fetch(`${origin}/v1/completions`, {
      method: 'POST',
      headers: createHeaders(),
      body: JSON.stringify({ model: 'pez', prompt, max_tokens: 12 })
    })
    assertThat(response.status === 200, `a completion was answered with status ${response.status}`)
    const { usage } = await response.json() as Completion
    const cached = usage.prompt_tokens_details?.cached_tokens ?? 0
    printLine(`  ${round} summary: ${usage.prompt_tokens} prompt tokens (${cached} cached), ${usage.completion_tokens} generated`)
  }
}

async function showStreamedCompletion (origin: string): Promise<void> {
  const response = await fetch(`${origin}/v1/chat/completions`, {
    method: 'POST',
    headers: createHeaders(),
    body: JSON.stringify({ model: 'pez', messages: [{ role: 'user', content: 'why is the water cloudy' }], max_tokens: 16, stream: true })
  })
  assertThat(response.status === 200, `a stream was answered with status ${response.status}`)
  const events = (await response.text()).split('\n').filter(line => line.startsWith('data: '))
  assertThat(events.at(-1) === 'data: [DONE]', 'the stream did not end with [DONE]')
  printLine(`  streamed answer: ${events.length} server-sent events, the last one is [DONE]`)
}

async function showIdempotencyKey (deployment: Deployment): Promise<void> {
  const [firstOrigin = '', secondOrigin = ''] = deployment.callerOrigins()
  const keyResponse = await fetch(`${firstOrigin}/keys`, { method: 'POST', headers: createHeaders() })
  const { key } = await keyResponse.json() as { key: string }
  const sendVote = async (origin: string): Promise<number> => {
    const response = await fetch(`${origin}/services/app-foro/votes/17`, {
      method: 'POST', headers: createHeaders({ 'idempotency-key': key }), body: '{"up":true}'
    })
    return response.status
  }
  const statuses = [await sendVote(firstOrigin), await sendVote(secondOrigin), await sendVote(secondOrigin)]
  assertThat(statuses.every(status => status === 200), `the votes were answered with ${statuses.join(', ')}`)
  const runs = await Promise.all([...deployment.services.values()].map(async service =>
    (await (await fetch(`${service.origin()}/runs`)).json() as { runs: Array<{ method: string }> }).runs))
  const voteCount = runs.flat().filter(run => run.method === 'POST').length
  assertThat(voteCount === 1, `the vote ran ${voteCount} times`)
  printLine('  vote sent three times with one key to two hosts: it ran once')
}

async function showServiceRead (origin: string): Promise<void> {
  const response = await fetch(`${origin}/services/app-foro/threads/4`, { headers: createHeaders() })
  assertThat(response.status === 200, `a read was answered with status ${response.status}`)
  printLine('  thread read through a plain service: status 200')
}

async function run (): Promise<void> {
  const startedAt = Date.now()
  printLine('starting the platform stand-ins, 6 engines, 3 services and 3 entry hosts')
  const deployment = await Deployment.start({
    region: 'costa',
    zones: ['guayaquil-a', 'guayaquil-b', 'duran-c'],
    hostsPerZone: 1,
    enginesPerZone: 2,
    servicesPerZone: 1,
    model: 'pez',
    enginePool: 'modelos-foro',
    servicePool: 'app-foro',
    teams: { foro: 'acuarios', moderacion: 'acuarios' }
  })
  try {
    for (const [name, host] of deployment.hosts) printLine(`  ${name} serves callers on ${host.address('callers')}`)
    const [origin = ''] = deployment.callerOrigins()
    printLine('sending requests')
    await showCompletions(origin)
    for (const hostOrigin of deployment.callerOrigins()) await showStreamedCompletion(hostOrigin)
    await showServiceRead(origin)
    await showIdempotencyKey(deployment)
    printLine('stopping the hosts')
    const exits = await Promise.all([...deployment.hosts.values()].map(host => host.terminate()))
    assertThat(exits.every(exit => exit.code === 0), 'a host did not end with status 0')
    printLine('  every host shut down gracefully with status 0')
  } finally {
    await deployment.stop()
  }
  printLine(`done in ${((Date.now() - startedAt) / 1000).toFixed(1)} s`)
}

run().catch(error => {
  process.stderr.write(`${String(error instanceof Error ? error.stack : error)}\n`)
  process.exitCode = 1
})

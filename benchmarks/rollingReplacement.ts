/**
 * Replaces every entry host in turn under load and counts what failed: streams with incomplete text, failed calls,
 * votes that ran more or less than once, and use that was not counted. The load generator acts as the load balancer:
 * it polls the readiness of the hosts every 200 ms and sends only to hosts that were ready.
 * Run: npm run benchmark rollingReplacement; with `-- --kill`, hosts are ended by SIGKILL instead of SIGTERM.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { expectedText } from '../src/standins/index.js'
import { Deployment, operatorTeam, type StartedProcess, tokenOf } from '../src/testing/index.js'

const hostsPerZone = 4

/** Number of times that every host is replaced; two rounds yield more than 10,000 requests. */
const rounds = 2

/** Number of closed-loop clients: each sends its next request when its previous one has ended. */
const clientCount = 24
const killsHosts = process.argv.includes('--kill')
const outputTokens = 40
const readinessPollMilliseconds = 200
const model = 'pez'
const team = 'foro'

interface RequestCounts { streams: number, failedStreams: number, votes: number, failedVotes: number, problems: string[] }

const headers = { authorization: `Bearer ${tokenOf(team)}`, 'content-type': 'application/json' }

/** Distributes requests round-robin over the hosts that were ready at the last poll. */
class LoadBalancer {
  private readyOrigins: string[] = []
  private pickCount = 0
  private isStopping = false

  constructor (private readonly hosts: () => StartedProcess[]) {}

  async run (): Promise<void> {
    while (!this.isStopping) {
      const origins = this.hosts().filter(host => host.isRunning).map(host => host.origin('callers'))
      const readiness = await Promise.all(origins.map(async origin => {
        const response = await fetch(`${origin}/health/ready`).catch(() => undefined)
        await response?.arrayBuffer()
        return response?.status === 200
      }))
      this.readyOrigins = origins.filter((_, index) => readiness[index])
      await sleep(readinessPollMilliseconds)
    }
  }

  stop (): void {
    this.isStopping = true
  }

  async pick (): Promise<string> {
    while (this.readyOrigins.length === 0) await sleep(10)
    this.pickCount += 1
    return this.readyOrigins[this.pickCount % this.readyOrigins.length] as string
  }
}

async function sendStream (origin: string, prompt: string): Promise<string | undefined> {
  const response = await fetch(`${origin}/v1/completions`, {
    method: 'POST', headers, body: JSON.stringify({ model, prompt, max_tokens: outputTokens, stream: true })
  })
  const body = await response.text()
  if (response.status !== 200) return `stream: status ${response.status} ${body.slice(0, 150)}`
  const events = body.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice(6))
  if (events.at(-1) !== '[DONE]') return `stream: no [DONE] event, ${body.slice(-150)}`
  const text = events.slice(0, -1).map(event => (JSON.parse(event) as { choices: Array<{ text?: string }> }).choices[0]?.text ?? '').join('')
  return text.trim() === expectedText(model, prompt, outputTokens).trim() ? undefined : 'stream: wrong text'
}

async function sendVote (origin: string, number: number): Promise<string | undefined> {
  const response = await fetch(`${origin}/services/app-foro/votes/${number}`, { method: 'POST', headers, body: '{}' })
  const body = await response.text()
  return response.status === 200 ? undefined : `vote: status ${response.status} ${body.slice(0, 150)}`
}

async function runClient (
  loadBalancer: LoadBalancer,
  client: number,
  isStopping: () => boolean,
  requestCounts: RequestCounts
): Promise<void> {
  for (let round = 0; !isStopping(); round += 1) {
    const number = round * clientCount + client
    const isVote = round % 4 === 3
    const origin = await loadBalancer.pick()
    const sent = isVote ? sendVote(origin, number) : sendStream(origin, `lane ${client} round ${round}`)
    const problem = await sent.catch(error => `${isVote ? 'vote' : 'stream'}: ${String(error)} ${String((error as Error).cause ?? '')}`)
    if (isVote) requestCounts.votes += 1
    else requestCounts.streams += 1
    if (problem === undefined) continue
    if (isVote) requestCounts.failedVotes += 1
    else requestCounts.failedStreams += 1
    requestCounts.problems.push(problem)
  }
}

async function readCountedUse (deployment: Deployment): Promise<{ requests: number, generatedTokens: number }> {
  const [host] = [...deployment.hosts.values()]
  const response = await fetch(`${host?.origin('administration')}/use`, { headers: { authorization: `Bearer ${tokenOf(operatorTeam)}` } })
  const { lines } = await response.json() as { lines: Array<{ subject: string, requests: number, generatedTokens: number }> }
  const sum = (member: 'requests' | 'generatedTokens'): number => lines.reduce((total, line) => total + line[member], 0)
  return { requests: sum('requests'), generatedTokens: sum('generatedTokens') }
}

async function main (): Promise<void> {
  const deployment = await Deployment.start({
    region: 'costa',
    zones: ['guayaquil-a', 'guayaquil-b', 'duran-c'],
    hostsPerZone,
    enginesPerZone: 2,
    servicesPerZone: 1,
    model,
    enginePool: 'modelos-foro',
    servicePool: 'app-foro',
    teams: { foro: 'acuarios' },
    engineSettings: { timeScale: 0.3 },
    hostSettings: { drain: { readinessDelayMilliseconds: 1000 }, log: { level: 'warn' } }
  })
  try {
    const loadBalancer = new LoadBalancer(() => [...deployment.hosts.values()])
    const balancerStopped = loadBalancer.run()
    const requestCounts: RequestCounts = { streams: 0, failedStreams: 0, votes: 0, failedVotes: 0, problems: [] }
    let isStopping = false
    const clientsStopped = Array.from({ length: clientCount }, (_, client) =>
      runClient(loadBalancer, client, () => isStopping, requestCounts))
    const exitStatuses: Array<number | null> = []
    const startedAt = performance.now()
    const hostsToReplace = Array.from({ length: rounds }, () => deployment.hostNames()).flat()
    for (const { name, zone } of hostsToReplace) {
      const host = deployment.host(name)
      exitStatuses.push((await (killsHosts ? host.kill() : host.terminate())).code)
      await deployment.startHost(name, zone)
    }
    const seconds = (performance.now() - startedAt) / 1000
    isStopping = true
    await Promise.all(clientsStopped)
    loadBalancer.stop()
    await balancerStopped
    await sleep(3000)
    const runs = await Promise.all([...deployment.services.values()].map(async service =>
      (await (await fetch(`${service.origin()}/runs`)).json() as { runs: Array<{ path: string, method: string }> }).runs))
    const votePaths = runs.flat().filter(run => run.method === 'POST').map(run => run.path)
    const use = await readCountedUse(deployment)
    process.stdout.write([
      `hosts replaced          ${exitStatuses.length} in ${seconds.toFixed(0)} s, exit statuses ${[...new Set(exitStatuses)].join(', ')}`,
      `streams                 ${requestCounts.streams}, cut ${requestCounts.failedStreams}`,
      `votes                   ${requestCounts.votes}, failed ${requestCounts.failedVotes}, run ${votePaths.length}, run twice ${votePaths.length - new Set(votePaths).size}`,
      `use                     ${use.requests} requests counted of ${requestCounts.streams + requestCounts.votes}, ${use.generatedTokens} tokens of ${requestCounts.streams * outputTokens}`,
      ...[...new Set(requestCounts.problems)].slice(0, 12),
      ''
    ].join('\n'))
  } finally {
    await deployment.stop()
  }
}

main().catch(error => {
  process.stderr.write(`${String(error instanceof Error ? error.stack : error)}\n`)
  process.exitCode = 1
})

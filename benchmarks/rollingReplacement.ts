/**
 * Replaces every entry host one after the other under load and counts what was cut: streams whose text is not
 * whole, calls that failed, votes that ran more or less than once, and use that was not counted.
 * The load generator plays the balancer: it sends to hosts whose readiness it saw within the last 200 ms.
 * Run: npm run benchmark rollingReplacement; with `-- --kill` each host is ended by SIGKILL instead of SIGTERM.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { expectedText } from '../src/standins/index.js'
import { Deployment, operatorTeam, type StartedProcess, tokenOf } from '../src/testing/index.js'

const hostsPerZone = 4

/** Times that all hosts are replaced; two rounds give more than 10,000 requests. */
const rounds = 2
const lanes = 24
const isKill = process.argv.includes('--kill')
const tokens = 40
const readinessPollMilliseconds = 200
const model = 'pez'
const team = 'foro'

interface Counts { streams: number, cutStreams: number, votes: number, failedVotes: number, problems: string[] }

const headers = { authorization: `Bearer ${tokenOf(team)}`, 'content-type': 'application/json' }

/** The hosts that the balancer sends to. */
class Balancer {
  private ready: string[] = []
  private next = 0
  private isStopping = false

  constructor (private readonly hosts: () => StartedProcess[]) {}

  async run (): Promise<void> {
    while (!this.isStopping) {
      const origins = this.hosts().filter(host => host.isRunning).map(host => host.origin('callers'))
      const answers = await Promise.all(origins.map(async origin => {
        const response = await fetch(`${origin}/health/ready`).catch(() => undefined)
        await response?.arrayBuffer()
        return response?.status === 200
      }))
      this.ready = origins.filter((_, index) => answers[index])
      await sleep(readinessPollMilliseconds)
    }
  }

  stop (): void {
    this.isStopping = true
  }

  async pick (): Promise<string> {
    while (this.ready.length === 0) await sleep(10)
    this.next += 1
    return this.ready[this.next % this.ready.length] as string
  }
}

async function stream (origin: string, prompt: string): Promise<string | undefined> {
  const response = await fetch(`${origin}/v1/completions`, {
    method: 'POST', headers, body: JSON.stringify({ model, prompt, max_tokens: tokens, stream: true })
  })
  const body = await response.text()
  if (response.status !== 200) return `stream: status ${response.status} ${body.slice(0, 150)}`
  const events = body.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice(6))
  if (events.at(-1) !== '[DONE]') return `stream: no end mark, ${body.slice(-150)}`
  const text = events.slice(0, -1).map(event => (JSON.parse(event) as { choices: Array<{ text?: string }> }).choices[0]?.text ?? '').join('')
  return text.trim() === expectedText(model, prompt, tokens).trim() ? undefined : 'stream: wrong text'
}

async function vote (origin: string, number: number): Promise<string | undefined> {
  const response = await fetch(`${origin}/services/app-foro/votes/${number}`, { method: 'POST', headers, body: '{}' })
  const body = await response.text()
  return response.status === 200 ? undefined : `vote: status ${response.status} ${body.slice(0, 150)}`
}

async function runLane (balancer: Balancer, lane: number, isStopping: () => boolean, counts: Counts): Promise<void> {
  for (let round = 0; !isStopping(); round += 1) {
    const number = round * lanes + lane
    const isVote = round % 4 === 3
    const origin = await balancer.pick()
    const sent = isVote ? vote(origin, number) : stream(origin, `lane ${lane} round ${round}`)
    const problem = await sent.catch(error => `${isVote ? 'vote' : 'stream'}: ${String(error)} ${String((error as Error).cause ?? '')}`)
    if (isVote) counts.votes += 1
    else counts.streams += 1
    if (problem === undefined) continue
    if (isVote) counts.failedVotes += 1
    else counts.cutStreams += 1
    counts.problems.push(problem)
  }
}

async function countedUse (deployment: Deployment): Promise<{ requests: number, generatedTokens: number }> {
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
    const balancer = new Balancer(() => [...deployment.hosts.values()])
    const balancing = balancer.run()
    const counts: Counts = { streams: 0, cutStreams: 0, votes: 0, failedVotes: 0, problems: [] }
    let isStopping = false
    const running = Array.from({ length: lanes }, (_, lane) => runLane(balancer, lane, () => isStopping, counts))
    const exits: Array<number | null> = []
    const startedAt = performance.now()
    const replaced = Array.from({ length: rounds }, () => deployment.hostNames()).flat()
    for (const { name, zone } of replaced) {
      const host = deployment.host(name)
      exits.push((await (isKill ? host.kill() : host.terminate())).code)
      await deployment.startHost(name, zone)
    }
    const seconds = (performance.now() - startedAt) / 1000
    isStopping = true
    await Promise.all(running)
    balancer.stop()
    await balancing
    await sleep(3000)
    const runs = await Promise.all([...deployment.services.values()].map(async service =>
      (await (await fetch(`${service.origin()}/runs`)).json() as { runs: Array<{ path: string, method: string }> }).runs))
    const votePaths = runs.flat().filter(run => run.method === 'POST').map(run => run.path)
    const use = await countedUse(deployment)
    process.stdout.write([
      `hosts replaced          ${exits.length} in ${seconds.toFixed(0)} s, exit statuses ${[...new Set(exits)].join(', ')}`,
      `streams                 ${counts.streams}, cut ${counts.cutStreams}`,
      `votes                   ${counts.votes}, failed ${counts.failedVotes}, run ${votePaths.length}, run twice ${votePaths.length - new Set(votePaths).size}`,
      `use                     ${use.requests} requests counted of ${counts.streams + counts.votes}, ${use.generatedTokens} tokens of ${counts.streams * tokens}`,
      ...[...new Set(counts.problems)].slice(0, 12),
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

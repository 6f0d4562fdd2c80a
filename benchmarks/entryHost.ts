/**
 * Measures one entry host as a process of its own: the latency that it adds, its memory with open streams, and
 * its time to start. Prints a Markdown section for docs/BENCHMARKS.md. Options:
 * `--only requests,memory,start`: the parts to run; `--connections 1,16,64`: sizes of the closed loop;
 * `--profile DIRECTORY`: writes a processor profile of the host there; `--program FILE`: the bundle to measure,
 * to compare an earlier one in the same minutes.
 */
import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { Deployment, type DeploymentOptions, settingsTextOf } from '../src/testing/index.js'
import { percentileOf } from './ClosedLoop.js'
import { callKindsOf, compare, type Comparison } from './RequestBenchmark.js'
import { measureStart, type Program } from './StartTime.js'
import { measureStreams, type StreamMemory } from './StreamMemory.js'

const team = 'foro'
const starts = 5
const hostStopMilliseconds = 10_000

const { values: options } = parseArgs({
  options: {
    only: { type: 'string', default: 'requests,memory,start' },
    connections: { type: 'string', default: '1,16,64' },
    profile: { type: 'string' },
    program: { type: 'string', default: 'dist/dogwooddale.cjs' }
  }
})
const parts = options.only.split(',')
const connectionCounts = options.connections.split(',').map(Number)

const baseOptions: DeploymentOptions = {
  region: 'costa',
  zones: ['guayaquil-a'],
  hostsPerZone: 1,
  enginesPerZone: 1,
  servicesPerZone: 1,
  model: 'pez',
  enginePool: 'modelos-foro',
  servicePool: 'app-foro',
  teams: { [team]: 'acuarios' },
  serviceSettings: { processingMilliseconds: 0 },
  processes: { program: options.program },
  hostNodeArguments: options.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${options.profile}`]
}

function say (line = ''): void {
  process.stdout.write(`${line}\n`)
}

async function withDeployment (
  engineSettings: Record<string, unknown>,
  use: (deployment: Deployment) => Promise<void>
): Promise<void> {
  const deployment = await Deployment.start({ ...baseOptions, engineSettings })
  try {
    await use(deployment)
  } finally {
    // Before the log ends: a host stores its use when it shuts down, and a killed one writes no profile.
    await Promise.all([...deployment.hosts.values()].map(host => host.terminateOrKill(hostStopMilliseconds)))
    await deployment.stop()
  }
}

const milliseconds = (value: number): string => value.toFixed(2)
const megabytes = (bytes: number): string => (bytes / 1_000_000).toFixed(1)

function percentilesOf (figures: Comparison['direct']): string {
  return [50, 95, 99].map(percentile => milliseconds(percentileOf(figures.whole, percentile))).join(' / ')
}

function rowOf (comparison: Comparison): string {
  const { kind, connections, direct, forwarded, addedPerRound, hostMillisecondsPerCall } = comparison
  const perSecond = (figures: Comparison['direct']) => Math.round(figures.calls / figures.milliseconds * 1000)
  const added = (of: 'firstByte' | 'whole') => milliseconds(percentileOf(forwarded[of], 50) - percentileOf(direct[of], 50))
  const cells = [
    kind, connections, perSecond(direct), perSecond(forwarded), percentilesOf(direct), percentilesOf(forwarded),
    `${added('firstByte')} (${milliseconds(addedPerRound[0]!)} to ${milliseconds(addedPerRound.at(-1)!)})`,
    added('whole'), hostMillisecondsPerCall.toFixed(3)
  ]
  return `| ${cells.join(' | ')} |`
}

async function measureRequests (): Promise<void> {
  say('| call | connections | calls/s direct | calls/s through the host | p50 / p95 / p99 direct, ms | p50 / p95 / p99 through the host, ms | added to the first byte at p50, ms (range of 5 rounds) | added to the whole at p50, ms | host processor time per call, ms |')
  say('| --- | --- | --- | --- | --- | --- | --- | --- | --- |')
  await withDeployment({ timeScale: 0.001 }, async deployment => {
    const [host] = deployment.hosts.values()
    for (const kind of callKindsOf(deployment, team)) {
      for (const connections of connectionCounts) say(rowOf(await compare(kind, connections, host!.pid)))
    }
  })
  say()
}

function memoryRowOf (name: string, memory: StreamMemory): string {
  const most = Math.max(...memory.openBytes)
  const cells = [
    name, memory.streams, megabytes(memory.idleBytes), megabytes(most), megabytes(memory.openBytes.at(-1)!),
    megabytes(memory.afterBytes), Math.round((most - memory.idleBytes) / memory.streams / 1000),
    Math.round(memory.readBytes / memory.streams / 1000), Math.round(memory.lastReadRate / 1000)
  ]
  return `| ${cells.join(' | ')} |`
}

async function measureMemory (): Promise<void> {
  say('| callers | streams | idle, MB | most while open, MB | last sample, MB | after, MB | most per stream, KB | read from the engine per stream, KB | read in the last 0.75 s, KB/s |')
  say('| --- | --- | --- | --- | --- | --- | --- | --- | --- |')
  const engineSettings = { maxSequences: 1000, kvCapacityTokens: 1_000_000_000 }
  await withDeployment({ ...engineSettings, cost: { stepMilliseconds: 300, sequenceMilliseconds: 0 } }, async deployment => {
    say(memoryRowOf('read', await measureStreams(deployment, { team, streams: 1000, maxTokens: 1000, silent: false, maxSamples: 8 })))
  })
  for (const [streams, maxTokens] of [[200, 20_000], [20, 40_000]] as const) {
    await withDeployment({ ...engineSettings, timeScale: 0.001 }, async deployment => {
      say(memoryRowOf('read nothing', await measureStreams(deployment, { team, streams, maxTokens, silent: true, maxSamples: 28 })))
    })
  }
  say()
}

function startRowOf (program: string, command: string, times: number[]): string {
  times.sort((left, right) => left - right)
  const [least, median, most] = [times[0]!, times[Math.floor(times.length / 2)]!, times.at(-1)!]
  return `| ${program} | ${command} | ${Math.round(median)} | ${Math.round(least)} to ${Math.round(most)} |`
}

async function measureStarts (): Promise<void> {
  const programs: Program[] = [{ name: 'bundle', file: process.execPath, arguments: [options.program] }]
  if (existsSync('dist/dogwooddale')) programs.push({ name: 'binary', file: 'dist/dogwooddale', arguments: [] })
  else say('The binary was not measured: `npm run build` makes it.')
  say('| program | command | median, ms | range of 5 starts, ms |')
  say('| --- | --- | --- | --- |')
  const directory = mkdtempSync(join(tmpdir(), 'dogwooddale-'))
  await withDeployment({}, async deployment => {
    const settings = join(directory, 'host.toml')
    writeFileSync(settings, settingsTextOf({
      host: { id: 'measured', zone: 'guayaquil-a', region: 'costa' },
      listen: { callers: ['127.0.0.1:0'], administration: '127.0.0.1:0', peers: '127.0.0.1:0' },
      platform: {
        log: deployment.platform('log').origin(),
        hostList: deployment.platform('host-list').origin(),
        weightStore: deployment.platform('weight-store').origin()
      }
    }))
    const commands: Array<[string, string[], RegExp]> = [
      ['--version', ['--version'], /^\d+\.\d+\.\d+\n/],
      ['host, to the readiness line', ['host', '--settings', settings], /"ready":true/]
    ]
    for (const [name, commandLine, pattern] of commands) {
      const times = programs.map((): number[] => [])
      for (let start = 0; start < starts; start += 1) {
        for (const [index, program] of programs.entries()) times[index]!.push(await measureStart(program, commandLine, pattern))
      }
      for (const [index, program] of programs.entries()) say(startRowOf(program.name, name, times[index]!))
    }
  })
  rmSync(directory, { recursive: true })
  say()
}

async function run (): Promise<void> {
  const startedAt = performance.now()
  if (parts.includes('requests')) await measureRequests()
  if (parts.includes('memory')) await measureMemory()
  if (parts.includes('start')) await measureStarts()
  say(`Whole run: ${Math.round((performance.now() - startedAt) / 1000)} s.`)
}

run().catch(error => {
  process.stderr.write(`${String(error instanceof Error ? error.stack : error)}\n`)
  process.exitCode = 1
})

/**
 * Measures an entry host in a process of its own: the latency that it adds, its memory with open streams, and its
 * start time. Prints a Markdown section for docs/BENCHMARKS.md. Options:
 * `--only requests,memory,start`: the parts to run; `--connections 1,16,64`: numbers of connections of the closed
 * loop; `--profile DIRECTORY`: where to write a CPU profile of the host; `--program FILE`: the bundle to measure, so
 * that an earlier one can be compared under the same load of the machine.
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
const startsPerProgram = 5
const hostStopMilliseconds = 10_000

const { values: options } = parseArgs({
  options: {
    only: { type: 'string', default: 'requests,memory,start' },
    connections: { type: 'string', default: '1,16,64' },
    profile: { type: 'string' },
    program: { type: 'string', default: 'dist/dogwooddale.cjs' }
  }
})
const selectedParts = options.only.split(',')
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

function printLine (line = ''): void {
  process.stdout.write(`${line}\n`)
}

async function withDeployment (
  engineSettings: Record<string, unknown>,
  runMeasurement: (deployment: Deployment) => Promise<void>
): Promise<void> {
  const deployment = await Deployment.start({ ...baseOptions, engineSettings })
  try {
    await runMeasurement(deployment)
  } finally {
    // Hosts stop before the log, to which they append their use at shutdown. A killed host would write no profile.
    await Promise.all([...deployment.hosts.values()].map(host => host.terminateOrKill(hostStopMilliseconds)))
    await deployment.stop()
  }
}

const formatMilliseconds = (value: number): string => value.toFixed(2)
const formatMegabytes = (bytes: number): string => (bytes / 1_000_000).toFixed(1)

function formatPercentiles (measurements: Comparison['direct']): string {
  return [50, 95, 99].map(percentile => formatMilliseconds(percentileOf(measurements.lastByte, percentile))).join(' / ')
}

function comparisonRow (comparison: Comparison): string {
  const { kind, connections, direct, forwarded, addedMillisecondsPerRound, hostMillisecondsPerCall } = comparison
  const callsPerSecond = (measurements: Comparison['direct']) => Math.round(measurements.calls / measurements.milliseconds * 1000)
  const addedMilliseconds = (point: 'firstByte' | 'lastByte') =>
    formatMilliseconds(percentileOf(forwarded[point], 50) - percentileOf(direct[point], 50))
  const cells = [
    kind, connections, callsPerSecond(direct), callsPerSecond(forwarded), formatPercentiles(direct), formatPercentiles(forwarded),
    `${addedMilliseconds('firstByte')} (${formatMilliseconds(addedMillisecondsPerRound[0]!)} to ${formatMilliseconds(addedMillisecondsPerRound.at(-1)!)})`,
    addedMilliseconds('lastByte'), hostMillisecondsPerCall.toFixed(3)
  ]
  return `| ${cells.join(' | ')} |`
}

async function measureRequests (): Promise<void> {
  printLine('| call | connections | calls/s direct | calls/s through the host | p50 / p95 / p99 direct, ms | p50 / p95 / p99 through the host, ms | added to the first byte at p50, ms (range of 5 rounds) | added to the whole at p50, ms | host processor time per call, ms |')
  printLine('| --- | --- | --- | --- | --- | --- | --- | --- | --- |')
  await withDeployment({ timeScale: 0.001 }, async deployment => {
    const [host] = deployment.hosts.values()
    for (const kind of callKindsOf(deployment, team)) {
      for (const connections of connectionCounts) printLine(comparisonRow(await compare(kind, connections, host!.pid)))
    }
  })
  printLine()
}

function memoryRow (name: string, memory: StreamMemory): string {
  const peakBytes = Math.max(...memory.openBytes)
  const cells = [
    name, memory.streams, formatMegabytes(memory.idleBytes), formatMegabytes(peakBytes),
    formatMegabytes(memory.openBytes.at(-1)!), formatMegabytes(memory.afterBytes),
    Math.round((peakBytes - memory.idleBytes) / memory.streams / 1000),
    Math.round(memory.readBytes / memory.streams / 1000), Math.round(memory.lastReadBytesPerSecond / 1000)
  ]
  return `| ${cells.join(' | ')} |`
}

async function measureMemory (): Promise<void> {
  printLine('| callers | streams | idle, MB | most while open, MB | last sample, MB | after, MB | most per stream, KB | read from the engine per stream, KB | read in the last 0.75 s, KB/s |')
  printLine('| --- | --- | --- | --- | --- | --- | --- | --- | --- |')
  const engineSettings = { maxSequences: 1000, kvCapacityTokens: 1_000_000_000 }
  await withDeployment({ ...engineSettings, cost: { stepMilliseconds: 300, sequenceMilliseconds: 0 } }, async deployment => {
    printLine(memoryRow('read', await measureStreams(deployment, { team, streams: 1000, maxTokens: 1000, silent: false, maxSamples: 8 })))
  })
  for (const [streams, maxTokens] of [[200, 20_000], [20, 40_000]] as const) {
    await withDeployment({ ...engineSettings, timeScale: 0.001 }, async deployment => {
      printLine(memoryRow('read nothing', await measureStreams(deployment, { team, streams, maxTokens, silent: true, maxSamples: 28 })))
    })
  }
  printLine()
}

function startTimeRow (program: string, command: string, times: number[]): string {
  times.sort((left, right) => left - right)
  const [min, median, max] = [times[0]!, times[Math.floor(times.length / 2)]!, times.at(-1)!]
  return `| ${program} | ${command} | ${Math.round(median)} | ${Math.round(min)} to ${Math.round(max)} |`
}

async function measureStarts (): Promise<void> {
  const programs: Program[] = [{ name: 'bundle', file: process.execPath, arguments: [options.program] }]
  if (existsSync('dist/dogwooddale')) programs.push({ name: 'binary', file: 'dist/dogwooddale', arguments: [] })
  else printLine('The binary was not measured: `npm run build` makes it.')
  printLine('| program | command | median, ms | range of 5 starts, ms |')
  printLine('| --- | --- | --- | --- |')
  const directory = mkdtempSync(join(tmpdir(), 'dogwooddale-'))
  await withDeployment({}, async deployment => {
    const settingsFile = join(directory, 'host.toml')
    writeFileSync(settingsFile, settingsTextOf({
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
      ['host, to the readiness line', ['host', '--settings', settingsFile], /"ready":true/]
    ]
    for (const [name, commandLine, pattern] of commands) {
      const times = programs.map((): number[] => [])
      for (let start = 0; start < startsPerProgram; start += 1) {
        for (const [index, program] of programs.entries()) times[index]!.push(await measureStart(program, commandLine, pattern))
      }
      for (const [index, program] of programs.entries()) printLine(startTimeRow(program.name, name, times[index]!))
    }
  })
  rmSync(directory, { recursive: true })
  printLine()
}

async function run (): Promise<void> {
  const startedAt = performance.now()
  if (selectedParts.includes('requests')) await measureRequests()
  if (selectedParts.includes('memory')) await measureMemory()
  if (selectedParts.includes('start')) await measureStarts()
  printLine(`Whole run: ${Math.round((performance.now() - startedAt) / 1000)} s.`)
}

run().catch(error => {
  process.stderr.write(`${String(error instanceof Error ? error.stack : error)}\n`)
  process.exitCode = 1
})

/**
 * Measures what the control part of real host processes costs and how fast it is: time from the acceptance of
 * a configuration change until it is in force on every host, time without a lease holder after a kill, a
 * freeze and a planned stop, appends per second at rest and under changes, CPU and bytes of a host at rest.
 * Run: npm run benchmark controlPlane
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { build, type Histogram } from 'hdr-histogram-js'
import { processorMillisecondsOf, readBytesOf, residentBytesOf, writtenBytesOf } from './ProcessUse.js'
import { Deployment, operatorTeam, type StartedProcess, tokenOf } from '../src/testing/index.js'

const changesPerSize = 40
const restSeconds = 20
const pollMilliseconds = 5

const authorization = `Bearer ${tokenOf(operatorTeam)}`

interface ProcessFigures { processorMilliseconds: number, residentBytes: number, transferredBytes: number }

function histogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 })
}

function quantiles (times: Histogram): string {
  const at = (percentile: number): string => (times.getValueAtPercentile(percentile) / 1000).toFixed(1)
  return `${at(50)} | ${at(99)} | ${(times.maxValue / 1000).toFixed(1)}`
}

/** CPU time and memory of a process, and the bytes that it read and wrote, sockets included. */
function figuresOf ({ pid }: StartedProcess): ProcessFigures {
  return {
    processorMilliseconds: processorMillisecondsOf(pid),
    residentBytes: residentBytesOf(pid),
    transferredBytes: readBytesOf(pid) + writtenBytesOf(pid)
  }
}

async function logEnd (deployment: Deployment, stream: string): Promise<number> {
  const url = `${deployment.platform('log').origin()}/streams/${stream}/records?from=0&limit=1&wait-ms=0`
  return (await (await fetch(url)).json() as { nextOffset: number }).nextOffset
}

async function appendsOf (deployment: Deployment): Promise<number> {
  const ends = await Promise.all(['configuration', 'leases', 'orders', 'use'].map(stream => logEnd(deployment, stream)))
  return ends.reduce((sum, end) => sum + end, 0)
}

async function putRole (host: StartedProcess, path: string, version: string, role: string): Promise<string> {
  const condition: Record<string, string> = version === '' ? { 'if-none-match': '*' } : { 'if-match': version }
  const response = await fetch(`${host.origin('administration')}/settings${path}`, {
    method: 'PUT',
    headers: { authorization, 'content-type': 'application/json', ...condition },
    body: JSON.stringify({ role })
  })
  if (response.status !== 200) throw new Error(`a change was refused: ${await response.text()}`)
  return response.headers.get('etag') ?? ''
}

async function hasVersion (host: StartedProcess, path: string, version: string): Promise<boolean> {
  const response = await fetch(`${host.origin('administration')}/settings${path}`, { headers: { authorization } })
  await response.arrayBuffer()
  return response.headers.get('etag') === version
}

/** Time from the answer to the operator until each other host has the change, in microseconds. */
async function measureChanges (deployment: Deployment): Promise<{ accepted: Histogram, inForce: Histogram }> {
  const accepted = histogram()
  const inForce = histogram()
  const [first, ...others] = [...deployment.hosts.values()]
  if (first === undefined) throw new Error('no host')
  const path = '/fleet/roles/modelos-foro-1'
  let version = ''
  for (let change = 0; change < changesPerSize; change += 1) {
    const sentAt = performance.now()
    version = await putRole(first, path, version, change % 2 === 0 ? 'mixed' : 'decode')
    const acceptedAt = performance.now()
    accepted.recordValue(Math.max(1, Math.round((acceptedAt - sentAt) * 1000)))
    await Promise.all(others.map(async host => {
      while (!await hasVersion(host, path, version)) await sleep(pollMilliseconds)
      inForce.recordValue(Math.max(1, Math.round((performance.now() - acceptedAt) * 1000)))
    }))
  }
  return { accepted, inForce }
}

interface LeaseView { lease: string, holder?: string, fencing_number?: number, fencingNumber: number }

async function leaseOf (host: StartedProcess, lease: string): Promise<LeaseView | undefined> {
  const response = await fetch(`${host.origin('administration')}/fleet`, { headers: { authorization } })
  return (await response.json() as { leases: LeaseView[] }).leases.find(view => view.lease === lease)
}

/** Time from an act on the holder of a lease until another host shows a new holder, in milliseconds. */
async function timeWithoutHolder (deployment: Deployment, act: (holder: StartedProcess) => void): Promise<number> {
  const lease = 'snapshots'
  const hosts = [...deployment.hosts.values()].filter(host => host.isRunning)
  const [some] = hosts
  if (some === undefined) throw new Error('no host')
  let before = await leaseOf(some, lease)
  while (before?.holder === undefined) {
    await sleep(100)
    before = await leaseOf(some, lease)
  }
  const holder = deployment.host(before.holder)
  const witness = hosts.find(host => host.name !== holder.name)
  if (witness === undefined) throw new Error('no second host')
  const startedAt = performance.now()
  act(holder)
  for (;;) {
    const now = await leaseOf(witness, lease)
    if (now?.holder !== undefined && now.fencingNumber !== before.fencingNumber) return performance.now() - startedAt
    await sleep(20)
  }
}

async function startDeployment (hostsPerZone: number): Promise<Deployment> {
  return await Deployment.start({
    region: 'costa',
    zones: ['guayaquil-a', 'guayaquil-b', 'duran-c'],
    hostsPerZone,
    enginesPerZone: 1,
    servicesPerZone: 1,
    model: 'pez',
    enginePool: 'modelos-foro',
    servicePool: 'app-foro',
    teams: { foro: 'acuarios' },
    // Roles are set as settings only; no order shall be sent to the engines while the hosts are measured.
    hostSettings: { roles: { planner: 'payback', changeWeightSeconds: 1e9 }, log: { level: 'warn' } }
  })
}

async function measureRest (deployment: Deployment): Promise<string> {
  const hosts = [...deployment.hosts.values()]
  const before = hosts.map(figuresOf)
  const appendsBefore = await appendsOf(deployment)
  await sleep(restSeconds * 1000)
  const after = hosts.map(figuresOf)
  const appends = (await appendsOf(deployment) - appendsBefore) / restSeconds
  const mean = (value: (index: number) => number): number => hosts.reduce((sum, _, index) => sum + value(index), 0) / hosts.length
  const busyMilliseconds = (index: number): number =>
    (after[index]?.processorMilliseconds ?? 0) - (before[index]?.processorMilliseconds ?? 0)
  const cpu = mean(busyMilliseconds) / 1000 / restSeconds
  const bytes = mean(index => ((after[index]?.transferredBytes ?? 0) - (before[index]?.transferredBytes ?? 0)) / restSeconds)
  const rss = mean(index => after[index]?.residentBytes ?? 0)
  return `${(cpu * 100).toFixed(2)} | ${(bytes / 1000).toFixed(1)} | ${(rss / 1e6).toFixed(0)} | ${appends.toFixed(1)}`
}

async function main (): Promise<void> {
  const say = (line: string): void => { process.stdout.write(`${line}\n`) }
  const sizes = [1, 2, 4]
  say('| hosts | accepted p50 | p99 | worst ms | in force p50 | p99 | worst ms | CPU % of a core | kB/s read and written | RSS MB | appends/s |')
  say('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |')
  for (const hostsPerZone of sizes) {
    const deployment = await startDeployment(hostsPerZone)
    const { accepted, inForce } = await measureChanges(deployment)
    const rest = await measureRest(deployment)
    say(`| ${deployment.hosts.size} | ${quantiles(accepted)} | ${quantiles(inForce)} | ${rest} |`)
    if (hostsPerZone === sizes.at(-1)) {
      const stopped = await timeWithoutHolder(deployment, holder => { holder.signal('SIGTERM') })
      const killed = await timeWithoutHolder(deployment, holder => { holder.signal('SIGKILL') })
      const frozen = await timeWithoutHolder(deployment, holder => { holder.signal('SIGSTOP') })
      say(`\ntime until a new holder of the lease "snapshots": planned stop ${stopped.toFixed(0)} ms, kill ${killed.toFixed(0)} ms, freeze ${frozen.toFixed(0)} ms`)
      for (const host of deployment.group.running()) host.signal('SIGCONT')
    }
    await deployment.stop()
  }
}

main().catch(error => {
  process.stderr.write(`${String(error instanceof Error ? error.stack : error)}\n`)
  process.exitCode = 1
})

/**
 * Measures the speed and the cost of the control plane with real host processes: the time from the acceptance of a
 * configuration change until it is in force on every host; the time without a lease holder after SIGTERM, SIGKILL or
 * SIGSTOP to the holder; appends per second while the hosts are idle; and the CPU time and bytes of an idle host.
 * Run: npm run benchmark controlPlane
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { build, type Histogram } from 'hdr-histogram-js'
import { processorMillisecondsOf, readBytesOf, residentBytesOf, writtenBytesOf } from './ProcessUse.js'
import { Deployment, operatorTeam, type StartedProcess, tokenOf } from '../src/testing/index.js'

const changesPerSize = 40
const idleSeconds = 20
const pollMilliseconds = 5

const authorization = `Bearer ${tokenOf(operatorTeam)}`

interface ProcessUsage { processorMilliseconds: number, residentBytes: number, transferredBytes: number }

function newHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 })
}

function quantileCells (times: Histogram): string {
  const millisecondsAt = (percentile: number): string => (times.getValueAtPercentile(percentile) / 1000).toFixed(1)
  return `${millisecondsAt(50)} | ${millisecondsAt(99)} | ${(times.maxValue / 1000).toFixed(1)}`
}

/** CPU time and resident memory of a process, and the bytes that it has read and written, sockets included. */
function usageOf ({ pid }: StartedProcess): ProcessUsage {
  return {
    processorMilliseconds: processorMillisecondsOf(pid),
    residentBytes: residentBytesOf(pid),
    transferredBytes: readBytesOf(pid) + writtenBytesOf(pid)
  }
}

async function nextOffsetOf (deployment: Deployment, stream: string): Promise<number> {
  const url = `${deployment.platform('log').origin()}/streams/${stream}/records?from=0&limit=1&wait-ms=0`
  return (await (await fetch(url)).json() as { nextOffset: number }).nextOffset
}

async function countAppends (deployment: Deployment): Promise<number> {
  const nextOffsets = await Promise.all(['configuration', 'leases', 'orders', 'use'].map(stream => nextOffsetOf(deployment, stream)))
  return nextOffsets.reduce((sum, nextOffset) => sum + nextOffset, 0)
}

async function putRole (host: StartedProcess, path: string, version: string, role: string): Promise<string> {
  const condition: Record<string, string> = version === '' ? { 'if-none-match': '*' } : { 'if-match': version }
  const response = await fetch(`${host.origin('administration')}/settings${path}`, {
    method: 'PUT',
    headers: { authorization, 'content-type': 'application/json', ...condition },
    body: JSON.stringify({ role })
  })
  if (response.status !== 200) throw new Error(`a configuration change failed: ${await response.text()}`)
  return response.headers.get('etag') ?? ''
}

async function hasVersion (host: StartedProcess, path: string, version: string): Promise<boolean> {
  const response = await fetch(`${host.origin('administration')}/settings${path}`, { headers: { authorization } })
  await response.arrayBuffer()
  return response.headers.get('etag') === version
}

/**
 * Changes a role repeatedly through one host. Records, in microseconds, the time until the operator receives the
 * response (`accepted`), and the time from the response until each other host has the change (`inForce`).
 */
async function measureChanges (deployment: Deployment): Promise<{ accepted: Histogram, inForce: Histogram }> {
  const accepted = newHistogram()
  const inForce = newHistogram()
  const [changedHost, ...otherHosts] = [...deployment.hosts.values()]
  if (changedHost === undefined) throw new Error('no host')
  const path = '/fleet/roles/modelos-foro-1'
  let version = ''
  for (let change = 0; change < changesPerSize; change += 1) {
    const sentAt = performance.now()
    version = await putRole(changedHost, path, version, change % 2 === 0 ? 'mixed' : 'decode')
    const acceptedAt = performance.now()
    accepted.recordValue(Math.max(1, Math.round((acceptedAt - sentAt) * 1000)))
    await Promise.all(otherHosts.map(async host => {
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

/** Time from an action on the holder of a lease until another host reports a new holder, in milliseconds. */
async function timeWithoutHolder (deployment: Deployment, action: (holder: StartedProcess) => void): Promise<number> {
  const lease = 'snapshots'
  const hosts = [...deployment.hosts.values()].filter(host => host.isRunning)
  const [anyHost] = hosts
  if (anyHost === undefined) throw new Error('no host')
  let initialLease = await leaseOf(anyHost, lease)
  while (initialLease?.holder === undefined) {
    await sleep(100)
    initialLease = await leaseOf(anyHost, lease)
  }
  const holder = deployment.host(initialLease.holder)
  const observer = hosts.find(host => host.name !== holder.name)
  if (observer === undefined) throw new Error('no other host is running')
  const startedAt = performance.now()
  action(holder)
  for (;;) {
    const currentLease = await leaseOf(observer, lease)
    if (
      currentLease?.holder !== undefined && currentLease.fencingNumber !== initialLease.fencingNumber
    ) return performance.now() - startedAt
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
    // The benchmark changes roles only in the configuration; with this weight, the planner sends no orders to the engines.
    hostSettings: { roles: { planner: 'payback', changeWeightSeconds: 1e9 }, log: { level: 'warn' } }
  })
}

async function measureIdle (deployment: Deployment): Promise<string> {
  const hosts = [...deployment.hosts.values()]
  const usageBefore = hosts.map(usageOf)
  const appendsBefore = await countAppends(deployment)
  await sleep(idleSeconds * 1000)
  const usageAfter = hosts.map(usageOf)
  const appendsPerSecond = (await countAppends(deployment) - appendsBefore) / idleSeconds
  const mean = (value: (index: number) => number): number => hosts.reduce((sum, _, index) => sum + value(index), 0) / hosts.length
  const processorMilliseconds = (index: number): number =>
    (usageAfter[index]?.processorMilliseconds ?? 0) - (usageBefore[index]?.processorMilliseconds ?? 0)
  const coresUsed = mean(processorMilliseconds) / 1000 / idleSeconds
  const bytesPerSecond = mean(index =>
    ((usageAfter[index]?.transferredBytes ?? 0) - (usageBefore[index]?.transferredBytes ?? 0)) / idleSeconds)
  const residentBytes = mean(index => usageAfter[index]?.residentBytes ?? 0)
  return `${(coresUsed * 100).toFixed(2)} | ${(bytesPerSecond / 1000).toFixed(1)} | ${(residentBytes / 1e6).toFixed(0)} | ${appendsPerSecond.toFixed(1)}`
}

async function main (): Promise<void> {
  const printLine = (line: string): void => { process.stdout.write(`${line}\n`) }
  const sizes = [1, 2, 4]
  printLine('| hosts | accepted p50 | p99 | worst ms | in force p50 | p99 | worst ms | CPU % of a core | kB/s read and written | RSS MB | appends/s |')
  printLine('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |')
  for (const hostsPerZone of sizes) {
    const deployment = await startDeployment(hostsPerZone)
    const { accepted, inForce } = await measureChanges(deployment)
    const idleCells = await measureIdle(deployment)
    printLine(`| ${deployment.hosts.size} | ${quantileCells(accepted)} | ${quantileCells(inForce)} | ${idleCells} |`)
    if (hostsPerZone === sizes.at(-1)) {
      const stopMilliseconds = await timeWithoutHolder(deployment, holder => { holder.signal('SIGTERM') })
      const killMilliseconds = await timeWithoutHolder(deployment, holder => { holder.signal('SIGKILL') })
      const freezeMilliseconds = await timeWithoutHolder(deployment, holder => { holder.signal('SIGSTOP') })
      printLine(`\ntime until a new holder of the lease "snapshots": planned stop ${stopMilliseconds.toFixed(0)} ms, kill ${killMilliseconds.toFixed(0)} ms, freeze ${freezeMilliseconds.toFixed(0)} ms`)
      for (const host of deployment.group.running()) host.signal('SIGCONT')
    }
    await deployment.stop()
  }
}

main().catch(error => {
  process.stderr.write(`${String(error instanceof Error ? error.stack : error)}\n`)
  process.exitCode = 1
})

/**
 * Measures the relay tree with in-process hosts that connect over loopback gRPC: the time from an append to an
 * in-memory log until all hosts have applied the record, and the bytes and CPU time of an idle host. Run with
 * `npm run benchmark relay`; takes less than three minutes and prints Markdown.
 *
 * All hosts share one thread, so the propagation time grows with the number of hosts as well as with the depth of the
 * tree; the linear fit separates the two. On separate machines, different hosts work in parallel.
 */
import { subscribe } from 'node:diagnostics_channel'
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { newRecordId, SystemClock } from '../src/common/index.js'
import { type HostHash, loadHostHash, RelayTree, type TreeHost } from '../src/membership/index.js'
import { LatencyRecorder } from '../src/observability/index.js'
import { InMemoryLogClient, type ListedHost } from '../src/clients/index.js'
import { currentRecordVersion } from '../src/streams/index.js'
import { LinearFit } from './LinearFit.js'
import { RelayHost } from './RelayHost.js'

const sizes = [3, 6, 13, 26, 52]
const fanOuts = [8, 2]
/** Default of the setting `membership.fan_out`; idle hosts are measured only at this fan-out. */
const defaultFanOut = 8
const warmUpRecords = 30
const measuredRecords = 200
const paddingBytes = 300
/** Maximum time for a record to reach all hosts; the run fails if a record exceeds it. */
const propagationLimitMilliseconds = 20_000
const idleMilliseconds = 20_000
const settleMilliseconds = 1000
const targetHostsPerZone = 188
const targetHosts = 1500

interface Propagation { hosts: number, fanOut: number, depth: number, times: LatencyRecorder }
interface IdleLoad { hosts: number, heartbeats: number, bytesPerSecond: number, cpuPercent: number }

/** Counts the bytes that cross the sockets of this process which `isCounted` selects. */
class SocketByteCounter {
  private readonly openSockets = new Set<Socket>()
  private closedBytes = 0

  constructor (private readonly isCounted: (socket: Socket) => boolean) {
    subscribe('net.client.socket', message => this.add((message as { socket: Socket }).socket))
    subscribe('net.server.socket', message => this.add((message as { socket: Socket }).socket))
  }

  /** Bytes read and written so far, on closed sockets too. */
  bytes (): number {
    return [...this.openSockets].reduce((sum, socket) => sum + bytesOf(socket), this.closedBytes)
  }

  private add (socket: Socket): void {
    if (!this.isCounted(socket)) return
    this.openSockets.add(socket)
    socket.once('close', () => {
      this.closedBytes += bytesOf(socket)
      this.openSockets.delete(socket)
    })
  }
}

function bytesOf (socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten
}

/** A host list whose version changes only with `set`. */
class BenchmarkHostList {
  private hosts = new Map<string, ListedHost>()
  private version = 1

  private constructor (private readonly server: Server) {}

  static async start (): Promise<BenchmarkHostList> {
    const server = createServer()
    const list = new BenchmarkHostList(server)
    server.on('request', (request: IncomingMessage, response: ServerResponse) => list.answer(request, response))
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return list
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  set (hosts: ListedHost[]): void {
    this.hosts = new Map(hosts.map(host => [host.hostId, host]))
    this.version += 1
  }

  stop (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private answer (request: IncomingMessage, response: ServerResponse): void {
    request.resume()
    // `set` has listed all hosts before they register, so a registration changes nothing.
    if (request.method !== 'GET') {
      response.end('{}')
      return
    }
    response.setHeader('etag', `"${this.version}"`)
    if (request.headers['if-none-match'] === `"${this.version}"`) {
      response.writeHead(304).end()
      return
    }
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify({ version: this.version, hosts: [...this.hosts.values()] }))
  }
}

/** The hosts of one zone, connected to each other and following all streams. */
class RelayZone {
  readonly hosts: RelayHost[] = []
  private readonly log = new InMemoryLogClient(new SystemClock())
  private appliedCount = 0
  private onAllApplied: () => void = () => {}

  constructor (private readonly list: BenchmarkHostList, private readonly fanOut: number, private readonly hash: HostHash) {}

  async start (size: number): Promise<void> {
    const { fanOut, hash, log } = this
    const hostListOrigin = `http://127.0.0.1:${this.list.port}`
    const onRecord = (): void => {
      this.appliedCount += 1
      if (this.appliedCount === size) this.onAllApplied()
    }
    for (let index = 0; index < size; index += 1) {
      this.hosts.push(await RelayHost.listen({ hostId: `host-${index}`, fanOut, hash, log, hostListOrigin, onRecord }))
    }
    this.list.set(this.hosts.map(({ hostListEntry }) => hostListEntry))
    await Promise.all(this.hosts.map(host => host.join(size - 1)))
    await Promise.all(this.hosts.map(host => host.follow()))
  }

  /** Appends a record and returns the time in milliseconds until all hosts have applied it. */
  async propagate (): Promise<number> {
    this.appliedCount = 0
    const done = new Promise<void>((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error(`only ${this.appliedCount} hosts applied a record within the limit`)), propagationLimitMilliseconds)
      this.onAllApplied = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    const record = { version: currentRecordVersion, kind: 'measured', id: newRecordId(), padding: 'x'.repeat(paddingBytes) }
    const startedAt = performance.now()
    await this.log.append('configuration', [JSON.stringify(record)])
    await done
    return performance.now() - startedAt
  }

  async stop (): Promise<void> {
    await Promise.all(this.hosts.map(host => host.stop()))
  }
}

const sleep = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds))

async function measurePropagation (zone: RelayZone, fanOut: number): Promise<Propagation> {
  const times = new LatencyRecorder()
  for (let count = 0; count < warmUpRecords; count += 1) await zone.propagate()
  for (let count = 0; count < measuredRecords; count += 1) times.record(await zone.propagate())
  return { hosts: zone.hosts.length, fanOut, depth: Math.max(...zone.hosts.map(({ depth }) => depth)), times }
}

async function measureIdleLoad (zone: RelayZone, byteCounter: SocketByteCounter, hash: HostHash): Promise<IdleLoad> {
  await sleep(settleMilliseconds)
  const hosts = zone.hosts.length
  const bytesBefore = byteCounter.bytes()
  const cpuBefore = process.cpuUsage()
  const startedAt = performance.now()
  await sleep(idleMilliseconds)
  const seconds = (performance.now() - startedAt) / 1000
  const { user, system } = process.cpuUsage(cpuBefore)
  return {
    hosts,
    heartbeats: heartbeatsPerHost(hosts, hash),
    bytesPerSecond: (byteCounter.bytes() - bytesBefore) / seconds / hosts,
    cpuPercent: (user + system) / 1e6 / seconds / hosts * 100
  }
}

/** Mean number of hosts that a host of a zone sends heartbeats to: parent, grandparent and up to three siblings. */
function heartbeatsPerHost (size: number, hash: HostHash): number {
  const hosts = Array.from({ length: size })
    .map((_, index) => ({ hostId: `host-${index}`, zone: 'zone', region: 'region' }) as TreeHost)
  const tree = new RelayTree(hosts, { fanOut: defaultFanOut, hash })
  const targetCounts = hosts.map(host => tree.ancestorsOf(host).slice(0, 2).length + tree.siblingsOf(host, 3).length)
  return targetCounts.reduce((sum, count) => sum + count, 0) / size
}

function printPropagation (results: Propagation[]): void {
  console.log('| hosts | fan-out | depth | p50 ms | p99 ms | worst ms |\n| --- | --- | --- | --- | --- | --- |')
  for (const { hosts, fanOut, depth, times } of results) {
    const [p50, p99, worst] = [0.5, 0.99, 1].map(quantile => times.quantile(quantile).toFixed(2))
    console.log(`| ${hosts} | ${fanOut} | ${depth} | ${p50} | ${p99} | ${worst} |`)
  }
  for (const quantile of [0.5, 0.99]) {
    const points = results.map(({ hosts, depth, times }) => ({ inputs: [1, depth, hosts], output: times.quantile(quantile) }))
    const fit = new LinearFit(points)
    const [base, perLevel, perHost] = fit.coefficients.map(value => value.toFixed(3))
    console.log(`\np${quantile * 100}: ${base} + ${perLevel} * depth + ${perHost} * hosts ms, residual ${fit.residual.toFixed(3)} ms (RMS).`)
    for (const hosts of [targetHostsPerZone, targetHosts]) {
      console.log(`${hosts} hosts in one process, depth 3: ${fit.predict([1, 3, hosts]).toFixed(1)} ms.`)
    }
  }
}

function printIdleLoad (results: IdleLoad[], hash: HostHash): void {
  console.log('\n| hosts | heartbeats/s per host | bytes/s per host, in and out | CPU per host, % of a core |\n| --- | --- | --- | --- |')
  for (const { hosts, heartbeats, bytesPerSecond, cpuPercent } of results) {
    console.log(`| ${hosts} | ${heartbeats.toFixed(2)} | ${bytesPerSecond.toFixed(0)} | ${cpuPercent.toFixed(3)} |`)
  }
  const targetHeartbeats = heartbeatsPerHost(targetHostsPerZone, hash)
  const fittedMetrics = [['bytes/s', 'bytesPerSecond'], ['% of a core', 'cpuPercent']] as const
  for (const [unit, metric] of fittedMetrics) {
    const fit = new LinearFit(results.map(result => ({ inputs: [1, result.heartbeats], output: result[metric] })))
    const [base, perHeartbeat] = fit.coefficients.map(value => value.toPrecision(3))
    console.log(`\nPer host: ${base} + ${perHeartbeat} * heartbeats/s ${unit}, residual ${fit.residual.toPrecision(3)} (root mean square).`)
    console.log(`${targetHostsPerZone} hosts (${targetHeartbeats.toFixed(2)} heartbeats/s): ${fit.predict([1, targetHeartbeats]).toPrecision(3)} ${unit}.`)
  }
}

/** Hosts read the whole host list after each change; unlike the other traffic, this grows with the number of hosts. */
function printHostListCost (entry: ListedHost): void {
  const bytes = JSON.stringify(entry).length + 1
  const bytesPerRead = bytes * targetHosts
  console.log(`\nOne entry of the list: ${bytes} bytes. One read of ${targetHosts} entries after a change: ${(bytesPerRead / 1000).toFixed(0)} kB.`)
}

async function main (): Promise<void> {
  const startedAt = performance.now()
  const hash = await loadHostHash()
  const list = await BenchmarkHostList.start()
  const byteCounter = new SocketByteCounter(socket => socket.localPort !== list.port)
  const propagations: Propagation[] = []
  const idleLoads: IdleLoad[] = []
  let entry: ListedHost | undefined
  for (const fanOut of fanOuts) {
    for (const size of sizes) {
      process.stderr.write(`${size} hosts, fan-out ${fanOut}: ${((performance.now() - startedAt) / 1000).toFixed(0)} s\n`)
      const zone = new RelayZone(list, fanOut, hash)
      await zone.start(size)
      propagations.push(await measurePropagation(zone, fanOut))
      if (fanOut === defaultFanOut) idleLoads.push(await measureIdleLoad(zone, byteCounter, hash))
      entry = zone.hosts[0]?.hostListEntry
      await zone.stop()
    }
  }
  list.stop()
  printPropagation(propagations)
  printIdleLoad(idleLoads, hash)
  if (entry !== undefined) printHostListCost(entry)
  console.log(`\nTook ${((performance.now() - startedAt) / 1000).toFixed(0)} s.`)
}

main().catch(error => {
  console.error(error)
  process.exitCode = 1
})

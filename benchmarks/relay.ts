/**
 * Measures the relay tree with hosts as in-process servers over loopback gRPC: the time from an append to a log
 * in memory until all hosts have applied the record, and the bytes and CPU of a host at rest. Run with
 * `npm run benchmark relay`; takes under three minutes and prints Markdown.
 *
 * All hosts share one thread, so a record's time grows with the number of hosts as well as with the depth;
 * the fit tells the two apart. On separate machines the work of different hosts runs at the same time.
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
/** Fan-out of the settings' default, at which hosts at rest are measured. */
const defaultFanOut = 8
const warmUpRecords = 30
const measuredRecords = 200
const fillingBytes = 300
/** A record that takes longer ends the run with an error. */
const propagationLimitMilliseconds = 20_000
const restMilliseconds = 20_000
const settleMilliseconds = 1000
const targetZone = 188
const targetHosts = 1500

interface Propagation { hosts: number, fanOut: number, depth: number, times: LatencyRecorder }
interface Rest { hosts: number, heartbeats: number, bytesPerSecond: number, cpuPercent: number }

/** Counts the bytes of all sockets of this process. */
class SocketMeter {
  private readonly open = new Set<Socket>()
  private closedBytes = 0

  constructor (private readonly isCounted: (socket: Socket) => boolean) {
    subscribe('net.client.socket', message => this.add((message as { socket: Socket }).socket))
    subscribe('net.server.socket', message => this.add((message as { socket: Socket }).socket))
  }

  /** Bytes read and written so far. */
  bytes (): number {
    return [...this.open].reduce((sum, socket) => sum + bytesOf(socket), this.closedBytes)
  }

  private add (socket: Socket): void {
    if (!this.isCounted(socket)) return
    this.open.add(socket)
    socket.once('close', () => {
      this.closedBytes += bytesOf(socket)
      this.open.delete(socket)
    })
  }
}

function bytesOf (socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten
}

/** A host list that answers with the same version until an entry changes. */
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
    // The entries of all hosts are there from the start, so a registration changes nothing.
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

/** Hosts of one zone, connected and following. */
class Zone {
  readonly hosts: RelayHost[] = []
  private readonly log = new InMemoryLogClient(new SystemClock())
  private applied = 0
  private allApplied: () => void = () => {}

  constructor (private readonly list: BenchmarkHostList, private readonly fanOut: number, private readonly hash: HostHash) {}

  async start (size: number): Promise<void> {
    const { fanOut, hash, log } = this
    const listOrigin = `http://127.0.0.1:${this.list.port}`
    const onRecord = (): void => {
      this.applied += 1
      if (this.applied === size) this.allApplied()
    }
    for (let index = 0; index < size; index += 1) {
      this.hosts.push(await RelayHost.listen({ hostId: `host-${index}`, fanOut, hash, log, listOrigin, onRecord }))
    }
    this.list.set(this.hosts.map(({ entry }) => entry))
    await Promise.all(this.hosts.map(host => host.join(size - 1)))
    await Promise.all(this.hosts.map(host => host.follow()))
  }

  /** Appends a record and returns the time in milliseconds until all hosts have applied it. */
  async propagate (): Promise<number> {
    this.applied = 0
    const done = new Promise<void>((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error(`only ${this.applied} hosts applied a record`)), propagationLimitMilliseconds)
      this.allApplied = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    const record = { version: currentRecordVersion, kind: 'measured', id: newRecordId(), filling: 'x'.repeat(fillingBytes) }
    const startedAt = performance.now()
    await this.log.append('configuration', [JSON.stringify(record)])
    await done
    return performance.now() - startedAt
  }

  async stop (): Promise<void> {
    await Promise.all(this.hosts.map(host => host.stop()))
  }
}

const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds))

async function measurePropagation (zone: Zone, fanOut: number): Promise<Propagation> {
  const times = new LatencyRecorder()
  for (let count = 0; count < warmUpRecords; count += 1) await zone.propagate()
  for (let count = 0; count < measuredRecords; count += 1) times.record(await zone.propagate())
  return { hosts: zone.hosts.length, fanOut, depth: Math.max(...zone.hosts.map(({ depth }) => depth)), times }
}

async function measureRest (zone: Zone, meter: SocketMeter, hash: HostHash): Promise<Rest> {
  await pause(settleMilliseconds)
  const hosts = zone.hosts.length
  const bytesBefore = meter.bytes()
  const cpuBefore = process.cpuUsage()
  const startedAt = performance.now()
  await pause(restMilliseconds)
  const seconds = (performance.now() - startedAt) / 1000
  const { user, system } = process.cpuUsage(cpuBefore)
  return {
    hosts,
    heartbeats: heartbeatsPerHost(hosts, hash),
    bytesPerSecond: (meter.bytes() - bytesBefore) / seconds / hosts,
    cpuPercent: (user + system) / 1e6 / seconds / hosts * 100
  }
}

/** Mean number of neighbours that a host of a zone sends heartbeats to: parent, grandparent, three siblings. */
function heartbeatsPerHost (size: number, hash: HostHash): number {
  const hosts = Array.from({ length: size })
    .map((_, index) => ({ hostId: `host-${index}`, zone: 'zone', region: 'region' }) as TreeHost)
  const tree = new RelayTree(hosts, { fanOut: defaultFanOut, hash })
  const counts = hosts.map(host => tree.ancestorsOf(host).slice(0, 2).length + tree.siblingsOf(host, 3).length)
  return counts.reduce((sum, count) => sum + count, 0) / size
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
    for (const hosts of [targetZone, targetHosts]) {
      console.log(`${hosts} hosts in one process, depth 3: ${fit.predict([1, 3, hosts]).toFixed(1)} ms.`)
    }
  }
}

function printRest (results: Rest[], hash: HostHash): void {
  console.log('\n| hosts | heartbeats/s per host | bytes/s per host, in and out | CPU per host, % of a core |\n| --- | --- | --- | --- |')
  for (const { hosts, heartbeats, bytesPerSecond, cpuPercent } of results) {
    console.log(`| ${hosts} | ${heartbeats.toFixed(2)} | ${bytesPerSecond.toFixed(0)} | ${cpuPercent.toFixed(3)} |`)
  }
  const target = heartbeatsPerHost(targetZone, hash)
  const members = [['bytes/s', 'bytesPerSecond'], ['% of a core', 'cpuPercent']] as const
  for (const [unit, member] of members) {
    const fit = new LinearFit(results.map(result => ({ inputs: [1, result.heartbeats], output: result[member] })))
    const [base, perHeartbeat] = fit.coefficients.map(value => value.toPrecision(3))
    console.log(`\nPer host: ${base} + ${perHeartbeat} * heartbeats/s ${unit}, residual ${fit.residual.toPrecision(3)} (root mean square).`)
    console.log(`${targetZone} hosts (${target.toFixed(2)} heartbeats/s): ${fit.predict([1, target]).toPrecision(3)} ${unit}.`)
  }
}

/** The list is read as a whole after each change; this part of the bytes grows with the number of hosts. */
function printListChanges (entry: ListedHost): void {
  const bytes = JSON.stringify(entry).length + 1
  const perRead = bytes * targetHosts
  console.log(`\nOne entry of the list: ${bytes} bytes. One read of ${targetHosts} entries after a change: ${(perRead / 1000).toFixed(0)} kB.`)
}

async function main (): Promise<void> {
  const startedAt = performance.now()
  const hash = await loadHostHash()
  const list = await BenchmarkHostList.start()
  const meter = new SocketMeter(socket => socket.localPort !== list.port)
  const propagations: Propagation[] = []
  const rests: Rest[] = []
  let entry: ListedHost | undefined
  for (const fanOut of fanOuts) {
    for (const size of sizes) {
      process.stderr.write(`${size} hosts, fan-out ${fanOut}: ${((performance.now() - startedAt) / 1000).toFixed(0)} s\n`)
      const zone = new Zone(list, fanOut, hash)
      await zone.start(size)
      propagations.push(await measurePropagation(zone, fanOut))
      if (fanOut === defaultFanOut) rests.push(await measureRest(zone, meter, hash))
      entry = zone.hosts[0]?.entry
      await zone.stop()
    }
  }
  list.stop()
  printPropagation(propagations)
  printRest(rests, hash)
  if (entry !== undefined) printListChanges(entry)
  console.log(`\nTook ${((performance.now() - startedAt) / 1000).toFixed(0)} s.`)
}

main().catch(error => {
  console.error(error)
  process.exitCode = 1
})

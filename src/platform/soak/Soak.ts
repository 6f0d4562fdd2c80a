/**
 * One soak: hosts as processes over a store and workers of this repository, callers that keep their connections, and a
 * series of faults that the seed decides. Faults come from outside the hosts: signals, links, clocks, the store, the
 * workers, changes of the configuration and of settings files. They overlap.
 */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { SeededRandom } from '../../common/index.js'
import { FakeStore } from '../testing/FakeStore.js'
import { configurationDocument } from '../testing/platformTestSupport.js'
import { linkStates, type LoopbackProxy } from './LoopbackProxy.js'
import { SoakCaller } from './SoakCaller.js'
import { SoakHost } from './SoakHost.js'
import { requestKinds, SoakJournal, streamKinds } from './SoakJournal.js'
import { SoakWorker, workerMoods } from './SoakWorker.js'

/** Options of a soak. */
export interface SoakOptions {
  seed: number
  /** Time for which faults come. */
  milliseconds: number
  hosts: number
  callersPerHost: number
  checksTimes: boolean
}

/** What a soak found. */
export interface SoakResult {
  violations: string[]
  answers: SoakJournal['answers']
  faults: string[]
  orders: number
  /** Requests that were held to bounds of time. */
  timed: number
  /** Log lines of all hosts. */
  log: string[]
}

const zones = ['zone-a', 'zone-b', 'zone-c']
const services = ['app', 'app-next'] as const

/** Workers of each service, and engines at the start. */
const workersPerService = 2
const engineCount = 4

/** Bounds of the hosts: as short as the programs allow, so that a soak of seconds meets them. */
const leaseMilliseconds = 1500
const graceSeconds = 6

/** Time between two faults, and for which one lasts, in milliseconds. */
const shortestGapMilliseconds = 150
const longestGapMilliseconds = 700
const shortestFaultMilliseconds = 200
const longestFaultMilliseconds = 1800

/** Longest jump of a host's time of day, in milliseconds. */
const longestClockJump = 3000

/** Time after a disturbance from which a host has to keep bounds of time, in milliseconds. */
const stableWindowMilliseconds = 3000

/** Time after the last fault in which everything has to recover, in milliseconds. */
const calmMilliseconds = 4000

/** Time after which a process that was told to stop is killed, as on the platform. */
const killMilliseconds = graceSeconds * 1000

/** A soak in progress. */
export class Soak {
  private readonly journal = new SoakJournal()
  private readonly random: SeededRandom
  private readonly faults: string[] = []
  private readonly startedAt = performance.now()
  private readonly open = new Set<Promise<void>>()
  private readonly workers: SoakWorker[] = []
  private hosts: SoakHost[] = []
  private version = 1
  private workerCount = 0

  private constructor (private readonly options: SoakOptions, private readonly store: FakeStore) {
    this.random = new SeededRandom(options.seed)
  }

  /** Plays one seed. */
  static async play (options: SoakOptions): Promise<SoakResult> {
    const soak = new Soak(options, await FakeStore.start())
    const directory = await mkdtemp(join(tmpdir(), 'dogwooddale-soak-'))
    try {
      await soak.prepare(directory)
      await soak.playFaults()
    } finally {
      await soak.end()
      await rm(directory, { recursive: true, force: true })
    }
    return soak.result()
  }

  private async prepare (directory: string): Promise<void> {
    this.configure('app')
    for (const service of services) for (let count = 0; count < workersPerService; count += 1) await this.addWorker(service)
    for (let count = 0; count < engineCount; count += 1) await this.addWorker('llm')
    this.hosts = await Promise.all(Array.from({ length: this.options.hosts }, (_, index) => SoakHost.start({
      name: `host-${index + 1}`,
      zone: zones[index % zones.length]!,
      directory,
      storeAddress: this.store.address,
      leaseMilliseconds,
      graceSeconds,
      clockJumps: [this.clockJump(2, 6), this.clockJump(7, 12)]
    })))
    this.journal.isCalm = (name, since) => {
      const host = this.hosts.find(candidate => candidate.name === name)
      return this.options.checksTimes && host !== undefined && host.disturbedUntil + stableWindowMilliseconds <= since
    }
  }

  private clockJump (earliestSecond: number, latestSecond: number): [number, number] {
    return [this.random.integer(earliestSecond, latestSecond), this.random.integer(-longestClockJump, longestClockJump)]
  }

  private async playFaults (): Promise<void> {
    const calling = new AbortController()
    const names = this.hosts.flatMap(({ name }) => Array.from({ length: this.options.callersPerHost }, (_, index) => `${name}-${index}`))
    const callers = names.map(name => new SoakCaller({
      name,
      hosts: this.hosts,
      journal: this.journal,
      random: new SeededRandom(this.random.integer(1, 1_000_000)),
      checksTimes: this.options.checksTimes
    }))
    const running = callers.map(async caller => await caller.run(calling.signal))
    const end = performance.now() + this.options.milliseconds
    while (performance.now() < end) {
      await sleep(this.random.integer(shortestGapMilliseconds, longestGapMilliseconds))
      this.startFault()
    }
    await Promise.all(this.open)
    const before = this.journal.answers.whole
    await sleep(calmMilliseconds)
    calling.abort()
    await Promise.all(running)
    if (this.journal.answers.whole === before) this.journal.violate('RECOVER', 'no request is served after the last fault')
    this.checkLogs()
  }

  /** Each answered request has one line in a host's log, from which its use can be counted. */
  private checkLogs (): void {
    for (const host of this.hosts) {
      for (const [id, count] of host.ended) if (count > 1) this.journal.violate('USE', `${host.name} logs the end of ${id} ${count} times`)
    }
  }

  private async end (): Promise<void> {
    await Promise.all(this.hosts.map(async host => await host.stop()))
    await Promise.all(this.workers.filter(({ isGone }) => !isGone).map(async worker => await worker.stop()))
    await this.store.stop()
  }

  private result (): SoakResult {
    const { violations, answers, orders, timed } = this.journal
    return { violations, answers, faults: this.faults, orders: orders.length, timed, log: this.hosts.flatMap(({ log }) => log) }
  }

  private startFault (): void {
    const milliseconds = this.random.integer(shortestFaultMilliseconds, longestFaultMilliseconds)
    const faults = [
      () => this.signalHost(), () => this.signalHost(), () => this.pauseHost(milliseconds), () => this.changeSettings(),
      () => this.breakLink(milliseconds), () => this.breakLink(milliseconds), () => this.breakStore(milliseconds),
      () => this.changeMood(milliseconds), () => this.changeMood(milliseconds), () => this.replaceWorker(milliseconds),
      () => this.changeConfiguration()
    ]
    const fault = this.random.pick(faults)()
    this.open.add(fault)
    fault.then(() => { this.open.delete(fault) }, error => { this.journal.violate('SOAK', String(error)) })
  }

  private note (what: string): void {
    this.faults.push(`${((performance.now() - this.startedAt) / 1000).toFixed(2)} s ${what}`)
  }

  /** Ends a host's process, planned or not, and starts another. */
  private async signalHost (): Promise<void> {
    const host = this.random.pick(this.hosts)
    const signal = this.random.pick(['SIGTERM', 'SIGKILL'] as const)
    if (!host.isServing) return
    this.note(`${signal} to ${host.name}`)
    if (signal === 'SIGKILL') host.disturb(0)
    host.signal(signal)
    const signalledAt = performance.now()
    const kill = setTimeout(() => {
      const isLate = this.options.checksTimes && host.disturbedUntil < signalledAt
      if (isLate) this.journal.violate('LOST', `${host.name} has not ended ${killMilliseconds} ms after ${signal}`)
      host.signal('SIGKILL')
    }, killMilliseconds)
    await host.whenExited()
    clearTimeout(kill)
    await host.launch()
    host.disturb(0)
  }

  private async pauseHost (milliseconds: number): Promise<void> {
    const host = this.random.pick(this.hosts)
    if (!host.isServing) return
    this.note(`${host.name} stands still for ${milliseconds} ms`)
    host.disturb(milliseconds)
    host.signal('SIGSTOP')
    await sleep(milliseconds)
    host.signal('SIGCONT')
    host.disturb(0)
  }

  private async changeSettings (): Promise<void> {
    const host = this.random.pick(this.hosts)
    const withSignal = this.random.fraction() < 0.5
    this.note(`settings of ${host.name} change ${withSignal ? 'with' : 'without'} SIGHUP`)
    host.writeSettings(this.random.integer(1, 50))
    if (withSignal) host.signal('SIGHUP')
  }

  private async breakLink (milliseconds: number): Promise<void> {
    const state = this.random.pick(linkStates)
    const host = this.random.pick(this.hosts)
    const worker = this.random.pick(this.workers.filter(({ isGone }) => !isGone))
    const toStore = this.random.fraction() < 0.5
    const link: LoopbackProxy = toStore ? host.storeLink : worker.link
    this.note(`link of ${toStore ? `${host.name} to the store` : worker.id} is ${state} for ${milliseconds} ms`)
    for (const touched of toStore ? [host] : this.hosts) touched.disturb(milliseconds)
    link.set(state)
    await sleep(milliseconds)
    link.set('open')
    for (const touched of toStore ? [host] : this.hosts) touched.disturb(0)
  }

  private async breakStore (milliseconds: number): Promise<void> {
    const how = this.random.pick(['silent', 'refused', 'forgets'] as const)
    this.note(`the store: ${how} for ${milliseconds} ms`)
    if (how === 'forgets') {
      this.store.forget('keyed.servers')
      this.store.forget('keyed.op')
      return
    }
    for (const host of this.hosts) host.disturb(milliseconds)
    this.store.mode = how
    await sleep(milliseconds)
    this.store.mode = 'normal'
    for (const host of this.hosts) host.disturb(0)
  }

  private async changeMood (milliseconds: number): Promise<void> {
    const worker = this.random.pick(this.workers.filter(({ isGone }) => !isGone))
    const mood = this.random.pick(workerMoods)
    this.note(`${worker.id} is ${mood} for ${milliseconds} ms`)
    for (const host of this.hosts) host.disturb(milliseconds)
    worker.mood = mood
    await sleep(milliseconds)
    worker.mood = 'fine'
  }

  /** Another worker comes; the old one leaves as planned, or crashes. */
  private async replaceWorker (milliseconds: number): Promise<void> {
    const worker = this.random.pick(this.workers.filter(({ isGone, leavingSince }) => !isGone && leavingSince === undefined))
    const isPlanned = this.random.fraction() < 0.5
    this.note(`${worker.id} ${isPlanned ? 'leaves' : 'crashes'}`)
    await this.addWorker(worker.options.service)
    if (isPlanned) {
      worker.leave()
      await sleep(milliseconds + 2000)
    } else for (const host of this.hosts) host.disturb(milliseconds)
    await worker.stop()
    if (!isPlanned) await sleep(milliseconds)
    this.store.write('keyed.servers', worker.id, undefined)
  }

  private async changeConfiguration (): Promise<void> {
    const service = this.random.pick(services)
    this.note(`reads and votes go to ${service}`)
    this.configure(service)
  }

  private configure (service: typeof services[number]): void {
    this.version += this.random.integer(1, 3)
    const document = configurationDocument(this.version)
    const routes = (document.routes as Array<Record<string, unknown>>).map(route => route.service === 'app' ? { ...route, service } : route)
    this.store.write('keyed.op', 'config', { ...document, routes, services: [...document.services, { name: 'app-next' }] })
    for (const kind of requestKinds) this.journal.allow(kind, [streamKinds.has(kind) ? 'llm' : service])
  }

  private async addWorker (service: string): Promise<void> {
    this.workerCount += 1
    this.workers.push(await SoakWorker.start({
      id: `${service}-${this.workerCount}`,
      service,
      zone: this.random.pick(zones),
      stage: service === 'llm' ? 'decode' : undefined,
      journal: this.journal,
      leaseMilliseconds,
      report: (id, entry) => { this.store.write('keyed.servers', id, entry) }
    }))
  }
}

/**
 * One soak: host processes with a fake store and fake workers, callers with kept-alive connections, and a series of
 * overlapping faults that the seed determines. The faults affect hosts from outside: signals, network links, clocks,
 * the store, the workers, and changes of the configuration and of settings files.
 */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { SeededRandom } from '../../common/index.js'
import { FakeStore } from '../testing/FakeStore.js'
import { configurationDocument } from '../testing/platformTestSupport.js'
import { linkStates, type LoopbackProxy } from './LoopbackProxy.js'
import { type PromptCrashCounts, PromptCrashes } from './PromptCrashes.js'
import { SoakCaller } from './SoakCaller.js'
import { SoakHost } from './SoakHost.js'
import { requestKinds, SoakJournal, streamKinds } from './SoakJournal.js'
import { SoakWorker, workerBehaviours } from './SoakWorker.js'

/** Options of a soak. */
export interface SoakOptions {
  seed: number
  /** Time during which faults start. */
  milliseconds: number
  hosts: number
  callersPerHost: number
  /** True if time limits are checked too; a busy machine exceeds them. */
  checksDeadlines: boolean
  /** True if a part of some prompts crashes the workers that answer them. */
  crashingPrompts?: boolean
  /** True if the store comes back from older copies, besides the faults that the seed determines otherwise. */
  restoresStore?: boolean
}

/** Result of a soak. */
export interface SoakResult {
  violations: string[]
  outcomeCounts: SoakJournal['outcomeCounts']
  takenUp: SoakJournal['takenUp']
  faults: string[]
  orders: number
  /** Number of runs of requests whose time limit was checked. */
  deadlineChecks: number
  /** Number of requests at hosts that had passed on that a worker leaves. */
  noticeChecks: number
  /** Number of responses that workers wrote once more late. */
  lateCopies: number
  /** Undefined in a soak without prompts that crash workers. */
  crashCounts: PromptCrashCounts | undefined
  /** Log lines of all hosts. */
  log: string[]
}

const zones = ['zone-a', 'zone-b', 'zone-c']
const services = ['app', 'app-next'] as const

/** Time limit of the routes, in milliseconds: above the limits that the callers state. */
const routeTimeoutMilliseconds = 8000

/** Number of workers of each service, and of engines, at the start. */
const workersPerService = 2
const engineCount = 4
const engineCountOfCrashes = 8

/** Lease and grace period of the hosts: as short as the program allows, so that both end within a soak of seconds. */
const leaseMilliseconds = 1500
const graceSeconds = 6

/** Bounds of the time between two faults, and of the duration of a fault, in milliseconds. */
const minFaultIntervalMilliseconds = 150
const maxFaultIntervalMilliseconds = 700
const minFaultMilliseconds = 200
const maxFaultMilliseconds = 1800

/** Shortest time for which a worker that does not report to the store states that it leaves, in milliseconds. */
const silentLeaveMilliseconds = 3500

/** Limits that workers state, per second, and the time for which they state them, in milliseconds. */
const limitsPerSecond = [1, 3, 8] as const
const limitMilliseconds = [8000, 12_000] as const

/** Maximum time between the stops of two hosts in a rollout, in milliseconds. */
const maxStopIntervalMilliseconds = 2500

/** Share of seeds that play only planned work, around which the hosts have to lose nothing. */
const plannedWorkRatio = 0.4

/** Added to a seed for the random numbers of late copies of responses. */
const lateCopySeedOffset = 1_000_000

/** Bounds of the time between two workers that begin to repeat responses, and of the time for which they do. */
const lateCopyIntervalMilliseconds = [100, 400] as const
const lateCopyMilliseconds = [2000, 6000] as const

/** Maximum jump of a host's wall clock, forward or backward, in milliseconds. */
const maxClockJumpMilliseconds = 3000

/** Time after the end of a disturbance until a host has to keep its time limits again, in milliseconds. */
const stableWindowMilliseconds = 3000

/** Time after the last fault within which the hosts have to serve requests again, in milliseconds. */
const recoveryMilliseconds = 4000

/**
 * Times of a soak with prompts that crash workers, in milliseconds: until the first of these prompts; from a crash until
 * the worker's entry is removed, and until its successor starts; and from the last crash to the end of the soak.
 */
const calmMilliseconds = 2000
const entryRemovalMilliseconds = 1500
const successorMilliseconds = [2000, 4000] as const
const recoveryFromCrashesMilliseconds = 11_000

/**
 * Times around a restore of the store, in milliseconds: from the last restore to the copy, from the copy to the restore,
 * for which the store is away, and until the operator and the workers have written again what was lost.
 */
const copyMilliseconds = [500, 2000] as const
const lostMilliseconds = [300, 2500] as const
const awayMilliseconds = [0, 800] as const
const rewriteMilliseconds = [0, 1000] as const

/** Added to the seed for the restores, which leave the other random decisions of a seed as they are. */
const restoreSeedOffset = 1_000_003

/** Factor on the time between two faults in a soak with prompts that crash workers, which needs undisturbed hosts. */
const faultIntervalFactorOfCrashes = 8

/** Time after SIGTERM at which a process is killed, as on the platform, in milliseconds. */
const killMilliseconds = graceSeconds * 1000

/** Runs one soak and collects its result. */
export class Soak {
  private readonly journal = new SoakJournal()
  private readonly random: SeededRandom
  private readonly isPlannedWorkOnly: boolean
  /** Random numbers of the late copies, so that all other faults of a seed are the same with and without them. */
  private readonly copyRandom: SeededRandom
  private readonly faults: string[] = []
  private readonly startedAt = performance.now()
  private readonly activeFaults = new Set<Promise<void>>()
  private readonly workers: SoakWorker[] = []
  private hosts: SoakHost[] = []
  /** The newest entry of each worker, undefined if it was removed, and the newest configuration. */
  private readonly workerEntries = new Map<string, unknown>()
  private configuration: unknown
  private configurationVersion = 1
  private workerCount = 0
  private readonly crashes: PromptCrashes | undefined
  private sendsCrashingPrompts = false

  private constructor (private readonly options: SoakOptions, private readonly store: FakeStore) {
    this.random = new SeededRandom(options.seed)
    this.copyRandom = new SeededRandom(options.seed + lateCopySeedOffset)
    if (options.crashingPrompts === true) this.crashes = new PromptCrashes(stableWindowMilliseconds)
    this.isPlannedWorkOnly = this.random.fraction() < plannedWorkRatio
  }

  /** Runs the soak of one seed. */
  static async run (options: SoakOptions): Promise<SoakResult> {
    const soak = new Soak(options, await FakeStore.start())
    const directory = await mkdtemp(join(tmpdir(), 'dogwooddale-soak-'))
    try {
      await soak.prepare(directory)
      await soak.runFaults()
    } finally {
      await soak.stopAll()
      await rm(directory, { recursive: true, force: true })
    }
    return soak.result()
  }

  private async prepare (directory: string): Promise<void> {
    this.publishConfiguration('app')
    for (const service of services) for (let count = 0; count < workersPerService; count += 1) await this.addWorker(service)
    const engines = this.crashes === undefined ? engineCount : engineCountOfCrashes
    for (let count = 0; count < engines; count += 1) await this.addWorker('llm')
    this.hosts = await Promise.all(Array.from({ length: this.options.hosts }, (_, index) => SoakHost.start({
      name: `host-${index + 1}`,
      zone: zones[index % zones.length]!,
      directory,
      storeAddress: this.store.address,
      leaseMilliseconds,
      graceSeconds,
      clockJumps: [this.createClockJump(2, 6), this.createClockJump(7, 12)]
    })))
    this.journal.isUndisturbed = (name, since) => {
      const host = this.hosts.find(candidate => candidate.name === name)
      return this.options.checksDeadlines && host !== undefined && host.disturbedUntil + stableWindowMilliseconds <= since
    }
  }

  private createClockJump (earliestSecond: number, latestSecond: number): [number, number] {
    return [
      this.random.integer(earliestSecond, latestSecond),
      this.random.integer(-maxClockJumpMilliseconds, maxClockJumpMilliseconds)
    ]
  }

  private async runFaults (): Promise<void> {
    const callerAbort = new AbortController()
    const names = this.hosts.flatMap(({ name }) => Array.from({ length: this.options.callersPerHost }, (_, index) => `${name}-${index}`))
    const callers = names.map(name => new SoakCaller({
      name,
      hosts: this.hosts,
      journal: this.journal,
      random: new SeededRandom(this.random.integer(1, 1_000_000)),
      graceMilliseconds: killMilliseconds,
      checksDeadlines: this.options.checksDeadlines,
      stableWindowMilliseconds,
      crashes: this.crashes,
      sendsCrashingPrompts: () => this.sendsCrashingPrompts
    }))
    const callerRuns = callers.map(async caller => await caller.run(callerAbort.signal))
    if (this.crashes !== undefined) await sleep(calmMilliseconds)
    this.sendsCrashingPrompts = this.crashes !== undefined
    const intervalFactor = this.crashes === undefined ? 1 : faultIntervalFactorOfCrashes
    const end = performance.now() + this.options.milliseconds
    this.startFaultTask(this.repeatResponses(end))
    if (this.options.restoresStore === true) this.startFaultTask(this.restoreStore(end))
    while (performance.now() < end) {
      await sleep(intervalFactor * this.random.integer(minFaultIntervalMilliseconds, maxFaultIntervalMilliseconds))
      this.startFault()
    }
    this.sendsCrashingPrompts = false
    await Promise.all(this.activeFaults)
    const servedBeforeRecovery = this.journal.outcomeCounts.whole
    await sleep(this.crashes === undefined ? recoveryMilliseconds : recoveryFromCrashesMilliseconds)
    callerAbort.abort()
    await Promise.all(callerRuns)
    if (this.journal.outcomeCounts.whole === servedBeforeRecovery) this.journal.recordViolation('RECOVER', 'no request is served after the last fault')
    this.checkRequestLogs()
    for (const [guarantee, description] of this.crashes?.violations() ?? []) this.journal.recordViolation(guarantee, description)
  }

  /** Checks that no host logs the end of a request more than once, since usage is counted from these log lines. */
  private checkRequestLogs (): void {
    for (const host of this.hosts) {
      for (const [id, count] of host.loggedEndCounts) if (count > 1) this.journal.recordViolation('USE', `${host.name} logs the end of ${id} ${count} times`)
    }
  }

  private async stopAll (): Promise<void> {
    await Promise.all(this.hosts.map(async host => await host.stop()))
    await Promise.all(this.workers.filter(({ isStopped }) => !isStopped).map(async worker => await worker.stop()))
    await this.store.stop()
  }

  private result (): SoakResult {
    const { violations, outcomeCounts, takenUp, orders, deadlineChecks } = this.journal
    return {
      violations,
      outcomeCounts,
      takenUp,
      faults: this.faults,
      orders: orders.length,
      deadlineChecks,
      noticeChecks: this.journal.notices.checks,
      lateCopies: this.workers.reduce((sum, worker) => sum + worker.lateCopies, 0),
      crashCounts: this.crashes?.counts,
      log: this.hosts.flatMap(({ log }) => log)
    }
  }

  private startFault (): void {
    const milliseconds = this.random.integer(minFaultMilliseconds, maxFaultMilliseconds)
    const plannedWork = [
      () => this.stopHosts(), () => this.changeSettings(), () => this.replaceWorker(milliseconds),
      () => this.changeConfiguration(), () => this.limitWorkers()
    ]
    const faults = [
      ...plannedWork, () => this.restartHost(), () => this.restartHost(), () => this.pauseHost(milliseconds),
      () => this.disturbLink(milliseconds), () => this.disturbLink(milliseconds), () => this.disturbStore(milliseconds),
      () => this.changeWorkerBehaviour(milliseconds), () => this.changeWorkerBehaviour(milliseconds)
    ]
    this.startFaultTask(this.random.pick(this.isPlannedWorkOnly ? plannedWork : faults)())
  }

  private startFaultTask (fault: Promise<void>): void {
    this.activeFaults.add(fault)
    fault.then(() => { this.activeFaults.delete(fault) }, error => { this.journal.recordViolation('SOAK', String(error)) })
  }

  private recordFault (description: string): void {
    this.faults.push(`${((performance.now() - this.startedAt) / 1000).toFixed(2)} s ${description}`)
  }

  /** Ends a host's process by SIGTERM (a planned stop) or SIGKILL (a crash), and starts another. */
  private async restartHost (): Promise<void> {
    await this.restart(this.random.pick(this.hosts), this.random.pick(['SIGTERM', 'SIGKILL'] as const))
  }

  /** Stops the hosts one after the other, as a rollout does. */
  private async stopHosts (): Promise<void> {
    const first = this.random.integer(0, this.hosts.length - 1)
    const intervalMilliseconds = this.random.integer(0, maxStopIntervalMilliseconds)
    await Promise.all(this.hosts.map(async (_, index) => {
      await sleep(index * intervalMilliseconds)
      await this.restart(this.hosts[(first + index) % this.hosts.length]!, 'SIGTERM')
    }))
  }

  private async restart (host: SoakHost, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    if (!host.isServing) return
    this.recordFault(`${signal} to ${host.name}`)
    if (signal === 'SIGKILL') host.markDisturbed(0)
    host.signal(signal)
    const signalledAt = performance.now()
    const killTimer = setTimeout(() => {
      const isLate = this.options.checksDeadlines && host.disturbedUntil < signalledAt
      if (isLate) this.journal.recordViolation('LOST', `${host.name} has not ended ${killMilliseconds} ms after ${signal}`)
      host.signal('SIGKILL')
    }, killMilliseconds)
    await host.waitForExit()
    clearTimeout(killTimer)
    this.journal.notices.forget(host.name)
    await host.launch()
    host.markDisturbed(0)
  }

  private async pauseHost (milliseconds: number): Promise<void> {
    const host = this.random.pick(this.hosts)
    if (!host.isServing) return
    this.recordFault(`${host.name} is paused for ${milliseconds} ms`)
    host.markDisturbed(milliseconds)
    host.signal('SIGSTOP')
    await sleep(milliseconds)
    this.journal.notices.forget(host.name)
    host.signal('SIGCONT')
    host.markDisturbed(0)
  }

  private async changeSettings (): Promise<void> {
    const host = this.random.pick(this.hosts)
    const withSignal = this.random.fraction() < 0.5
    this.recordFault(`settings of ${host.name} change ${withSignal ? 'with' : 'without'} SIGHUP`)
    host.writeSettings(this.random.integer(1, 50))
    if (withSignal) host.signal('SIGHUP')
  }

  private async disturbLink (milliseconds: number): Promise<void> {
    const state = this.random.pick(linkStates)
    const host = this.random.pick(this.hosts)
    const worker = this.random.pick(this.workers.filter(({ isStopped }) => !isStopped))
    const isStoreLink = this.random.fraction() < 0.5
    const link: LoopbackProxy = isStoreLink ? host.storeLink : worker.link
    this.recordFault(`link of ${isStoreLink ? `${host.name} to the store` : worker.id} has the state ${state} for ${milliseconds} ms`)
    const affectedHosts = isStoreLink ? [host] : this.hosts
    for (const affected of affectedHosts) affected.markDisturbed(milliseconds)
    link.setState(state)
    await sleep(milliseconds)
    link.setState('open')
    for (const affected of affectedHosts) {
      affected.markDisturbed(0)
      if (!isStoreLink) this.journal.notices.forgetRates(affected.name)
    }
  }

  private async disturbStore (milliseconds: number): Promise<void> {
    const fault = this.random.pick(['silent', 'refused', 'compacted'] as const)
    this.recordFault(`the store has the fault ${fault} for ${milliseconds} ms`)
    if (fault === 'compacted') {
      this.store.compact('keyed.servers')
      this.store.compact('keyed.op')
      return
    }
    for (const host of this.hosts) host.markDisturbed(milliseconds)
    this.store.mode = fault
    await sleep(milliseconds)
    this.store.mode = 'normal'
    for (const host of this.hosts) host.markDisturbed(0)
  }

  /** Brings the store back from older copies until the faults end; what was lost is written again after each restore. */
  private async restoreStore (end: number): Promise<void> {
    const random = new SeededRandom(this.options.seed + restoreSeedOffset)
    for (;;) {
      await sleep(random.integer(...copyMilliseconds))
      const copy = this.store.copy()
      const lost = random.integer(...lostMilliseconds)
      const [away, rewrite] = [random.integer(...awayMilliseconds), random.integer(...rewriteMilliseconds)]
      await sleep(lost)
      if (performance.now() >= end) return
      this.recordFault(`the store is away for ${away} ms, loses ${lost + away} ms, and receives them again after ${rewrite} ms`)
      for (const host of this.hosts) host.markDisturbed(away + rewrite)
      this.store.mode = 'silent'
      await sleep(away)
      this.store.mode = 'normal'
      this.store.restore(copy, { keepsConnections: random.fraction() < 0.5 })
      await sleep(rewrite)
      this.store.write('keyed.op', 'config', this.configuration)
      for (const [id, entry] of this.workerEntries) this.store.write('keyed.servers', id, entry)
      for (const host of this.hosts) host.markDisturbed(0)
    }
  }

  private writeWorkerEntry (id: string, entry: unknown): void {
    this.workerEntries.set(id, entry)
    this.store.write('keyed.servers', id, entry)
  }

  private async changeWorkerBehaviour (milliseconds: number): Promise<void> {
    const worker = this.random.pick(this.workers.filter(({ isStopped }) => !isStopped))
    const behaviour = this.random.pick(workerBehaviours)
    this.recordFault(`${worker.id} has the behaviour ${behaviour} for ${milliseconds} ms`)
    for (const host of this.hosts) host.markDisturbed(milliseconds)
    worker.behaviour = behaviour
    await sleep(milliseconds)
    worker.behaviour = 'normal'
  }

  /** Makes workers repeat responses late, beside the other faults; not with planned work or crashes alone. */
  private async repeatResponses (end: number): Promise<void> {
    if (this.isPlannedWorkOnly || this.crashes !== undefined) return
    while (performance.now() < end) {
      await sleep(this.copyRandom.integer(...lateCopyIntervalMilliseconds))
      const worker = this.copyRandom.pick(this.workers.filter(({ isStopped }) => !isStopped))
      const milliseconds = this.copyRandom.integer(...lateCopyMilliseconds)
      this.recordFault(`${worker.id} repeats responses late for ${milliseconds} ms`)
      worker.repeatResponses(milliseconds)
    }
  }

  /** Replaces a worker by a new one of the same service. The replaced worker is drained first, or it crashes. */
  private async replaceWorker (milliseconds: number): Promise<void> {
    const worker = this.random.pick(
      this.workers.filter(({ isStopped, isLeaving }) => !isStopped && !isLeaving)
    )
    const isPlanned = this.random.fraction() < 0.5 || this.isPlannedWorkOnly
    const reportsDraining = this.random.fraction() < 0.5
    const leave = reportsDraining ? 'drains' : 'leaves without a report to the store'
    this.recordFault(`${worker.id} ${isPlanned ? leave : 'crashes'}`)
    await this.addWorker(worker.options.service)
    if (isPlanned) {
      worker.announceLeaving()
      if (reportsDraining) worker.startDraining()
      await sleep(milliseconds + (reportsDraining ? 2000 : silentLeaveMilliseconds))
    } else for (const host of this.hosts) host.markDisturbed(milliseconds)
    await worker.stop()
    if (!isPlanned) await sleep(milliseconds)
    this.writeWorkerEntry(worker.id, undefined)
  }

  /** Makes some workers of a service state a limit. */
  private async limitWorkers (): Promise<void> {
    const service = this.random.pick([...services, 'llm'])
    const share = this.random.fraction()
    const perSecond = this.random.pick(limitsPerSecond)
    const milliseconds = this.random.integer(...limitMilliseconds)
    const running = this.workers.filter(worker => worker.options.service === service && !worker.isStopped)
    const workers = running.filter(() => this.random.fraction() < share)
    this.recordFault(`${workers.map(({ id }) => id).join(', ') || 'no worker'} take ${perSecond} requests a second for ${milliseconds} ms`)
    for (const worker of workers) worker.stateLimit(perSecond)
    await sleep(milliseconds)
    for (const worker of workers) worker.stateLimit(undefined)
  }

  private async changeConfiguration (): Promise<void> {
    const service = this.random.pick(services)
    this.recordFault(`reads and votes go to ${service}`)
    this.publishConfiguration(service)
  }

  private publishConfiguration (service: typeof services[number]): void {
    this.configurationVersion += this.random.integer(1, 3)
    const document = configurationDocument(this.configurationVersion)
    const routes = (document.routes as Array<Record<string, unknown>>).map(route => ({
      ...route, 'timeout-ms': routeTimeoutMilliseconds, ...(route.service === 'app' ? { service } : {})
    }))
    this.configuration = { ...document, routes, services: [...document.services, { name: 'app-next' }] }
    this.store.write('keyed.op', 'config', this.configuration)
    for (const kind of requestKinds) this.journal.allowServices(kind, [streamKinds.has(kind) ? 'llm' : service])
  }

  private async addWorker (service: string): Promise<void> {
    this.workerCount += 1
    this.workers.push(await SoakWorker.start({
      id: `${service}-${this.workerCount}`,
      service,
      zone: this.random.pick(zones),
      stage: service === 'llm' ? 'decode' : undefined,
      journal: this.journal,
      random: new SeededRandom(this.copyRandom.integer(1, 1_000_000)),
      // The end of a connection may be that of a crashed worker.
      version: `v${1 + Math.floor(this.workerCount / 2) % 2}`,
      streamFraming: this.crashes !== undefined && this.workerCount % 2 === 0 ? 'connection' : 'chunks',
      leaseMilliseconds,
      writeEntry: (id, entry) => this.writeWorkerEntry(id, entry),
      onCrashingPrompt: id => this.recordCrashingPrompt(id),
      onCrash: worker => this.startFaultTask(this.crashWorker(worker))
    }))
  }

  /** Records a prompt that crashes workers if its host was undisturbed when it was sent. */
  private recordCrashingPrompt (id: string): void {
    const sent = this.journal.sentRequest(id)
    const host = this.hosts.find(({ name }) => name === sent?.host)
    if (sent === undefined || host === undefined || host.disturbedUntil + stableWindowMilliseconds > sent.sentAt) return
    this.crashes?.recordArrival(id, performance.now())
  }

  /** Ends a worker whose prompt crashes it, and starts its successor. */
  private async crashWorker (worker: SoakWorker): Promise<void> {
    this.recordFault(`a prompt crashes ${worker.id}`)
    this.crashes?.recordCrash(performance.now())
    const successorAfterMilliseconds = this.random.integer(...successorMilliseconds)
    await worker.stop()
    await sleep(entryRemovalMilliseconds)
    this.writeWorkerEntry(worker.id, undefined)
    await sleep(successorAfterMilliseconds - entryRemovalMilliseconds)
    await this.addWorker(worker.options.service)
  }
}

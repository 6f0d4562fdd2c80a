/**
 * An entry host of a soak: the program itself as a child process, with its settings file, its own link to the store,
 * and its log. Signals go only to processes that this class started, each by its own id.
 */
import { type ChildProcess, spawn } from 'node:child_process'
import { renameSync, writeFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { createInterface } from 'node:readline'
import type { Readable } from 'node:stream'
import { settingsTextOf } from '../../testing/index.js'
import { unusedAddress } from '../testing/platformTestSupport.js'
import { LoopbackProxy } from './LoopbackProxy.js'

/** Options of a host. */
export interface SoakHostOptions {
  name: string
  zone: string
  directory: string
  storeAddress: string
  leaseMilliseconds: number
  graceSeconds: number
  /** Jumps of the wall clock: seconds after the start of the process, and milliseconds forward (negative: backward). */
  clockJumps: Array<[number, number]>
}

/** A host and its current process. */
export class SoakHost {
  /** `ip:port` for callers; undefined while no process listens. */
  callerAddress: string | undefined
  /** Log lines of all processes of this host. */
  readonly log: string[] = []
  /** Number of log lines that report the end of a request, by request id. */
  readonly loggedEndCounts = new Map<string, number>()
  /** Number of processes that this host has started; identifies the current one. */
  processCount = 0
  /** Monotonic times in milliseconds at which processes were told to stop by SIGTERM, by the number of the process. */
  readonly stopTimes = new Map<number, number>()
  /** Numbers of the processes that were paused when SIGTERM was sent, so that they learned of it late. */
  readonly lateStops = new Set<number>()
  /** Monotonic time in milliseconds until which a fault disturbs the host. */
  disturbedUntil = 0
  private isPaused = false
  private child: ChildProcess | undefined
  private exited: Promise<void> = Promise.resolve()

  private constructor (
    readonly options: SoakHostOptions,
    readonly storeLink: LoopbackProxy,
    /** Address for the questions of other hosts; the same for all processes of this host. */
    private readonly peerAddress: string
  ) {}

  static async start (options: SoakHostOptions): Promise<SoakHost> {
    const host = new SoakHost(options, await LoopbackProxy.start(options.storeAddress), await unusedAddress())
    await host.launch()
    return host
  }

  get name (): string {
    return this.options.name
  }

  /** True while a process runs that was not told to stop. */
  get isServing (): boolean {
    return this.child !== undefined && !this.isStopping
  }

  /** True if the current or latest process was told to stop. */
  get isStopping (): boolean {
    return this.stopTimes.has(this.processCount)
  }

  /** Starts a process. Resolves when it listens or has exited. */
  async launch (): Promise<void> {
    this.writeSettings(0)
    this.processCount += 1
    this.isPaused = false
    const { directory, name, clockJumps } = this.options
    const child = spawn(process.execPath, [resolve('dist/soakHost.cjs')], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, NODE_OPTIONS: '', DOGWOODDALE_NODE_FILE: join(directory, `${name}.toml`), SOAK_CLOCK_JUMPS: JSON.stringify(clockJumps) }
    })
    this.child = child
    this.exited = new Promise(resolve => child.once('exit', () => {
      this.callerAddress = undefined
      this.child = undefined
      resolve()
    }))
    createInterface({ input: child.stderr as Readable }).on('line', line => this.log.push(line))
    await new Promise<void>(resolve => {
      createInterface({ input: child.stdout as Readable }).on('line', line => {
        this.readLogLine(line)
        if (line.includes('event=host_listening')) resolve()
      })
      child.once('exit', () => resolve())
    })
  }

  signal (signal: NodeJS.Signals): void {
    if (signal === 'SIGTERM') this.stopTimes.set(this.processCount, performance.now())
    if (signal === 'SIGTERM' && this.isPaused) this.lateStops.add(this.processCount)
    if (signal === 'SIGSTOP' || signal === 'SIGCONT') this.isPaused = signal === 'SIGSTOP'
    this.child?.kill(signal)
  }

  /** Replaces the settings file, as the platform does before a SIGHUP. `retrySlack`: added to the base value of 100. */
  writeSettings (retrySlack: number): void {
    const { directory, name, zone, leaseMilliseconds, graceSeconds } = this.options
    const file = join(directory, `${name}.toml`)
    writeFileSync(`${file}.new`, settingsTextOf({
      host: { id: name, zone, region: 'coast' },
      listen: { callers: '127.0.0.1:0', readiness: '127.0.0.1:0', peers: this.peerAddress },
      store: { address: this.storeLink.address },
      bounds: { graceSeconds, retryRatio: 0.2, retrySlack: 100 + retrySlack, stableWindowMilliseconds: 3000, leaseMilliseconds }
    }))
    renameSync(`${file}.new`, file)
  }

  /** Resolves when the current process has exited. */
  async waitForExit (): Promise<void> {
    await this.exited
  }

  async stop (): Promise<void> {
    this.signal('SIGCONT')
    this.signal('SIGKILL')
    await this.exited
    await this.storeLink.stop()
  }

  /** Records that a fault disturbs the host for the given time from now. */
  markDisturbed (milliseconds: number): void {
    this.disturbedUntil = Math.max(this.disturbedUntil, performance.now() + milliseconds)
  }

  private readLogLine (line: string): void {
    this.log.push(line)
    const listeningMatch = /event=host_listening callers=(\S+)/.exec(line)
    if (listeningMatch !== null) this.callerAddress = listeningMatch[1]
    const requestId = /event=request_ended request=(\S+)/.exec(line)?.[1]
    if (requestId !== undefined) this.loggedEndCounts.set(requestId, (this.loggedEndCounts.get(requestId) ?? 0) + 1)
  }
}

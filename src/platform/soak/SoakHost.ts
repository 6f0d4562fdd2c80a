/**
 * One entry host of a soak: the program itself as a process, with its settings file, the link to the store that only
 * it uses, and its log. Only processes that this class started are signalled, each by its own id.
 */
import { type ChildProcess, spawn } from 'node:child_process'
import { renameSync, writeFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { createInterface } from 'node:readline'
import type { Readable } from 'node:stream'
import { settingsTextOf } from '../../testing/index.js'
import { LoopbackProxy } from './LoopbackProxy.js'

/** Options of a host. */
export interface SoakHostOptions {
  name: string
  zone: string
  directory: string
  storeAddress: string
  leaseMilliseconds: number
  graceSeconds: number
  /** Jumps of the time of day: seconds after the start, and milliseconds forward. */
  clockJumps: Array<[number, number]>
}

/** A host and its present process. */
export class SoakHost {
  /** `ip:port` for callers; undefined while no process listens. */
  callers: string | undefined
  /** Lines of all processes that this host had. */
  readonly log: string[] = []
  /** Requests that the log says have ended, with how often it says so. */
  readonly ended = new Map<string, number>()
  /** Counts the processes that this host had; the present one has this number. */
  lives = 0
  /** Processes that were told to stop as planned, by number. */
  readonly stoppedLives = new Set<number>()
  /** Monotonic time until which something outside disturbs the host. */
  disturbedUntil = 0
  private child: ChildProcess | undefined
  private exited: Promise<void> = Promise.resolve()

  private constructor (readonly options: SoakHostOptions, readonly storeLink: LoopbackProxy) {}

  static async start (options: SoakHostOptions): Promise<SoakHost> {
    const host = new SoakHost(options, await LoopbackProxy.start(options.storeAddress))
    await host.launch()
    return host
  }

  get name (): string {
    return this.options.name
  }

  /** True while a process runs that nobody told to stop. */
  get isServing (): boolean {
    return this.child !== undefined && !this.stoppedLives.has(this.lives)
  }

  /** Starts a process. Resolves when it listens. */
  async launch (): Promise<void> {
    this.writeSettings(0)
    this.lives += 1
    const { directory, name, clockJumps } = this.options
    const child = spawn(process.execPath, [resolve('dist/soakHost.cjs')], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, NODE_OPTIONS: '', DOGWOODDALE_NODE_FILE: join(directory, `${name}.toml`), SOAK_CLOCK_JUMPS: JSON.stringify(clockJumps) }
    })
    this.child = child
    this.exited = new Promise(resolve => child.once('exit', () => {
      this.callers = undefined
      this.child = undefined
      resolve()
    }))
    createInterface({ input: child.stderr as Readable }).on('line', line => this.log.push(line))
    await new Promise<void>(resolve => {
      createInterface({ input: child.stdout as Readable }).on('line', line => {
        this.takeLine(line)
        if (line.includes('event=host_listening')) resolve()
      })
      child.once('exit', () => resolve())
    })
  }

  signal (signal: NodeJS.Signals): void {
    if (signal === 'SIGTERM') this.stoppedLives.add(this.lives)
    this.child?.kill(signal)
  }

  /** Writes the settings anew, as the platform does before a SIGHUP. */
  writeSettings (retrySlack: number): void {
    const { directory, name, zone, leaseMilliseconds, graceSeconds } = this.options
    const file = join(directory, `${name}.toml`)
    writeFileSync(`${file}.new`, settingsTextOf({
      host: { id: name, zone, region: 'coast' },
      listen: { callers: '127.0.0.1:0', readiness: '127.0.0.1:0' },
      store: { address: this.storeLink.address },
      bounds: { graceSeconds, retryRatio: 0.2, retrySlack: 100 + retrySlack, stableWindowMilliseconds: 3000, leaseMilliseconds }
    }))
    renameSync(`${file}.new`, file)
  }

  /** Resolves when the present process has ended. */
  async whenExited (): Promise<void> {
    await this.exited
  }

  async stop (): Promise<void> {
    this.signal('SIGCONT')
    this.signal('SIGKILL')
    await this.exited
    await this.storeLink.stop()
  }

  /** Notes that something disturbs the host now and for a time. */
  disturb (milliseconds: number): void {
    this.disturbedUntil = Math.max(this.disturbedUntil, performance.now() + milliseconds)
  }

  private takeLine (line: string): void {
    this.log.push(line)
    const listening = /event=host_listening callers=(\S+)/.exec(line)
    if (listening !== null) this.callers = listening[1]
    const ended = /event=request_ended request=(\S+)/.exec(line)?.[1]
    if (ended !== undefined) this.ended.set(ended, (this.ended.get(ended) ?? 0) + 1)
  }
}

/**
 * One process that a `ProcessGroup` started.
 */
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'
import type { Readable } from 'node:stream'
import { z } from 'zod'

/** How a process ended. */
export interface ExitStatus {
  /** Exit status; null if a signal ended it. */
  code: number | null
  signal: NodeJS.Signals | null
}

/** The line that a process prints on standard output when it serves. */
const readinessSchema = z.object({
  ready: z.literal(true),
  process: z.string(),
  addresses: z.record(z.string(), z.union([z.string(), z.array(z.string())]))
})
type Readiness = z.infer<typeof readinessSchema>

/** Older lines are dropped beyond this number. */
const maxLogLines = 20_000

/** Lines shown when a start fails. */
const shownLogLines = 20

function readinessOf (line: string): Readiness | undefined {
  try {
    return readinessSchema.safeParse(JSON.parse(line)).data
  } catch {
    return undefined
  }
}

/** A process and the signals to it. */
export class StartedProcess {
  /** Addresses of the readiness line, by name. */
  addresses: Readiness['addresses'] = {}
  /** Lines of standard error, the oldest first. */
  readonly logLines: string[] = []
  /** Resolves when the process has ended. */
  readonly exited: Promise<ExitStatus>
  private readonly ready: Promise<Readiness>
  /** Resolves after the end of the process and of its output. */
  private readonly closed: Promise<void>
  private readonly watchers = new Set<(line: string) => void>()
  private hasExited = false

  constructor (readonly name: string, private readonly child: ChildProcess) {
    this.exited = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        this.hasExited = true
        resolve({ code, signal })
      })
      // A process that could not be started has no exit event.
      child.once('error', () => {
        if (child.pid === undefined) resolve({ code: null, signal: null })
      })
    })
    this.closed = new Promise(resolve => child.once('close', () => resolve()))
    createInterface({ input: child.stderr as Readable }).on('line', line => this.keepLine(line))
    this.ready = new Promise((resolve, reject) => {
      createInterface({ input: child.stdout as Readable }).on('line', line => {
        const readiness = readinessOf(line)
        if (readiness === undefined) this.keepLine(line)
        else resolve(readiness)
      })
      child.once('error', reject)
      // The close event comes after the last line of output, which tells the reason.
      child.once('close', code => {
        reject(new Error(`"${name}" ended with status ${code} before it was ready:\n${this.lastLines()}`))
      })
    })
    this.ready.catch(() => {})
  }

  get pid (): number {
    return this.child.pid ?? 0
  }

  get isRunning (): boolean {
    return !this.hasExited && this.child.pid !== undefined
  }

  /** The first address of the given name, `ip:port`. */
  address (name = 'http'): string {
    const address = [this.addresses[name] ?? []].flat()[0]
    if (address === undefined) throw new Error(`"${this.name}" has no address "${name}"`)
    return address
  }

  /** `http://ip:port` of the given name. */
  origin (name = 'http'): string {
    return `http://${this.address(name)}`
  }

  /** Resolves with the first log line, past or to come, that matches. Rejects if the process ends without one. */
  async logLine (pattern: RegExp): Promise<string> {
    const past = this.logLines.find(line => pattern.test(line))
    if (past !== undefined) return past
    const seen = new Promise<string>(resolve => {
      const watch = (line: string) => {
        if (!pattern.test(line)) return
        this.watchers.delete(watch)
        resolve(line)
      }
      this.watchers.add(watch)
    })
    const ended = this.closed.then(() => {
      throw new Error(`"${this.name}" ended without a log line like ${String(pattern)}`)
    })
    return await Promise.race([seen, ended])
  }

  /** Sends SIGTERM and resolves with the exit status. */
  async terminate (): Promise<ExitStatus> {
    this.signal('SIGTERM')
    return await this.exited
  }

  /** Sends SIGKILL and resolves when the process has ended. */
  async kill (): Promise<ExitStatus> {
    this.signal('SIGKILL')
    return await this.exited
  }

  /** Stops the process with SIGSTOP. */
  pause (): void {
    this.signal('SIGSTOP')
  }

  /** Lets a paused process go on. */
  resume (): void {
    this.signal('SIGCONT')
  }

  /** Sends a signal if the process has not ended. */
  signal (signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal)
  }

  /** Ends the process with SIGTERM, or with SIGKILL after the time. */
  async terminateOrKill (milliseconds: number): Promise<void> {
    this.resume()
    const timer = setTimeout(() => this.signal('SIGKILL'), milliseconds)
    await this.terminate()
    clearTimeout(timer)
  }

  /** Waits for the readiness line; kills the process and throws if it does not come in time. */
  async becomeReady (milliseconds: number): Promise<void> {
    const timer = setTimeout(() => this.signal('SIGKILL'), milliseconds)
    try {
      this.addresses = (await this.ready).addresses
    } finally {
      clearTimeout(timer)
    }
  }

  private keepLine (line: string): void {
    this.logLines.push(line)
    if (this.logLines.length > maxLogLines) this.logLines.shift()
    for (const watch of [...this.watchers]) watch(line)
  }

  private lastLines (): string {
    return this.logLines.slice(-shownLogLines).join('\n')
  }
}

/**
 * A process that a `ProcessGroup` started: its output, its addresses, its end, and signals to it.
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

/** The readiness line, which a process prints on standard output when it has started to serve. */
const readinessSchema = z.object({
  ready: z.literal(true),
  process: z.string(),
  addresses: z.record(z.string(), z.union([z.string(), z.array(z.string())]))
})
type Readiness = z.infer<typeof readinessSchema>

/** Bounds the memory for log lines; the oldest lines are dropped. */
const maxLogLines = 20_000

/** Log lines quoted in the error of a failed start. */
const maxErrorLogLines = 20

function readinessOf (line: string): Readiness | undefined {
  try {
    return readinessSchema.safeParse(JSON.parse(line)).data
  } catch {
    return undefined
  }
}

/** Reads the output of a child process and sends signals to it. */
export class StartedProcess {
  /** Listen addresses from the readiness line, by name. */
  addresses: Readiness['addresses'] = {}
  /** Lines of standard error and of standard output, the readiness line excepted, oldest first. */
  readonly logLines: string[] = []
  /** Resolves when the process has exited or could not be spawned. */
  readonly exited: Promise<ExitStatus>
  private readonly ready: Promise<Readiness>
  /** Resolves when the process has exited and all its output has been read. */
  private readonly outputClosed: Promise<void>
  private readonly lineListeners = new Set<(line: string) => void>()
  private hasExited = false

  constructor (readonly name: string, private readonly child: ChildProcess) {
    this.exited = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        this.hasExited = true
        resolve({ code, signal })
      })
      // A process that could not be spawned emits no exit event.
      child.once('error', () => {
        if (child.pid === undefined) resolve({ code: null, signal: null })
      })
    })
    this.outputClosed = new Promise(resolve => child.once('close', () => resolve()))
    createInterface({ input: child.stderr as Readable }).on('line', line => this.storeLogLine(line))
    this.ready = new Promise((resolve, reject) => {
      createInterface({ input: child.stdout as Readable }).on('line', line => {
        const readiness = readinessOf(line)
        if (readiness === undefined) this.storeLogLine(line)
        else resolve(readiness)
      })
      child.once('error', reject)
      // Not the exit event: output can still arrive after it, and the last lines state why the process exited.
      child.once('close', code => {
        reject(new Error(`"${name}" exited with status ${code} before it was ready:\n${this.lastLogLines()}`))
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

  /** Resolves with the first stored or future log line that matches. Rejects if the process exits without one. */
  async waitForLogLine (pattern: RegExp): Promise<string> {
    const earlierLine = this.logLines.find(line => pattern.test(line))
    if (earlierLine !== undefined) return earlierLine
    const matchingLine = new Promise<string>(resolve => {
      const listener = (line: string) => {
        if (!pattern.test(line)) return
        this.lineListeners.delete(listener)
        resolve(line)
      }
      this.lineListeners.add(listener)
    })
    const exitWithoutMatch = this.outputClosed.then(() => {
      throw new Error(`"${this.name}" exited without a log line that matches ${String(pattern)}`)
    })
    return await Promise.race([matchingLine, exitWithoutMatch])
  }

  /** Sends SIGTERM and resolves with the exit status. */
  async terminate (): Promise<ExitStatus> {
    this.signal('SIGTERM')
    return await this.exited
  }

  /** Sends SIGKILL and resolves with the exit status. */
  async kill (): Promise<ExitStatus> {
    this.signal('SIGKILL')
    return await this.exited
  }

  /** Suspends the process with SIGSTOP. */
  pause (): void {
    this.signal('SIGSTOP')
  }

  /** Continues a suspended process with SIGCONT. */
  resume (): void {
    this.signal('SIGCONT')
  }

  /** Sends a signal if the process is running. */
  signal (signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal)
  }

  /** Resumes the process if it is suspended, and ends it with SIGTERM, or with SIGKILL after the timeout. */
  async terminateOrKill (timeoutMilliseconds: number): Promise<void> {
    this.resume()
    const timer = setTimeout(() => this.signal('SIGKILL'), timeoutMilliseconds)
    await this.terminate()
    clearTimeout(timer)
  }

  /** Waits for the readiness line; kills the process and throws if the line does not come in time. */
  async waitUntilReady (timeoutMilliseconds: number): Promise<void> {
    const timer = setTimeout(() => this.signal('SIGKILL'), timeoutMilliseconds)
    try {
      this.addresses = (await this.ready).addresses
    } finally {
      clearTimeout(timer)
    }
  }

  private storeLogLine (line: string): void {
    this.logLines.push(line)
    if (this.logLines.length > maxLogLines) this.logLines.shift()
    for (const listener of [...this.lineListeners]) listener(line)
  }

  private lastLogLines (): string {
    return this.logLines.slice(-maxErrorLogLines).join('\n')
  }
}

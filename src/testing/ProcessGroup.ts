/**
 * Starts and ends processes of the program for tests, the demo and benchmarks. Each process reads its settings from a
 * TOML file in a temporary directory and counts as started when it has printed its readiness line. The group sends
 * signals only to processes that it started, each by its process id.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { spawn } from 'node:child_process'
import { stringify } from 'smol-toml'
import { snakeCaseOf } from '../settings/index.js'
import { StartedProcess } from './StartedProcess.js'

/** Options of a group. */
export interface ProcessGroupOptions {
  /** The bundle to run. Default: `dist/dogwooddale.cjs` under the working directory. */
  program?: string
  /** Time limit for a process to become ready; at the limit it is killed, and its start fails. */
  readyTimeoutMilliseconds?: number
  /** Time after SIGTERM at which `stopAll` kills processes that are still running. */
  stopTimeoutMilliseconds?: number
}

/** Options of one process. */
export interface StartOptions {
  /** Name of the process, unique in the group. */
  name: string
  /** Subcommand, e.g. `['stand-in', 'log']`. */
  command: string[]
  /** Settings with keys in camelCase, as the schema of the subcommand has them; undefined members are omitted. */
  settings: Record<string, unknown>
  /** Environment variables in addition to those of this process. */
  environment?: Record<string, string>
  /** Command-line options for Node.js, e.g. `['--cpu-prof']`. */
  nodeArguments?: string[]
}

/**
 * Default time limit for a process to become ready. A start takes 0.3 s on an idle machine, but can take more than 20 s
 * when several test runs share the machine.
 */
const defaultReadyTimeoutMilliseconds = 60_000

/** Maximum number of processes that one group runs at a time; the machine allows a few hundred for all groups. */
const maxProcesses = 300

/** Writes settings as the text of a TOML file, with snake_case keys. */
export function settingsTextOf (settings: Record<string, unknown>): string {
  return stringify(withSnakeCaseKeys(settings) as Record<string, unknown>)
}

function withSnakeCaseKeys (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(withSnakeCaseKeys)
  if (typeof value !== 'object' || value === null || value instanceof Date) return value
  return Object.fromEntries(Object.entries(value)
    .filter(([, member]) => member !== undefined)
    .map(([key, member]) => [snakeCaseOf(key), withSnakeCaseKeys(member)]))
}

/** The processes of one test, demo or benchmark. */
export class ProcessGroup {
  private readonly processes = new Map<string, StartedProcess>()
  private directory: Promise<string> | undefined
  private readonly killAll = () => {
    for (const started of this.running()) started.signal('SIGKILL')
  }

  constructor (private readonly options: ProcessGroupOptions = {}) {
    process.once('exit', this.killAll)
  }

  /** The processes that are running, in the order of their start. */
  running (): StartedProcess[] {
    return [...this.processes.values()].filter(started => started.isRunning)
  }

  /**
   * Starts a process and waits until it is ready. Throws, with the last log lines of the process, if it exits before that
   * or is not ready within the timeout.
   */
  async start (options: StartOptions): Promise<StartedProcess> {
    if (this.processes.get(options.name)?.isRunning) throw new Error(`the process "${options.name}" is already running`)
    if (this.running().length >= maxProcesses) throw new Error(`the group already runs ${maxProcesses} processes, the maximum`)
    this.directory ??= mkdtemp(join(tmpdir(), 'dogwooddale-'))
    const settingsFile = join(await this.directory, `${options.name}.toml`)
    await writeFile(settingsFile, settingsTextOf(options.settings))
    const program = resolve(this.options.program ?? 'dist/dogwooddale.cjs')
    const child = spawn(process.execPath, [...options.nodeArguments ?? [], program, ...options.command, '--settings', settingsFile], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, NODE_OPTIONS: '', ...options.environment }
    })
    const started = new StartedProcess(options.name, child)
    this.processes.set(options.name, started)
    await started.waitUntilReady(this.options.readyTimeoutMilliseconds ?? defaultReadyTimeoutMilliseconds)
    return started
  }

  /** Ends all processes with SIGTERM, or with SIGKILL after the timeout, and removes the temporary directory. */
  async stopAll (): Promise<void> {
    const timeoutMilliseconds = this.options.stopTimeoutMilliseconds ?? 5000
    await Promise.all(this.running().map(started => started.terminateOrKill(timeoutMilliseconds)))
    process.removeListener('exit', this.killAll)
    if (this.directory !== undefined) await rm(await this.directory, { recursive: true, force: true })
    this.directory = undefined
    this.processes.clear()
  }
}

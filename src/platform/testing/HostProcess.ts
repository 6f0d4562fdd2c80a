/**
 * An entry host as a process of its own, for tests that check what its clients cost it.
 */
import { type ChildProcess, spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { settingsTextOf } from '../../testing/index.js'

/** Options of Node.js as in `deploy/system.toml`. */
const nodeArguments = ['--max-old-space-size=128']

/** Options of a `HostProcess`. */
export interface HostProcessOptions {
  storeAddress: string
  /** The section `[limits]` of the settings. */
  limits: { memoryMegabytes?: number, descriptors?: number }
}

/** A running host. */
export class HostProcess {
  /** `ip:port` for callers. */
  address = ''
  /** Log lines so far. */
  readonly log: string[] = []
  private readonly exited: Promise<unknown>

  private constructor (private readonly child: ChildProcess, private readonly directory: string) {
    this.exited = new Promise(resolve => { child.once('exit', resolve) })
  }

  /** Starts a host and waits until it listens. Throws if it exits before that. */
  static async start ({ storeAddress, limits }: HostProcessOptions): Promise<HostProcess> {
    const directory = mkdtempSync(join(tmpdir(), 'host-process-'))
    const path = join(directory, 'entry.toml')
    writeFileSync(path, settingsTextOf({
      host: { id: 'host-1', zone: 'zone-a', region: 'coast' },
      listen: { callers: '127.0.0.1:0', readiness: '127.0.0.1:0' },
      store: { address: storeAddress },
      bounds: { graceSeconds: 8, retryRatio: 0.2, retrySlack: 10, stableWindowMilliseconds: 3000, leaseMilliseconds: 3000 },
      limits
    }))
    const child = spawn(process.execPath, [...nodeArguments, 'dist/platform/dogwooddale.cjs'], {
      env: { PATH: process.env.PATH, DOGWOODDALE_NODE_FILE: path }, stdio: ['ignore', 'pipe', 'inherit']
    })
    const host = new HostProcess(child, directory)
    const listening = new Promise<void>(resolve => {
      createInterface({ input: child.stdout! }).on('line', line => {
        host.log.push(line)
        const address = /event=host_listening callers=(\S+)/.exec(line)?.[1]
        if (address === undefined) return
        host.address = address
        resolve()
      })
    })
    await Promise.race([listening, host.exited])
    if (host.address === '') throw new Error(`the host ended before it listened: ${host.log.join('\n')}`)
    return host
  }

  get isRunning (): boolean {
    return this.child.exitCode === null && this.child.signalCode === null
  }

  get pid (): number {
    return this.child.pid ?? 0
  }

  async stop (): Promise<void> {
    this.child.kill('SIGKILL')
    await this.exited
    rmSync(this.directory, { recursive: true })
  }
}

/**
 * Hosts for tests of leases and of what their holders do: each has its own clock rate and can be paused, as
 * a stopped process is, between any two of its steps.
 */
import type { Result } from 'true-myth'
import { type Clock, type Failure, type HostId, type Incarnation, type ManualClock, type Offset } from '../common/index.js'
import { LogClient, type LogPage, type ReadOptions, type StreamName } from '../clients/index.js'
import type { FollowerGroup, StreamFold } from '../streams/index.js'
import { silentEvents, type StreamFixture } from '../streams/testSupport.js'
import { LeaseManager, type LeaseManagerOptions } from './LeaseManager.js'
import { type LeaseHolder, type LeaseName, snapshotsLease } from './leaseRecords.js'

/** Lets the tasks of one host run or holds them. */
export class PauseGate {
  private waiting: Array<() => void> = []
  isPaused = false

  pause (): void {
    this.isPaused = true
  }

  resume (): void {
    this.isPaused = false
    for (const wake of this.waiting.splice(0)) wake()
  }

  async pass (): Promise<void> {
    while (this.isPaused) await new Promise<void>(resolve => { this.waiting.push(resolve) })
  }
}

/** A clock that runs at another rate; its time goes on during a pause, but sleeping tasks wake only after it. */
export class HostClock implements Clock {
  constructor (private readonly base: ManualClock, private readonly rate: number, private readonly gate: PauseGate) {}

  monotonic (): number {
    return this.base.monotonic() * this.rate
  }

  wall (): number {
    return this.base.wall()
  }

  async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    await this.base.sleep(milliseconds / this.rate, signal)
    await this.gate.pass()
  }
}

/** The log as a host sees it that can be paused before an append is sent, and after an answer arrived. */
export class PausableLog extends LogClient {
  constructor (private readonly inner: LogClient, private readonly gate: PauseGate) {
    super()
  }

  async append (stream: StreamName, values: string[], signal?: AbortSignal): Promise<Result<Offset, Failure>> {
    await Promise.resolve()
    await this.gate.pass()
    const appended = await this.inner.append(stream, values, signal)
    await this.gate.pass()
    return appended
  }

  async read (stream: StreamName, options: ReadOptions): Promise<Result<LogPage, Failure>> {
    await this.gate.pass()
    const page = await this.inner.read(stream, options)
    await this.gate.pass()
    return page
  }
}

/** Makes the identity of a host from a small number. */
export function holderOf (number: number): LeaseHolder {
  return { hostId: `host-${number}` as HostId, incarnation: number.toString(16).padStart(16, '0') as Incarnation }
}

/** A host with a lease manager. */
export interface LeaseHost {
  gate: PauseGate
  clock: HostClock
  leases: LeaseManager
  group: FollowerGroup
}

/** What may differ between the hosts of a test. */
export interface LeaseHostOptions extends Partial<LeaseManagerOptions> {
  rate?: number
  /** Makes further folds that the host follows. */
  folds?: (host: Omit<LeaseHost, 'group'>) => StreamFold[]
}

/** Makes a host that competes for `snapshots` unless told otherwise, and starts it. */
export function startLeaseHost (fixture: StreamFixture, number: number, options: LeaseHostOptions = {}): LeaseHost {
  const gate = new PauseGate()
  const clock = new HostClock(fixture.clock, options.rate ?? 1, gate)
  const leases = new LeaseManager({
    clock,
    events: silentEvents(clock, `host-${number}`),
    holder: holderOf(number),
    compete: [snapshotsLease],
    durationMilliseconds: 6000,
    renewMilliseconds: 2000,
    clockDrift: 0.01,
    random: () => 0,
    ...options
  })
  const log = new PausableLog(fixture.log, gate)
  const group = fixture.group([leases, ...options.folds?.({ gate, clock, leases }) ?? []], { clock, log })
  leases.start(group)
  return { gate, clock, leases, group }
}

/** True if the host has authority for the lease now. */
export function hasAuthority (host: LeaseHost, lease: LeaseName = snapshotsLease): boolean {
  return host.leases.authority(lease) !== undefined
}

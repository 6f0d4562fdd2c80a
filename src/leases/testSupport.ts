/**
 * Hosts for tests of leases and of the work of lease holders. Each host has its own clock rate and can be paused at
 * any asynchronous step, like a stopped process.
 */
import type { Result } from 'true-myth'
import { type Clock, type Failure, type HostId, type Incarnation, type ManualClock, type Offset } from '../common/index.js'
import { LogClient, type LogPage, type ReadOptions, type StreamName } from '../clients/index.js'
import type { FollowerGroup, StreamProjection } from '../streams/index.js'
import { discardingEventLog, type StreamFixture } from '../streams/testSupport.js'
import { LeaseManager, type LeaseManagerOptions } from './LeaseManager.js'
import { type LeaseHolder, type LeaseName, snapshotsLease } from './leaseRecords.js'

/** Blocks the tasks of one host while it is paused. */
export class PauseGate {
  private waiters: Array<() => void> = []
  isPaused = false

  pause (): void {
    this.isPaused = true
  }

  resume (): void {
    this.isPaused = false
    for (const resolveWaiter of this.waiters.splice(0)) resolveWaiter()
  }

  async waitWhilePaused (): Promise<void> {
    while (this.isPaused) await new Promise<void>(resolve => { this.waiters.push(resolve) })
  }
}

/** A clock with its own rate. Its time advances during a pause, but sleeping tasks continue only after the pause. */
export class PausableClock implements Clock {
  constructor (private readonly base: ManualClock, private readonly rate: number, private readonly gate: PauseGate) {}

  monotonic (): number {
    return this.base.monotonic() * this.rate
  }

  wall (): number {
    return this.base.wall()
  }

  async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    await this.base.sleep(milliseconds / this.rate, signal)
    await this.gate.waitWhilePaused()
  }
}

/** A log client whose calls wait while the host is paused, before a request is sent and after its response arrived. */
export class PausableLogClient extends LogClient {
  constructor (private readonly delegate: LogClient, private readonly gate: PauseGate) {
    super()
  }

  async append (stream: StreamName, values: string[], signal?: AbortSignal): Promise<Result<Offset, Failure>> {
    await Promise.resolve()
    await this.gate.waitWhilePaused()
    const appended = await this.delegate.append(stream, values, signal)
    await this.gate.waitWhilePaused()
    return appended
  }

  async read (stream: StreamName, options: ReadOptions): Promise<Result<LogPage, Failure>> {
    await this.gate.waitWhilePaused()
    const page = await this.delegate.read(stream, options)
    await this.gate.waitWhilePaused()
    return page
  }
}

/** The identity of the test host with this number. */
export function holderOf (number: number): LeaseHolder {
  return { hostId: `host-${number}` as HostId, incarnation: number.toString(16).padStart(16, '0') as Incarnation }
}

/** A test host that competes for leases, with the means to pause it. */
export interface LeaseHost {
  gate: PauseGate
  clock: PausableClock
  leases: LeaseManager
  group: FollowerGroup
}

/** Options of a test host. */
export interface LeaseHostOptions extends Partial<LeaseManagerOptions> {
  /** Rate of the host's clock relative to the clock of the test. Default: 1. */
  rate?: number
  /** Creates further projections, which follow their streams like the host's leases. */
  projections?: (host: Omit<LeaseHost, 'group'>) => StreamProjection[]
}

/** Starts a host, which competes for the lease `snapshots` unless the options name others. */
export function startLeaseHost (fixture: StreamFixture, number: number, options: LeaseHostOptions = {}): LeaseHost {
  const gate = new PauseGate()
  const clock = new PausableClock(fixture.clock, options.rate ?? 1, gate)
  const leases = new LeaseManager({
    clock,
    events: discardingEventLog(clock, `host-${number}`),
    holder: holderOf(number),
    compete: [snapshotsLease],
    durationMilliseconds: 6000,
    renewMilliseconds: 2000,
    clockDrift: 0.01,
    random: () => 0,
    ...options
  })
  const log = new PausableLogClient(fixture.log, gate)
  const group = fixture.startGroup([leases, ...options.projections?.({ gate, clock, leases }) ?? []], { clock, log })
  leases.start(group)
  return { gate, clock, leases, group }
}

/** True if the host has authority for the lease now. */
export function hasAuthority (host: LeaseHost, lease: LeaseName = snapshotsLease): boolean {
  return host.leases.authority(lease) !== undefined
}

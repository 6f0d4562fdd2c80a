/**
 * Competes for leases, renews those that this host holds, and tells whether this host has authority at the moment
 * (design section 4.2). The order of records in the log decides which host holds a lease; the local monotonic clock
 * decides how long the holder has authority. Code must not reuse the result of an authority check after an `await`,
 * since the process can be paused between any two statements.
 */
import type { Result } from 'true-myth'
import {
  Backoff, ChangeNotifier, type Clock, type Failure, failureOf, type FencingNumber, noOffset, type Offset, Task
} from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { ApplyOutcome, StreamRecord, NewRecord, RecordWriter } from '../streams/index.js'
import { LeaseProjection } from './LeaseProjection.js'
import { isSameHolder, type LeaseHolder, type LeaseName, leaseNameSchema, type LeaseState } from './leaseRecords.js'

/** Options of a `LeaseManager`. Times are in milliseconds. */
export interface LeaseManagerOptions {
  clock: Clock
  events: EventLog
  /** This incarnation of this host. */
  holder: LeaseHolder
  /** The leases to compete for. */
  compete: LeaseName[]
  /** Duration of a lease that this host claims. */
  durationMilliseconds: number
  /** Interval between renewals of a lease that this host holds. */
  renewMilliseconds: number
  /** Maximum rate difference between the monotonic clocks of two hosts, as a fraction. */
  clockDrift: number
  /** Maximum random delay before a claim; it keeps most candidates from appending claims that are refused. Default: 200. */
  jitterMilliseconds?: number
  /** Returns a random number from 0 to 1 for jitter and backoff; tests set it. Default: `Math.random`. */
  random?: () => number
}

/** Authority to act as the holder of a lease. */
export interface LeaseAuthority {
  fencingNumber: FencingNumber
  /** Local monotonic time at which the authority ends, in milliseconds. */
  validUntil: number
}

/** A gain or loss of authority by this host. */
export interface AuthorityEvent {
  kind: 'gained' | 'lost'
  lease: LeaseName
  fencingNumber: FencingNumber
}

interface Grant extends LeaseAuthority {
  /** Local monotonic time before the accepted record was sent, in milliseconds. */
  sentAt: number
}

/** The next step in competing for a lease. */
type Step =
  | { kind: 'wait', milliseconds: number }
  | { kind: 'wait_for_change' }
  /** `renewedState` is the lease state that a renewal extends; absent for a claim. */
  | { kind: 'append', record: NewRecord, renewedState?: LeaseState }

/** Constant part of the safety margin, for the time between a check of the authority and the action that relies on it. */
const fixedMarginMilliseconds = 100
const defaultJitterMilliseconds = 200
const backoffOptions = { firstMilliseconds: 100, maxMilliseconds: 1000 }

/** Competes for and renews the leases of one host. */
export class LeaseManager extends LeaseProjection {
  private readonly changes = new ChangeNotifier()
  private readonly grants = new Map<LeaseName, Grant>()
  /** Offset of each lease's last accepted record, and the local monotonic time in milliseconds at which it was read. */
  private readonly lastReads = new Map<string, { offset: Offset, at: number }>()
  /** Greatest fencing number of each lease for which this host permanently gave up its authority. */
  private readonly relinquishedNumbers = new Map<LeaseName, FencingNumber>()
  /** Fencing number of each lease whose authority was last reported as gained and not yet as lost. */
  private readonly notifiedGains = new Map<LeaseName, FencingNumber>()
  private readonly listeners = new Set<(event: AuthorityEvent) => void>()
  private tasks: Task[] = []
  private writer: RecordWriter | undefined
  private isDraining = false
  private startedAt = 0
  private revision = 0

  constructor (private readonly options: LeaseManagerOptions) {
    super()
  }

  /** Starts competing for the leases. The caller must have this projection follow the stream `leases`. */
  start (writer: RecordWriter): void {
    this.writer = writer
    this.startedAt = this.options.clock.monotonic()
    const onError = (error: unknown): void => this.options.events.error('lease_task_failed', { reason: failureOf(error).message })
    this.tasks = this.options.compete.flatMap(lease => [
      Task.start(signal => this.competeFor(lease, writer, signal), onError),
      Task.start(signal => this.watchExpiry(lease, signal), onError)
    ])
  }

  /** Suspends claims and renewals while the host is draining, or resumes them. */
  setDraining (isDraining: boolean): void {
    this.isDraining = isDraining
    this.handleStateChange()
  }

  /** Stops competing, gives up all authority and releases the leases, so that other hosts can claim them at once. */
  async stop (): Promise<void> {
    this.setDraining(true)
    await Promise.all(this.tasks.splice(0).map(task => task.stop()))
    await Promise.all(this.options.compete.map(lease => this.release(lease)))
  }

  /** This host's authority for a lease at this moment; undefined if it has none. */
  authority (lease: LeaseName): LeaseAuthority | undefined {
    const grant = this.grants.get(lease)
    const state = this.lease(lease)
    if (grant === undefined || state === undefined || !this.isHeldByThisHost(lease, state)) return undefined
    if (state.fencingNumber !== grant.fencingNumber) return undefined
    if (this.options.clock.monotonic() >= grant.validUntil) return undefined
    return { fencingNumber: grant.fencingNumber, validUntil: grant.validUntil }
  }

  /** Calls the listener when authority is gained or lost. Returns a function that removes the listener. */
  onAuthorityChange (listener: (event: AuthorityEvent) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /**
   * Called when a successor asks: returns true if the authority with the given fencing number has ended on this host.
   * After it has returned true, this host does not regain that authority, even if an earlier renewal is accepted later.
   */
  confirmAuthorityEnded (lease: LeaseName, fencingNumber: FencingNumber): boolean {
    if (this.authority(lease)?.fencingNumber === fencingNumber) return false
    if (this.grants.get(lease)?.fencingNumber === fencingNumber || this.lease(lease)?.fencingNumber === fencingNumber) {
      this.relinquishedNumbers.set(lease, fencingNumber)
      this.handleStateChange()
    }
    return true
  }

  override apply (record: StreamRecord): ApplyOutcome {
    const outcome = super.apply(record)
    if (outcome.accepted) this.recordReadTimes()
    return outcome
  }

  override restore (state: unknown, through: Offset): Result<void, Failure> {
    const restored = super.restore(state, through)
    if (restored.isOk) this.recordReadTimes()
    return restored
  }

  /** Records when each lease's last accepted record was read, and notifies the tasks and listeners. */
  private recordReadTimes (): void {
    const at = this.options.clock.monotonic()
    for (const [lease, { lastOffset }] of this.leases()) {
      if (this.lastReads.get(lease)?.offset !== lastOffset) this.lastReads.set(lease, { offset: lastOffset, at })
    }
    this.handleStateChange()
  }

  private handleStateChange (): void {
    this.revision += 1
    for (const lease of this.options.compete) this.notifyAuthorityChange(lease)
    this.changes.notify()
  }

  private notifyAuthorityChange (lease: LeaseName): void {
    const currentNumber = this.authority(lease)?.fencingNumber
    const previousNumber = this.notifiedGains.get(lease)
    if (currentNumber === previousNumber) return
    if (previousNumber !== undefined) this.emit({ kind: 'lost', lease, fencingNumber: previousNumber })
    if (currentNumber !== undefined) this.emit({ kind: 'gained', lease, fencingNumber: currentNumber })
  }

  private emit (event: AuthorityEvent): void {
    if (event.kind === 'gained') this.notifiedGains.set(event.lease, event.fencingNumber)
    else this.notifiedGains.delete(event.lease)
    this.options.events.info(`authority_${event.kind}`, { lease: event.lease, offset: event.fencingNumber })
    for (const listener of [...this.listeners]) listener(event)
  }

  private isHeldByThisHost (lease: LeaseName, state: LeaseState): boolean {
    if (state.isReleased || !isSameHolder(state.holder, this.options.holder)) return false
    return state.fencingNumber > (this.relinquishedNumbers.get(lease) ?? 0)
  }

  private async competeFor (lease: LeaseName, writer: RecordWriter, signal: AbortSignal): Promise<void> {
    const backoff = new Backoff({ ...backoffOptions, random: this.options.random })
    const jitter = this.newJitter()
    while (!signal.aborted) {
      const seenRevision = this.revision
      const step = this.nextStep(lease, jitter)
      if (step.kind !== 'append') {
        await this.waitForChange(seenRevision, step.kind === 'wait' ? step.milliseconds : undefined, signal)
        continue
      }
      const isAccepted = await this.append(lease, writer, step)
      if (isAccepted) backoff.reset()
      else await this.options.clock.sleep(backoff.next(), signal)
    }
  }

  private nextStep (lease: LeaseName, jitter: (offset: Offset) => number): Step {
    if (this.isDraining) return { kind: 'wait_for_change' }
    const { clock, holder, durationMilliseconds } = this.options
    const state = this.lease(lease)
    const succeeds = state?.lastOffset ?? noOffset
    const isHeld = state !== undefined && this.isHeldByThisHost(lease, state)
    const dueAt = isHeld ? this.renewalTime(lease) : this.claimTime(lease, state) + jitter(succeeds)
    const milliseconds = dueAt - clock.monotonic()
    if (milliseconds > 0) return { kind: 'wait', milliseconds }
    if (isHeld) return { kind: 'append', record: { kind: 'renew', lease, holder, succeeds }, renewedState: state }
    return { kind: 'append', record: { kind: 'claim', lease, holder, succeeds, duration: durationMilliseconds } }
  }

  /** If this host did not learn in time that its claim was accepted, it has no authority and renews at once. */
  private renewalTime (lease: LeaseName): number {
    return (this.grants.get(lease)?.sentAt ?? -Infinity) + this.options.renewMilliseconds
  }

  /** Adds the drift to the lease duration, since the holder's clock may run slower than this host's by that fraction. */
  private claimTime (lease: LeaseName, state: LeaseState | undefined): number {
    if (state === undefined || state.isReleased) return this.lastReads.get(lease)?.at ?? this.startedAt
    return (this.lastReads.get(lease)?.at ?? this.options.clock.monotonic()) + state.duration * (1 + this.options.clockDrift)
  }

  /** Returns a function that draws one random delay for each lease state and repeats it until the state changes. */
  private newJitter (): (offset: Offset) => number {
    const { jitterMilliseconds = defaultJitterMilliseconds, random = Math.random } = this.options
    let lastDrawn: { offset: Offset, delay: number } | undefined
    return offset => {
      if (lastDrawn?.offset !== offset) lastDrawn = { offset, delay: random() * jitterMilliseconds }
      return lastDrawn.delay
    }
  }

  private async append (lease: LeaseName, writer: RecordWriter, step: Extract<Step, { kind: 'append' }>): Promise<boolean> {
    const submitted = await writer.submit('leases', step.record)
    if (submitted.isErr) {
      this.options.events.info('lease_append_failed', { lease, kind: submitted.error.kind, reason: submitted.error.message })
      return false
    }
    const { outcome, offset, sentAt } = submitted.value
    if (!outcome.accepted) return false
    const fencingNumber = step.renewedState?.fencingNumber ?? offset as number as FencingNumber
    const duration = step.renewedState?.duration ?? this.options.durationMilliseconds
    this.grants.set(lease, { fencingNumber, sentAt, validUntil: sentAt + duration - this.safetyMarginOf(duration) })
    this.handleStateChange()
    return true
  }

  private safetyMarginOf (duration: number): number {
    return duration * this.options.clockDrift + fixedMarginMilliseconds
  }

  private async watchExpiry (lease: LeaseName, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const seenRevision = this.revision
      this.notifyAuthorityChange(lease)
      const deadline = this.authority(lease)?.validUntil
      await this.waitForChange(
        seenRevision, deadline === undefined ? undefined : deadline - this.options.clock.monotonic(), signal
      )
    }
  }

  private async waitForChange (seenRevision: number, milliseconds: number | undefined, signal: AbortSignal): Promise<void> {
    const hasChanged = (): boolean => this.revision !== seenRevision
    if (milliseconds === undefined) await this.changes.waitUntil(hasChanged, signal)
    else await this.changes.waitUntilOrTimeout(milliseconds, this.options.clock, hasChanged, signal)
  }

  /** Ends the authority before it sends the release, since a successor may claim as soon as it reads the release. */
  private async release (lease: LeaseName): Promise<void> {
    const state = this.lease(lease)
    if (state === undefined || !this.isHeldByThisHost(lease, state)) return
    this.relinquishedNumbers.set(lease, state.fencingNumber)
    this.handleStateChange()
    const record = { kind: 'release', lease, holder: this.options.holder, succeeds: state.lastOffset }
    const submitted = await this.writer?.submit('leases', record)
    if (submitted?.isErr) this.options.events.info('lease_release_failed', { lease, kind: submitted.error.kind })
  }

  /** All leases for operators, with the time since the last accepted record of each was read, in milliseconds. */
  report (): Array<LeaseState & { lease: LeaseName, readMillisecondsAgo: number, isAuthorityHere: boolean }> {
    const now = this.options.clock.monotonic()
    return [...this.leases()].map(([name, state]) => {
      const lease = leaseNameSchema.parse(name)
      const readMillisecondsAgo = now - (this.lastReads.get(name)?.at ?? now)
      return { ...state, lease, readMillisecondsAgo, isAuthorityHere: this.authority(lease) !== undefined }
    })
  }
}

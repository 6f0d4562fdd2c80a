/**
 * Competes for leases, renews those that this host holds, and answers whether this host has authority now
 * (design section 4.2). The log's order decides who holds a lease; the local monotonic clock decides how long
 * that gives authority. No answer is kept over an `await`: the process can be paused between any two lines.
 */
import type { Result } from 'true-myth'
import {
  Backoff, ChangeNotifier, type Clock, type Failure, failureOf, type FencingNumber, noOffset, type Offset, Task
} from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { ApplyOutcome, FoldRecord, NewRecord, RecordWriter } from '../streams/index.js'
import { LeaseFold } from './LeaseFold.js'
import { isSameHolder, type LeaseHolder, type LeaseName, leaseNameSchema, type LeaseState } from './leaseRecords.js'

/** Options of a `LeaseManager`. Times are in milliseconds. */
export interface LeaseManagerOptions {
  clock: Clock
  events: EventLog
  /** This start of this host. */
  holder: LeaseHolder
  /** The leases to compete for. */
  compete: LeaseName[]
  durationMilliseconds: number
  renewMilliseconds: number
  /** Largest rate difference between the monotonic clocks of two hosts, as a fraction. */
  clockDrift: number
  /** Longest random delay of a claim; keeps most candidates from appending claims that lose. Default: 200. */
  jitterMilliseconds?: number
  /** Random number from 0 to 1 for the jitter; tests set it. */
  random?: () => number
}

/** Permission to act for a lease. */
export interface LeaseAuthority {
  fencingNumber: FencingNumber
  /** Local monotonic time at which the authority ends. */
  validUntil: number
}

/** A change of this host's authority. */
export interface AuthorityEvent {
  kind: 'gained' | 'lost'
  lease: LeaseName
  fencingNumber: FencingNumber
}

interface Grant extends LeaseAuthority {
  /** Local monotonic time before the accepted record was sent. */
  sentAt: number
}

/** What to do next about a lease. */
type Step =
  | { kind: 'wait', milliseconds: number }
  | { kind: 'wait_for_change' }
  /** `renewed` is the state that a renewal prolongs; a claim has none. */
  | { kind: 'append', record: NewRecord, renewed?: LeaseState }

/** Part of the margin that covers the time between a check of the authority and the act, in milliseconds. */
const fixedMarginMilliseconds = 100
const defaultJitterMilliseconds = 200
const backoffOptions = { firstMilliseconds: 100, maxMilliseconds: 1000 }

/** The leases of one host. */
export class LeaseManager extends LeaseFold {
  private readonly changes = new ChangeNotifier()
  private readonly grants = new Map<LeaseName, Grant>()
  /** Local time at which the last accepted record of each lease was read. */
  private readonly readAt = new Map<string, { offset: Offset, at: number }>()
  /** Greatest fencing number of each lease whose authority this host gave up for good. */
  private readonly surrendered = new Map<LeaseName, FencingNumber>()
  private readonly announced = new Map<LeaseName, FencingNumber>()
  private readonly listeners = new Set<(event: AuthorityEvent) => void>()
  private tasks: Task[] = []
  private writer: RecordWriter | undefined
  private isDraining = false
  private startedAt = 0
  private revision = 0

  constructor (private readonly options: LeaseManagerOptions) {
    super()
  }

  /** Starts to compete for the leases. The stream `leases` has to be followed with this fold. */
  start (writer: RecordWriter): void {
    this.writer = writer
    this.startedAt = this.options.clock.monotonic()
    const onError = (error: unknown): void => this.options.events.error('lease_task_failed', { reason: failureOf(error).message })
    this.tasks = this.options.compete.flatMap(lease => [
      Task.start(signal => this.competeFor(lease, writer, signal), onError),
      Task.start(signal => this.watchDeadline(lease, signal), onError)
    ])
  }

  /** Pauses claims and renewals, or takes them up again. */
  setDraining (isDraining: boolean): void {
    this.isDraining = isDraining
    this.noteChange()
  }

  /** Stops competing, gives up all authority and releases the leases, so that others can claim them at once. */
  async stop (): Promise<void> {
    this.setDraining(true)
    await Promise.all(this.tasks.splice(0).map(task => task.stop()))
    await Promise.all(this.options.compete.map(lease => this.release(lease)))
  }

  /** This host's authority for a lease at this moment; undefined if it has none. */
  authority (lease: LeaseName): LeaseAuthority | undefined {
    const grant = this.grants.get(lease)
    const state = this.lease(lease)
    if (grant === undefined || state === undefined || !this.isHeldHere(lease, state)) return undefined
    if (state.fencingNumber !== grant.fencingNumber) return undefined
    if (this.options.clock.monotonic() >= grant.validUntil) return undefined
    return { fencingNumber: grant.fencingNumber, validUntil: grant.validUntil }
  }

  /** Calls the listener when authority is gained or lost. Returns a function that ends this. */
  onAuthority (listener: (event: AuthorityEvent) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /**
   * Asked by a successor: true if the authority with this fencing number is over on this host. After that
   * answer the authority stays over, even if a renewal from before comes back later.
   */
  confirmOver (lease: LeaseName, fencingNumber: FencingNumber): boolean {
    if (this.authority(lease)?.fencingNumber === fencingNumber) return false
    if (this.grants.get(lease)?.fencingNumber === fencingNumber || this.lease(lease)?.fencingNumber === fencingNumber) {
      this.surrendered.set(lease, fencingNumber)
      this.noteChange()
    }
    return true
  }

  override apply (record: FoldRecord): ApplyOutcome {
    const outcome = super.apply(record)
    if (outcome.accepted) this.noteTable()
    return outcome
  }

  override restore (state: unknown, through: Offset): Result<void, Failure> {
    const restored = super.restore(state, through)
    if (restored.isOk) this.noteTable()
    return restored
  }

  /** Notes when each lease's last accepted record was read, and tells the tasks and listeners. */
  private noteTable (): void {
    const at = this.options.clock.monotonic()
    for (const [lease, { lastOffset }] of this.leases()) {
      if (this.readAt.get(lease)?.offset !== lastOffset) this.readAt.set(lease, { offset: lastOffset, at })
    }
    this.noteChange()
  }

  private noteChange (): void {
    this.revision += 1
    for (const lease of this.options.compete) this.announce(lease)
    this.changes.notify()
  }

  private announce (lease: LeaseName): void {
    const now = this.authority(lease)?.fencingNumber
    const before = this.announced.get(lease)
    if (now === before) return
    if (before !== undefined) this.emit({ kind: 'lost', lease, fencingNumber: before })
    if (now !== undefined) this.emit({ kind: 'gained', lease, fencingNumber: now })
  }

  private emit (event: AuthorityEvent): void {
    if (event.kind === 'gained') this.announced.set(event.lease, event.fencingNumber)
    else this.announced.delete(event.lease)
    this.options.events.info(`authority_${event.kind}`, { lease: event.lease, offset: event.fencingNumber })
    for (const listener of [...this.listeners]) listener(event)
  }

  private isHeldHere (lease: LeaseName, state: LeaseState): boolean {
    if (state.isReleased || !isSameHolder(state.holder, this.options.holder)) return false
    return state.fencingNumber > (this.surrendered.get(lease) ?? 0)
  }

  private async competeFor (lease: LeaseName, writer: RecordWriter, signal: AbortSignal): Promise<void> {
    const backoff = new Backoff({ ...backoffOptions, random: this.options.random })
    const jitter = this.newJitter()
    while (!signal.aborted) {
      const seen = this.revision
      const step = this.nextStep(lease, jitter)
      if (step.kind !== 'append') {
        await this.waitForChange(seen, step.kind === 'wait' ? step.milliseconds : undefined, signal)
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
    const isHeld = state !== undefined && this.isHeldHere(lease, state)
    const due = isHeld ? this.renewalTime(lease) : this.claimTime(lease, state) + jitter(succeeds)
    const milliseconds = due - clock.monotonic()
    if (milliseconds > 0) return { kind: 'wait', milliseconds }
    if (isHeld) return { kind: 'append', record: { kind: 'renew', lease, holder, succeeds }, renewed: state }
    return { kind: 'append', record: { kind: 'claim', lease, holder, succeeds, duration: durationMilliseconds } }
  }

  /** A claim of this host whose outcome was not learnt in time gave no authority, so it is renewed at once. */
  private renewalTime (lease: LeaseName): number {
    return (this.grants.get(lease)?.sentAt ?? -Infinity) + this.options.renewMilliseconds
  }

  /** The holder's clock may be slower than this one by the drift. */
  private claimTime (lease: LeaseName, state: LeaseState | undefined): number {
    if (state === undefined || state.isReleased) return this.readAt.get(lease)?.at ?? this.startedAt
    return (this.readAt.get(lease)?.at ?? this.options.clock.monotonic()) + state.duration * (1 + this.options.clockDrift)
  }

  /** One random delay for each state of a lease, the same however often it is asked for. */
  private newJitter (): (offset: Offset) => number {
    const { jitterMilliseconds = defaultJitterMilliseconds, random = Math.random } = this.options
    let drawn: { offset: Offset, delay: number } | undefined
    return offset => {
      if (drawn?.offset !== offset) drawn = { offset, delay: random() * jitterMilliseconds }
      return drawn.delay
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
    const fencingNumber = step.renewed?.fencingNumber ?? offset as number as FencingNumber
    const duration = step.renewed?.duration ?? this.options.durationMilliseconds
    this.grants.set(lease, { fencingNumber, sentAt, validUntil: sentAt + duration - this.marginOf(duration) })
    this.noteChange()
    return true
  }

  private marginOf (duration: number): number {
    return duration * this.options.clockDrift + fixedMarginMilliseconds
  }

  private async watchDeadline (lease: LeaseName, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const seen = this.revision
      this.announce(lease)
      const deadline = this.authority(lease)?.validUntil
      await this.waitForChange(seen, deadline === undefined ? undefined : deadline - this.options.clock.monotonic(), signal)
    }
  }

  private async waitForChange (seen: number, milliseconds: number | undefined, signal: AbortSignal): Promise<void> {
    const hasChanged = (): boolean => this.revision !== seen
    if (milliseconds === undefined) await this.changes.waitUntil(hasChanged, signal)
    else await this.changes.waitAtMost(milliseconds, this.options.clock, hasChanged, signal)
  }

  /** The authority ends before the release is sent, since a successor may claim as soon as it reads it. */
  private async release (lease: LeaseName): Promise<void> {
    const state = this.lease(lease)
    if (state === undefined || !this.isHeldHere(lease, state)) return
    this.surrendered.set(lease, state.fencingNumber)
    this.noteChange()
    const record = { kind: 'release', lease, holder: this.options.holder, succeeds: state.lastOffset }
    const submitted = await this.writer?.submit('leases', record)
    if (submitted?.isErr) this.options.events.info('lease_release_failed', { lease, kind: submitted.error.kind })
  }

  /** All leases for operators, with the time since each was read, in milliseconds. */
  report (): Array<LeaseState & { lease: LeaseName, readMillisecondsAgo: number, isAuthorityHere: boolean }> {
    const now = this.options.clock.monotonic()
    return [...this.leases()].map(([name, state]) => {
      const lease = leaseNameSchema.parse(name)
      const readMillisecondsAgo = now - (this.readAt.get(name)?.at ?? now)
      return { ...state, lease, readMillisecondsAgo, isAuthorityHere: this.authority(lease) !== undefined }
    })
  }
}

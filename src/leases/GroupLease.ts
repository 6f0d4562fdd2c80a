/**
 * Authority for a duty that a store assigns to one member of a group. The store assigns the duty to another member
 * when the holder leaves or does not renew its membership within the time to live. Each change of the group has a
 * fencing number greater than that of all changes before it.
 *
 * The monotonic clock stops while the machine is suspended, and the wall clock can be set, so neither alone measures
 * how long authority has lasted. If the times that elapsed on the two clocks differ, the difference is treated as a
 * suspension: authority ends at once, even if the store answered a renewal in the meantime. It returns with the next
 * renewal during which the two clocks agree.
 */
import type { Result } from 'true-myth'
import { type Clock, type Failure, type FencingNumber, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'

/** The fencing number of the group's last change, and whether this member holds the duty since then. */
export interface GroupMembership { fencingNumber: FencingNumber, holdsDuty: boolean }

/** Client of a group whose store assigns a duty to one member; this process is one of the members. */
export abstract class DutyGroup {
  /** Joins the group or renews the membership. Errors: `platform_unavailable`. */
  abstract join (signal?: AbortSignal): Promise<Result<GroupMembership, Failure>>
  /** Asks the store whether this member holds the duty under a fencing number. Errors: `platform_unavailable`. */
  abstract confirm (fencingNumber: FencingNumber): Promise<Result<boolean, Failure>>
  /**
   * True if the store has since forgotten the change to which the number belongs. It may have assigned the duty to
   * another member.
   */
  abstract isOutdated (fencingNumber: FencingNumber): boolean
  /** What a fencing number stands for, as fields of log lines. */
  abstract describe (fencingNumber: FencingNumber): Record<string, number>
  /** Leaves the group, so that the store assigns the duty to another member at once. */
  abstract leave (): Promise<void>
}

/** Options of a `GroupLease`. Times are in milliseconds. */
export interface GroupLeaseOptions {
  group: DutyGroup
  clock: Clock
  events: EventLog
  /** Time without a renewal after which the store assigns the duty to another member. */
  durationMilliseconds: number
  /** Interval between renewals of the membership. */
  renewMilliseconds: number
  /**
   * Time that a new holder waits before it acts, so that its actions do not interleave with the former holder's. It
   * includes `maxConfirmationMilliseconds` and the longest time from the decision for an action to its arrival.
   */
  handoverMilliseconds: number
}

/** Safety margin for the time between a check of the authority and the action that relies on it. */
const marginMilliseconds = 300

/**
 * Share of the interval between renewals after which a failed one is repeated once, so that neither a lost response nor
 * a slow store lets the membership expire.
 */
const repeatShare = 1 / 4

/** Longest time from the question for a confirmation to the decision for the action, in milliseconds. */
export const maxConfirmationMilliseconds = 700

/** If the times that elapsed on the two clocks since a renewal differ by more, a clock was set or the machine was suspended. */
const maxClockDisagreementMilliseconds = 100

/** Readings of both clocks at one moment, in milliseconds. */
interface ClockReadings { monotonic: number, wall: number }

/** Renews the membership in a group and tells whether this process has authority for the duty at the moment. */
export class GroupLease {
  /** Fencing number of the newest membership; undefined before the first. */
  private fencingNumber: FencingNumber | undefined
  private heldSince: number | undefined
  private renewedAt: ClockReadings | undefined
  /** Greatest fencing number of this process that a worker refused; -1 if none did. */
  private greatestRefusedNumber = -1
  private task: Task | undefined

  constructor (private readonly options: GroupLeaseOptions) {}

  /** Starts renewing the membership. */
  start (): void {
    this.task ??= Task.start(signal => this.run(signal), error => {
      this.options.events.error('duty_task_ended', { reason: String(error) })
    })
  }

  /** Stops renewing, ends the authority and leaves the group. */
  async stop (): Promise<void> {
    await this.task?.stop()
    this.endAuthority('stopped')
    await this.options.group.leave()
  }

  /** The fencing number if this process may act; undefined otherwise. Valid only at the moment of the call. */
  authority (): FencingNumber | undefined {
    const { clock, durationMilliseconds, handoverMilliseconds } = this.options
    this.endOutdatedAuthority()
    if (this.fencingNumber === undefined || this.heldSince === undefined || this.renewedAt === undefined) return undefined
    if (this.clockDisagreementSince(this.renewedAt) > maxClockDisagreementMilliseconds) {
      this.endAuthority('clocks_disagree')
      return undefined
    }
    const now = clock.monotonic()
    if (now >= this.renewedAt.monotonic + durationMilliseconds - marginMilliseconds) return undefined
    if (now < this.heldSince + handoverMilliseconds || this.fencingNumber <= this.greatestRefusedNumber) return undefined
    return this.fencingNumber
  }

  /**
   * True if the store has assigned the duty to this member within the latest lease, also while the member waits to act.
   * Afterwards another member may hold it.
   */
  get isAssigned (): boolean {
    if (this.heldSince === undefined || this.renewedAt === undefined) return false
    return this.options.clock.monotonic() < this.renewedAt.monotonic + this.options.durationMilliseconds
  }

  /** The fencing number if the store confirms that this process holds the duty; undefined otherwise. */
  async confirmedAuthority (): Promise<FencingNumber | undefined> {
    const before = this.authority()
    if (before === undefined) return undefined
    const askedAt = this.options.clock.monotonic()
    const confirmed = await this.options.group.confirm(before)
    this.endOutdatedAuthority()
    if (confirmed.isErr) return undefined
    if (!confirmed.value) this.endAuthority('store_refused')
    // The store may have assigned the duty to another member after it answered.
    const isRecent = this.options.clock.monotonic() <= askedAt + maxConfirmationMilliseconds
    return isRecent && this.authority() === before ? before : undefined
  }

  /** Ends the authority after a worker refused the fencing number, since the worker has seen that of a later holder. */
  handleRefusal (fencingNumber: FencingNumber): void {
    this.greatestRefusedNumber = Math.max(this.greatestRefusedNumber, fencingNumber)
    if (this.fencingNumber !== undefined && this.fencingNumber > fencingNumber) return
    this.endAuthority('worker_refused')
  }

  private async run (signal: AbortSignal): Promise<void> {
    const { clock, renewMilliseconds } = this.options
    let failures = 0
    while (!signal.aborted) {
      failures = await this.renew(signal) ? 0 : failures + 1
      await clock.sleep(renewMilliseconds * (failures === 1 ? repeatShare : 1), signal)
    }
  }

  /** Renews the membership. Returns false if the store did not answer. */
  private async renew (signal: AbortSignal): Promise<boolean> {
    const { group, events } = this.options
    const sentAt = this.readClocks()
    const joined = await group.join(signal)
    // A holder that the store names again waits like a new one, since another may have held the duty meanwhile.
    this.endOutdatedAuthority()
    if (joined.isErr) {
      if (!signal.aborted) events.warn('duty_renewal_failed', { ...this.numberFields(), reason: joined.error.message })
      return false
    }
    this.take(joined.value, sentAt)
    return true
  }

  /** Takes the membership that the store states in the response to a renewal that was sent at the given time. */
  private take ({ fencingNumber, holdsDuty }: GroupMembership, sentAt: ClockReadings): void {
    const { events, clock, durationMilliseconds } = this.options
    this.fencingNumber = fencingNumber
    if (!holdsDuty) return this.endAuthority('given_to_another')
    if (this.clockDisagreementSince(sentAt) > maxClockDisagreementMilliseconds) return this.endAuthority('clocks_disagree')
    // Another member may have held the duty and acted between two renewals that are further apart.
    if (this.renewedAt !== undefined && clock.monotonic() >= this.renewedAt.monotonic + durationMilliseconds) this.endAuthority('expired')
    this.renewedAt = sentAt
    if (this.heldSince !== undefined) return
    // The former holder may have held the duty until the store answered.
    this.heldSince = clock.monotonic()
    events.info('duty_gained', this.numberFields())
  }

  private endOutdatedAuthority (): void {
    if (this.fencingNumber !== undefined && this.options.group.isOutdated(this.fencingNumber)) this.endAuthority('store_restored')
  }

  private endAuthority (reason: string): void {
    if (this.heldSince !== undefined) this.options.events.info('duty_lost', { ...this.numberFields(), reason })
    this.heldSince = undefined
    this.renewedAt = undefined
  }

  private numberFields (): Record<string, number> {
    if (this.fencingNumber === undefined) return {}
    return { fencing: this.fencingNumber, ...this.options.group.describe(this.fencingNumber) }
  }

  private readClocks (): ClockReadings {
    return { monotonic: this.options.clock.monotonic(), wall: this.options.clock.wall() }
  }

  private clockDisagreementSince (start: ClockReadings): number {
    const now = this.readClocks()
    return Math.abs((now.wall - start.wall) - (now.monotonic - start.monotonic))
  }
}

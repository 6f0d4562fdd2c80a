/**
 * Authority for a duty that a store's group membership gives to one member. The store hands the duty over when the
 * holder leaves or is silent for the time to live; its generation grows with each change and serves as the fencing
 * number.
 *
 * The monotonic clock stands still while a machine is suspended and the time of day can be set, so neither alone
 * shows for how long authority has lasted. What the two clocks disagree about counts as a suspension: authority ends
 * at once, also if a renewal was answered meanwhile, and returns with the next renewal that both clocks agree on.
 */
import type { Result } from 'true-myth'
import { type Clock, type Failure, type FencingNumber, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'

/** A member's place in the group. */
export interface GroupMembership { generation: number, holdsDuty: boolean }

/** A group whose store gives a duty to one member. */
export abstract class DutyGroup {
  /** Joins the group or stays in it. Errors: `platform_unavailable`. */
  abstract join (generation: number, signal?: AbortSignal): Promise<Result<GroupMembership, Failure>>
  /** Asks the store whether this member holds the duty in this generation. Errors: `platform_unavailable`. */
  abstract confirm (generation: number): Promise<Result<boolean, Failure>>
  /** Leaves the group, so that another member gets the duty at once. */
  abstract leave (): Promise<void>
}

/** Options of a `GroupLease`. Times are in milliseconds. */
export interface GroupLeaseOptions {
  group: DutyGroup
  clock: Clock
  events: EventLog
  /** Silence after which the store gives the duty to another member. */
  durationMilliseconds: number
  renewMilliseconds: number
  /** Time for which a new holder waits, so that it does not act between two acts of the former one. */
  handoverMilliseconds: number
}

/** Part of the duration that covers the way from a check of the authority to the act, in milliseconds. */
const marginMilliseconds = 300

/** Clocks that differ by more than this over one renewal were set, or the machine was suspended. */
const maxClockDisagreementMilliseconds = 100

/** One reading of both clocks. */
interface Instant { monotonic: number, wall: number }

/** Authority of this process for one duty. */
export class GroupLease {
  private generation = 0
  private heldSince: number | undefined
  private renewedAt: Instant | undefined
  /** Greatest fencing number that a worker refused. */
  private refused = -1
  private task: Task | undefined

  constructor (private readonly options: GroupLeaseOptions) {}

  start (): void {
    this.task ??= Task.start(signal => this.run(signal), error => {
      this.options.events.error('duty_task_ended', { reason: String(error) })
    })
  }

  /** Stops renewing and hands the duty over. */
  async stop (): Promise<void> {
    await this.task?.stop()
    this.end('stopped')
    await this.options.group.leave()
  }

  /** The fencing number while this process may act; undefined otherwise. Holds for the moment of the call only. */
  authority (): FencingNumber | undefined {
    const { clock, durationMilliseconds, handoverMilliseconds } = this.options
    if (this.heldSince === undefined || this.renewedAt === undefined) return undefined
    if (this.disagreementSince(this.renewedAt) > maxClockDisagreementMilliseconds) {
      this.end('clocks_disagree')
      return undefined
    }
    const now = clock.monotonic()
    if (now >= this.renewedAt.monotonic + durationMilliseconds - marginMilliseconds) return undefined
    if (now < this.heldSince + handoverMilliseconds || this.generation <= this.refused) return undefined
    return this.generation as FencingNumber
  }

  /** The fencing number if the store confirms it now. */
  async confirmedAuthority (): Promise<FencingNumber | undefined> {
    const before = this.authority()
    if (before === undefined) return undefined
    const confirmed = await this.options.group.confirm(before)
    if (confirmed.isErr) return undefined
    if (!confirmed.value) this.end('store_refused')
    return this.authority() === before ? before : undefined
  }

  /** A worker has seen a greater fencing number, so another process holds the duty. */
  noteRefusal (fencingNumber: FencingNumber): void {
    this.refused = Math.max(this.refused, fencingNumber)
    this.end('worker_refused')
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.renew(signal)
      await this.options.clock.sleep(this.options.renewMilliseconds, signal)
    }
  }

  private async renew (signal: AbortSignal): Promise<void> {
    const { group, events } = this.options
    const sentAt = this.instant()
    const joined = await group.join(this.generation, signal)
    if (joined.isErr) {
      if (!signal.aborted) events.warn('duty_renewal_failed', { generation: this.generation, reason: joined.error.message })
      return
    }
    this.generation = joined.value.generation
    if (!joined.value.holdsDuty) return this.end('given_to_another')
    if (this.disagreementSince(sentAt) > maxClockDisagreementMilliseconds) return this.end('clocks_disagree')
    this.renewedAt = sentAt
    if (this.heldSince !== undefined) return
    this.heldSince = sentAt.monotonic
    events.info('duty_gained', { generation: this.generation })
  }

  private end (reason: string): void {
    if (this.heldSince !== undefined) this.options.events.info('duty_lost', { generation: this.generation, reason })
    this.heldSince = undefined
    this.renewedAt = undefined
  }

  private instant (): Instant {
    return { monotonic: this.options.clock.monotonic(), wall: this.options.clock.wall() }
  }

  private disagreementSince (start: Instant): number {
    const now = this.instant()
    return Math.abs((now.wall - start.wall) - (now.monotonic - start.monotonic))
  }
}

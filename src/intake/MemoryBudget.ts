/**
 * The bytes that a host holds for its clients, in one budget. Reservations grow as bytes arrive. When the budget is
 * short, stalled reservations are refused, those above their fair share wait, and beyond a margin the largest and
 * slowest are refused, so that small ones go on.
 */
import type { Clock } from '../common/index.js'

/** What the budget asks of the owner of a reservation. */
export interface ReservationOwner {
  /** Stops reading, so that the reservation does not grow. */
  pause: () => void
  resume: () => void
  /** Gives the bytes up. The reservation is already closed. */
  refuse: () => void
}

/** Time without progress after which a reservation is refused while the budget is short, in milliseconds. */
const stalledMilliseconds = 1000

/** Time after which a reservation that waits for room is refused, in milliseconds; its client may come back elsewhere. */
const maxPauseMilliseconds = 2000

/** Use above which the largest reservations are refused at once, as a multiple of the capacity. */
const hardFactor = 1.25

/** Share of the capacity below which paused reservations go on, so that they do not stop again at once. */
const resumeShare = 0.9

/** Bytes that a connection may deliver at once after it goes on; the size of a read of the runtime. */
const readBytes = 65_536

/** Bytes held for one client. */
export class Reservation {
  bytes = 0
  /** True while the budget may refuse the reservation: its request has not been sent on, or its caller does not read. */
  isRefusable = true
  /** Monotonic time in milliseconds of the latest progress. */
  progressAt: number
  /** Monotonic time in milliseconds since which the owner is paused. */
  pausedAt: number | undefined
  isClosed = false

  constructor (private readonly budget: MemoryBudget, readonly owner: ReservationOwner, now: number) {
    this.progressAt = now
  }

  /** Counts further bytes, which may be negative. The owner may be paused or refused meanwhile. */
  add (bytes: number): void {
    if (!this.isClosed) this.budget.add(this, bytes)
  }

  /** Records progress without further bytes. */
  recordProgress (): void {
    this.budget.recordProgress(this)
  }

  /** The budget refuses and pauses the reservation no more: its request is complete and will be run. */
  settle (): void {
    this.isRefusable = false
    this.budget.resume(this)
  }

  /** Frees the bytes. */
  close (): void {
    this.budget.close(this)
  }
}

/** Counts the bytes of all reservations and keeps them within the capacity. */
export class MemoryBudget {
  private readonly reservations = new Set<Reservation>()
  /** Paused reservations, the one that waits longest first. */
  private readonly paused = new Set<Reservation>()
  private used = 0
  /** Number of reservations that were refused so far. */
  refusals = 0

  constructor (private readonly capacity: number, private readonly clock: Clock) {}

  get usedBytes (): number {
    return this.used
  }

  get pausedReservations (): number {
    return this.paused.size
  }

  /** True while what can wait should wait. */
  get isShort (): boolean {
    return this.used > this.capacity
  }

  /** True while no further request should be taken on. */
  get isExhausted (): boolean {
    return this.used > this.capacity * hardFactor
  }

  open (owner: ReservationOwner): Reservation {
    const reservation = new Reservation(this, owner, this.clock.monotonic())
    this.reservations.add(reservation)
    return reservation
  }

  /** Refuses what has waited too long, and lets others go on. Call it regularly while reservations are paused. */
  check (): void {
    const now = this.clock.monotonic()
    const overdue = [...this.paused].filter(({ pausedAt = now }) => now - pausedAt >= maxPauseMilliseconds)
    // One at a time, so that the room of the largest can complete others.
    const worst = this.worstOf(overdue, now)
    if (worst !== undefined && this.used > this.capacity * resumeShare) this.refuse(worst)
    if (this.paused.size > 0) this.refuseStalled(now)
    this.resumePaused()
  }

  /** @internal */
  add (reservation: Reservation, bytes: number): void {
    const now = this.clock.monotonic()
    reservation.bytes += bytes
    reservation.progressAt = now
    this.used += bytes
    if (bytes <= 0) return this.resumePaused()
    if (this.used <= this.capacity) return
    this.refuseStalled(now)
    this.refuseBeyondMargin(now)
    const isOver = this.used > this.capacity && reservation.bytes > this.fairShare
    if (isOver && reservation.isRefusable && !reservation.isClosed) this.pause(reservation, now)
    this.resumePaused()
  }

  /** @internal */
  recordProgress (reservation: Reservation): void {
    reservation.progressAt = this.clock.monotonic()
  }

  /** @internal */
  resume (reservation: Reservation): void {
    if (!this.paused.delete(reservation)) return
    reservation.pausedAt = undefined
    reservation.progressAt = this.clock.monotonic()
    reservation.owner.resume()
  }

  /** @internal */
  close (reservation: Reservation): void {
    if (reservation.isClosed) return
    this.remove(reservation)
    this.resumePaused()
  }

  /** Bytes of a reservation if all had the same. */
  private get fairShare (): number {
    return this.capacity / Math.max(1, this.reservations.size)
  }

  private pause (reservation: Reservation, now: number): void {
    if (this.paused.has(reservation)) return
    reservation.pausedAt = now
    this.paused.add(reservation)
    reservation.owner.pause()
  }

  private refuseStalled (now: number): void {
    if (this.used <= this.capacity * resumeShare) return
    const stalled = [...this.reservations].filter(({ isRefusable, pausedAt, progressAt }) =>
      isRefusable && pausedAt === undefined && now - progressAt >= stalledMilliseconds)
    stalled.sort((first, second) => second.bytes - first.bytes)
    for (const reservation of stalled) {
      if (this.used <= this.capacity * resumeShare || reservation.bytes <= 0) return
      this.refuse(reservation)
    }
  }

  private refuseBeyondMargin (now: number): void {
    while (this.isExhausted) {
      const { fairShare } = this
      const worst = this.worstOf([...this.reservations].filter(({ isRefusable, bytes }) => isRefusable && bytes > fairShare), now)
      if (worst === undefined) return
      this.refuse(worst)
    }
  }

  /** The largest and slowest reservation: bytes count for more the longer there was no progress. */
  private worstOf (reservations: Reservation[], now: number): Reservation | undefined {
    const weightOf = ({ bytes, progressAt }: Reservation): number => bytes * (1 + (now - progressAt) / 1000)
    return reservations.reduce<Reservation | undefined>((worst, next) =>
      worst === undefined || weightOf(next) > weightOf(worst) ? next : worst, undefined)
  }

  private refuse (reservation: Reservation): void {
    this.refusals += 1
    this.remove(reservation)
    reservation.owner.refuse()
  }

  private remove (reservation: Reservation): void {
    reservation.isClosed = true
    this.used -= reservation.bytes
    this.reservations.delete(reservation)
    this.paused.delete(reservation)
  }

  private resumePaused (): void {
    let expected = this.used
    for (const reservation of this.paused) {
      if (expected > this.capacity * resumeShare) return
      expected += readBytes
      this.resume(reservation)
    }
  }
}

/**
 * Follows a topic of the store that keeps the newest record of each key: reads them all, then waits for changes, and
 * starts over when the store has dropped records that were not read yet.
 */
import { Backoff, type Clock, type Failure, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { KeyedRecord, StoreClient } from './StoreClient.js'

/**
 * Time before the end of the window after which a host counts as undisturbed, in milliseconds, that is left for a read
 * to be given up (0.7 s) and the topic to be read again. By then a host has to know what was written since its
 * connection became silent.
 */
const rereadMilliseconds = 1000

/** Shortest wait of one read, whatever the window is, in milliseconds. */
const minWaitMilliseconds = 500

/**
 * Pause after a change, in milliseconds, so that changes that come close together cost one read. Changes have to be in
 * force within 2 s.
 */
const changePauseMilliseconds = 250

/** Delays between calls that fail. The store is priced by the call, refused ones included. */
const backoffOptions = { firstMilliseconds: 100, maxMilliseconds: 1000 }

/** Receives what a topic holds. */
export interface TopicReceiver {
  /** All keys and their newest records; keys that are missing were deleted. */
  replace: (records: KeyedRecord[]) => void
  /** Records in the order in which they were written. */
  apply: (records: KeyedRecord[]) => void
}

/** Options of a `TopicFollower`. */
export interface TopicFollowerOptions {
  topic: string
  store: Pick<StoreClient, 'newest' | 'read' | 'close'>
  receiver: TopicReceiver
  clock: Clock
  events: EventLog
  /** Time without disturbance after which a host has to know what was written, in milliseconds. */
  stableWindowMilliseconds: number
}

/** Follows one topic. */
export class TopicFollower {
  private task: Task | undefined
  private next: number | undefined
  private lostAt: number | undefined
  private regainedAt = -Infinity

  private readonly waitMilliseconds: number

  constructor (private readonly options: TopicFollowerOptions) {
    this.waitMilliseconds = Math.max(minWaitMilliseconds, options.stableWindowMilliseconds - rereadMilliseconds)
  }

  /** Monotonic time in milliseconds at which the store answered again after a loss. */
  get connectedSince (): number {
    return this.regainedAt
  }

  start (): void {
    const { events, topic } = this.options
    this.task ??= Task.start(signal => this.run(signal), error => {
      events.error('topic_follower_ended', { topic, reason: String(error) })
    })
  }

  async stop (): Promise<void> {
    await this.task?.stop()
    await this.options.store.close()
  }

  private async run (signal: AbortSignal): Promise<void> {
    const backoff = new Backoff(backoffOptions)
    while (!signal.aborted) {
      const failed = await this.step(signal)
      if (failed === undefined) backoff.reset()
      else if (!signal.aborted) {
        this.noteLoss(failed)
        await this.options.clock.sleep(backoff.next(), signal)
      }
    }
  }

  /** One call. Returns why it failed, if it did. */
  private async step (signal: AbortSignal): Promise<Failure | undefined> {
    const { store, topic, receiver, clock, events } = this.options
    if (this.next === undefined || this.lostAt !== undefined) {
      const newest = await store.newest(topic, signal)
      if (newest.isErr) return newest.error
      this.noteReturn()
      this.next = newest.value.end
      receiver.replace(newest.value.records)
      return undefined
    }
    const read = await store.read(topic, this.next, this.waitMilliseconds, signal)
    if (read.isErr) return read.error
    if (read.value === 'expired') {
      events.info('topic_history_expired', { topic, offset: this.next })
      this.next = undefined
      return undefined
    }
    this.next = read.value.next
    if (read.value.records.length === 0) return undefined
    receiver.apply(read.value.records)
    await clock.sleep(changePauseMilliseconds, signal)
    return undefined
  }

  private noteLoss (failed: Failure): void {
    if (this.lostAt !== undefined) return
    this.lostAt = this.options.clock.monotonic()
    this.options.events.warn('store_lost', { topic: this.options.topic, offset: this.next, reason: failed.message })
  }

  private noteReturn (): void {
    if (this.lostAt === undefined) return
    const { clock, events, topic } = this.options
    this.regainedAt = clock.monotonic()
    events.info('store_regained', { topic, milliseconds: Math.round(this.regainedAt - this.lostAt) })
    this.lostAt = undefined
  }
}

/**
 * Follows a topic of the store that keeps the newest record of each key: reads them all, then waits for changes, and
 * starts over when the store has dropped records that were not read yet.
 */
import { Backoff, type Clock, type Failure, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { KeyedRecord, StoreClient } from './StoreClient.js'

/**
 * Longest wait of one read, in milliseconds. A host counts as undisturbed 3 s after a cut and has to know by then what
 * was written meanwhile, although its connection may have become silent: the wait and the time for the answer (0.7 s)
 * stay below that.
 */
const waitMilliseconds = 2000

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
  store: StoreClient
  receiver: TopicReceiver
  clock: Clock
  events: EventLog
}

/** Follows one topic. */
export class TopicFollower {
  private task: Task | undefined
  private next: number | undefined
  private lostAt: number | undefined
  private regainedAt = -Infinity

  constructor (private readonly options: TopicFollowerOptions) {}

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
    const { store, topic, receiver, events } = this.options
    if (this.next === undefined || this.lostAt !== undefined) {
      const newest = await store.newest(topic, signal)
      if (newest.isErr) return newest.error
      this.noteReturn()
      this.next = newest.value.end
      receiver.replace(newest.value.records)
      return undefined
    }
    const read = await store.read(topic, this.next, waitMilliseconds, signal)
    if (read.isErr) return read.error
    if (read.value === 'expired') {
      events.info('topic_history_expired', { topic, offset: this.next })
      this.next = undefined
      return undefined
    }
    this.next = read.value.next
    if (read.value.records.length > 0) receiver.apply(read.value.records)
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

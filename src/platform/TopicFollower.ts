/**
 * Follows a compacted topic of the store: reads the newest record of each key, then waits for changes by long polls,
 * and starts over when the store has dropped records that were not read yet, or has come back from an older copy.
 */
import { Backoff, type Clock, type Failure, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { KeyedRecord, NewestRecords, StoreClient } from './StoreClient.js'
import type { StoreEra } from './StoreEra.js'

/**
 * Part of the stable window that is reserved for the time limit of a read (0.7 s) and for reading the topic again, in
 * milliseconds. By the end of the window a host has to know the records that were written after its connection became
 * silent.
 */
const rereadReserveMilliseconds = 1000

/** Minimum duration of a long poll, in milliseconds; it applies if the stable window leaves less time. */
const minLongPollMilliseconds = 500

/**
 * Pause after a change, in milliseconds, so that one read returns the following changes of a burst. A change has to
 * take effect within 2 s.
 */
const changeBatchMilliseconds = 250

/**
 * Time in milliseconds after a change, or after `expectChanges`, for which long polls are short although the topic is
 * polled rarely at rest.
 */
const expectedChangeMilliseconds = 30_000

/** Delays after failed calls. The platform charges for each call to the store, also for rejected ones. */
const backoffOptions = { firstMilliseconds: 100, maxMilliseconds: 1000 }

/** Maximum number of records of one read for which a failure is logged. */
const maxLoggedFailures = 8

/** Receives the records of a topic. */
export interface TopicReceiver {
  /**
   * Takes the newest record of each key as the whole state, with the era of the store. A key that is missing was deleted,
   * or written shortly before the store was restored if the era is later than before.
   */
  replace: (records: KeyedRecord[], era: number) => void
  /** Takes changes in the order in which they were written, in the era of the last whole state. */
  apply: (records: KeyedRecord[]) => void
  /**
   * True if the value of a record can be used. In a whole state, other records have an empty value, so that they take no
   * memory. Default: all can.
   */
  isUsable?: (record: KeyedRecord) => boolean
}

/** Options of a `TopicFollower`. */
export interface TopicFollowerOptions {
  topic: string
  store: Pick<StoreClient, 'newest' | 'read' | 'close'>
  /** Newest era of the store that any client of this host knows. */
  era: Pick<StoreEra, 'current' | 'onRise'>
  receiver: TopicReceiver
  clock: Clock
  events: EventLog
  /** Time without disturbance after which a host's view of the topic has to be up to date, in milliseconds. */
  stableWindowMilliseconds: number
  /**
   * Duration of a long poll in milliseconds while no changes are expected. Meanwhile a connection that became silent can
   * hide changes for that long. Default: as limited by the stable window.
   */
  restMilliseconds?: number
  /** Pause after a change in milliseconds, so that one read returns the following ones. Default: 250. */
  batchMilliseconds?: number
}

/** Passes the records of a topic to its receiver until it is stopped, and repeats failed calls. */
export class TopicFollower {
  private task: Task | undefined
  private nextOffset: number | undefined
  /** Era in which `nextOffset` was learnt; undefined before the first read. */
  private offsetEra: number | undefined
  private disconnectedAt: number | undefined
  private reconnectedAt = -Infinity
  /** Monotonic time in milliseconds of the last answered read. */
  private answeredAt = -Infinity

  private changesExpectedUntil = -Infinity
  /** Aborts the open long poll. */
  private openPoll: AbortController | undefined
  /** True if the open long poll is longer than the stable window allows. */
  private isResting = false
  private stopListening: () => void = () => {}

  private readonly longPollMilliseconds: number

  constructor (private readonly options: TopicFollowerOptions) {
    this.longPollMilliseconds = Math.max(minLongPollMilliseconds, options.stableWindowMilliseconds - rereadReserveMilliseconds)
  }

  /**
   * Monotonic time in milliseconds of the last reconnection to the store, or of the first read of a restored one;
   * `-Infinity` before the first of them.
   */
  get connectedSince (): number {
    return this.reconnectedAt
  }

  /** Offset up to which the topic was read; undefined while it has to be read as a whole. */
  get position (): number | undefined {
    return this.mustReadWhole ? undefined : this.nextOffset
  }

  /**
   * True if the records up to the last stable window are known. False while the store is lost, and after this process or its
   * connection stood still, until the next answered read.
   */
  get isCurrent (): boolean {
    const maxAgeMilliseconds = this.longPollMilliseconds + rereadReserveMilliseconds
    return this.position !== undefined && this.options.clock.monotonic() - this.answeredAt <= maxAgeMilliseconds
  }

  /**
   * Reads with short long polls for 30 s, and replaces an open one that is longer: its connection may have become silent.
   */
  expectChanges (): void {
    this.changesExpectedUntil = this.options.clock.monotonic() + expectedChangeMilliseconds
    if (this.isResting) this.openPoll?.abort()
  }

  start (): void {
    const { events, topic, era } = this.options
    this.stopListening()
    // The connection of the open poll may have become silent at the restore.
    this.stopListening = era.onRise(() => { this.openPoll?.abort() })
    this.task ??= Task.start(signal => this.run(signal), error => {
      events.error('topic_follower_ended', { topic, reason: String(error) })
    })
  }

  async stop (): Promise<void> {
    this.stopListening()
    await this.task?.stop()
    await this.options.store.close()
  }

  private async run (signal: AbortSignal): Promise<void> {
    const backoff = new Backoff(backoffOptions)
    while (!signal.aborted) {
      const failed = await this.poll(signal)
      if (failed === undefined) backoff.reset()
      else if (!signal.aborted) {
        this.recordDisconnect(failed)
        await this.options.clock.sleep(backoff.next(), signal)
      }
    }
  }

  /** True if no offset is known, or if records may have been missed since it was learnt. */
  private get mustReadWhole (): boolean {
    return this.nextOffset === undefined || this.disconnectedAt !== undefined || this.isFromEarlierEra
  }

  /** True if the known offset is from before a restore of the store, after which it belongs to other records. */
  private get isFromEarlierEra (): boolean {
    return this.offsetEra !== undefined && this.offsetEra < this.options.era.current
  }

  /** Makes one call to the store. Returns its failure, if any. */
  private async poll (signal: AbortSignal): Promise<Failure | undefined> {
    const { store, topic, receiver } = this.options
    if (!this.mustReadWhole) return await this.readChanges(this.nextOffset!, signal)
    const newest = await store.newest(topic, signal, record => this.isUsable(record))
    if (newest.isErr) return newest.error
    this.answeredAt = this.options.clock.monotonic()
    this.recordReconnect()
    this.recordPosition(newest.value)
    this.deliver(newest.value.records, records => { receiver.replace(records, newest.value.era) })
    return undefined
  }

  private isUsable (record: KeyedRecord): boolean {
    try {
      return this.options.receiver.isUsable?.(record) ?? true
    } catch {
      // The receiver logs the record as unusable when it takes the whole state.
      return false
    }
  }

  /** Makes one long poll from an offset. Returns its failure, if any. */
  private async readChanges (from: number, signal: AbortSignal): Promise<Failure | undefined> {
    const { store, topic, receiver, clock, events } = this.options
    const restMilliseconds = clock.monotonic() < this.changesExpectedUntil ? undefined : this.options.restMilliseconds
    const replaced = new AbortController()
    this.openPoll = replaced
    this.isResting = restMilliseconds !== undefined
    const read = await store.read(
      topic, from, restMilliseconds ?? this.longPollMilliseconds, AbortSignal.any([signal, replaced.signal]))
    this.openPoll = undefined
    if (read.isErr) return replaced.signal.aborted ? undefined : read.error
    this.answeredAt = clock.monotonic()
    if (this.isFromEarlierEra) return undefined
    if (read.value === 'expired') {
      events.info('topic_history_expired', { topic, offset: from })
      this.nextOffset = undefined
      return undefined
    }
    this.nextOffset = read.value.next
    if (read.value.records.length === 0) return undefined
    this.changesExpectedUntil = clock.monotonic() + expectedChangeMilliseconds
    this.deliver(read.value.records, records => { receiver.apply(records) })
    await clock.sleep(this.options.batchMilliseconds ?? changeBatchMilliseconds, signal)
    return undefined
  }

  /** Passes records to the receiver. If it throws, passes them one by one, and leaves out those for which it throws. */
  private deliver (records: KeyedRecord[], take: (records: KeyedRecord[]) => void): void {
    try {
      take(records)
    } catch {
      const failed = records.flatMap(record => {
        const reason = this.failureOf(record)
        return reason === undefined ? [] : [{ record, reason }]
      })
      this.logFailures(failed)
      const unusable = new Set(failed.map(({ record }) => record))
      try {
        take(records.filter(record => !unusable.has(record)))
      } catch (caught) {
        this.options.events.error('records_failed', { topic: this.options.topic, count: records.length, reason: String(caught) })
      }
    }
  }

  /** Passes one record to the receiver; returns the reason if it throws. */
  private failureOf (record: KeyedRecord): string | undefined {
    try {
      this.options.receiver.apply([record])
      return undefined
    } catch (caught) {
      return caught instanceof Error ? caught.stack ?? caught.message : String(caught)
    }
  }

  private logFailures (failed: Array<{ record: KeyedRecord, reason: string }>): void {
    const { events, topic } = this.options
    for (const { record: { key, value }, reason } of failed.slice(0, maxLoggedFailures)) {
      events.error('record_failed', { topic, key, bytes: value?.length ?? 0, count: failed.length, reason })
    }
  }

  /** Notes the end of the topic as a whole and its era. */
  private recordPosition ({ end, era }: NewestRecords): void {
    const { clock, events, topic } = this.options
    if (this.offsetEra !== undefined && this.offsetEra < era) {
      this.reconnectedAt = clock.monotonic()
      events.info('topic_restored', { topic, era, before: this.offsetEra, offset: this.nextOffset, end })
    }
    this.offsetEra = era
    this.nextOffset = end
  }

  private recordDisconnect (failed: Failure): void {
    if (this.disconnectedAt !== undefined) return
    this.disconnectedAt = this.options.clock.monotonic()
    this.options.events.warn('store_lost', { topic: this.options.topic, offset: this.nextOffset, reason: failed.message })
  }

  private recordReconnect (): void {
    if (this.disconnectedAt === undefined) return
    const { clock, events, topic } = this.options
    this.reconnectedAt = clock.monotonic()
    events.info('store_regained', { topic, milliseconds: Math.round(this.reconnectedAt - this.disconnectedAt) })
    this.disconnectedAt = undefined
  }
}

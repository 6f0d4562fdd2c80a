/**
 * The store as the follower of one topic sees it: reads changes through a relay where that is possible, and otherwise, like
 * the topic as a whole, from the store itself.
 */
import { Result } from 'true-myth'
import { type Clock, failure, type Failure } from '../../common/index.js'
import type { KeyedRecord, NewestRecords, ReadOutcome, RecordPage, StoreClient } from '../StoreClient.js'
import type { RelayClient } from './RelayClient.js'
import type { RelayedTopic } from './RelayedTopic.js'

/** Longest wait that is asked of a relay, and time limit of the read, in milliseconds. */
const maxRelayWaitMilliseconds = 1000
const maxRelayReadMilliseconds = 1300

/** Time of an answer beyond its wait that is allowed to a relay, in milliseconds. */
const relayResponseMilliseconds = maxRelayReadMilliseconds - maxRelayWaitMilliseconds

/**
 * Time after which the end of the topic is asked of the store, in milliseconds, if no relay has confirmed it. A change has
 * to be known 3 s after it was acknowledged, whatever happens to the relay.
 */
const maxUnconfirmedMilliseconds = 2700

/** Where a read was answered. */
export type ReadSource = 'relay' | 'store'

/** Shortest wait of a read of the store, in milliseconds. */
const minStoreWaitMilliseconds = 500

/** Options of a `RelayReader`. */
export interface RelayReaderOptions {
  relays: Pick<RelayClient, 'read' | 'close' | 'directMilliseconds' | 'isAvailable'>
  /** The topic as this host reads it from the store. */
  local: Pick<RelayedTopic, 'read' | 'isServing' | 'viewTime' | 'release' | 'stop'>
  /** Reads the topic as a whole. */
  store: Pick<StoreClient, 'newest' | 'close'>
  clock: Clock
  /** Counts reads of changes. */
  onRead: (source: ReadSource) => void
}

/** Reads one topic for one follower, which makes one call at a time. */
export class RelayReader implements Pick<StoreClient, 'newest' | 'read' | 'close'> {
  /** Latest time at which the records that were read are known to have been all. */
  private confirmedAt = -Infinity
  /** Aborts the open read through a relay. */
  private relayRead: AbortController | undefined
  private hasReadStore = false

  constructor (private readonly options: RelayReaderOptions) {}

  async newest (
    topic: string,
    signal?: AbortSignal,
    isUsable?: (record: KeyedRecord) => boolean
  ): Promise<Result<NewestRecords, Failure>> {
    const { store, clock } = this.options
    const sentAt = clock.monotonic()
    const newest = await store.newest(topic, signal, isUsable)
    if (newest.isOk) this.confirmedAt = sentAt
    // Until the next whole read, an idle connection may have become silent.
    await store.close()
    return newest
  }

  async read (
    topic: string,
    from: number,
    waitMilliseconds: number,
    signal: AbortSignal = new AbortController().signal
  ): Promise<Result<ReadOutcome, Failure>> {
    const { local, onRead } = this.options
    const limit = this.relayLimit
    if (limit !== undefined) {
      const page = await this.readThroughRelay({ topic, from, wait: waitMilliseconds }, limit, signal)
      if (page !== undefined) return Result.ok(page)
    }
    if (signal.aborted) return Result.err(failure('cancelled', 'the read was cancelled'))
    this.hasReadStore = true
    const read = await local.read(from, Math.ceil(Math.min(waitMilliseconds, this.maxStoreWait(limit !== undefined))), signal)
    if (read.isOk) {
      onRead('store')
      this.confirmedAt = local.viewTime
    }
    return read
  }

  /** Goes on reading from the store, because other hosts began to read through this one. */
  leaveRelay (): void {
    this.relayRead?.abort()
  }

  async close (): Promise<void> {
    const { local, relays, store } = this.options
    relays.close()
    await local.stop()
    await store.close()
  }

  /**
   * Time limit of a read through a relay, in milliseconds, after which the store can still be asked in time; undefined if
   * no time is left for it, and on a host that relays, so that relays do not read from each other.
   */
  private get relayLimit (): number | undefined {
    const { local, clock } = this.options
    const limit = Math.min(maxRelayReadMilliseconds, this.confirmedAt + maxUnconfirmedMilliseconds - clock.monotonic())
    return limit <= relayResponseMilliseconds || local.isServing ? undefined : limit
  }

  /** Longest wait of a read of the store that lets the next read go to a relay as soon as it may, in milliseconds. */
  private maxStoreWait (hasAskedRelay: boolean): number {
    const { relays, local } = this.options
    if (local.isServing || (relays.directMilliseconds <= 0 && !relays.isAvailable)) return Infinity
    // Without a question to the relay, the store only has to confirm that no change was missed.
    return hasAskedRelay ? Math.max(minStoreWaitMilliseconds, relays.directMilliseconds) : relays.directMilliseconds
  }

  private async readThroughRelay (
    { topic, from, wait: waitMilliseconds }: { topic: string, from: number, wait: number },
    limit: number,
    signal: AbortSignal
  ): Promise<RecordPage | undefined> {
    const { relays, local, clock, onRead } = this.options
    const sentAt = clock.monotonic()
    const left = new AbortController()
    this.relayRead = left
    const wait = Math.floor(Math.min(waitMilliseconds, limit - relayResponseMilliseconds))
    const answer = await relays.read({ topic, from, wait }, limit, AbortSignal.any([signal, left.signal]))
    this.relayRead = undefined
    if (answer === undefined) return undefined
    onRead('relay')
    // The answer may have been under way for long. Without records, the relay sent it at the end of the wait.
    const waitEndsAt = answer.page.next === from ? Math.min(clock.monotonic(), sentAt + wait) : sentAt
    this.confirmedAt = waitEndsAt - answer.age
    if (this.hasReadStore) {
      this.hasReadStore = false
      await local.release()
    }
    return answer.page
  }
}

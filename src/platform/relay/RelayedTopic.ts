/**
 * A topic of the store as this host reads it, for its own follower and for other hosts. One poll of the store at a time
 * serves both. The follower of this host decides at which offset reading begins: after a failed read, lost history or a
 * restore of the store, nothing is answered to other hosts until it has read the topic again.
 */
import { setMaxListeners } from 'node:events'
import { Result } from 'true-myth'
import { type Clock, failure, type Failure } from '../../common/index.js'
import type { ReadOutcome, StoreClient } from '../StoreClient.js'
import type { StoreEra } from '../StoreEra.js'
import { RecordWindow } from './RecordWindow.js'

/** Longest wait of a poll while other hosts read, in milliseconds. */
const servingPollMilliseconds = 1000

/**
 * Age up to which the known end of the topic is passed on, in milliseconds: a poll, its response from a slow store and a
 * pause after a change.
 */
export const maxViewAgeMilliseconds = 1600

/** Time for the response to a poll, beyond its wait, that keeps the view fresh; a slow store takes 240 ms. */
const responseMilliseconds = 300

/** Time by which a timer of the store may end a wait too early, in milliseconds. */
const timerMilliseconds = 20

/** Time after the last read of another host for which this host polls on for them, in milliseconds. */
const servingMilliseconds = 5000

/** Pause after a change while other hosts read, in milliseconds, so that one poll returns the following changes. */
const changeBatchMilliseconds = 250

/** Maximum size of the records that are kept, in bytes. */
const maxWindowBytes = 4_194_304

/** Options of a `RelayedTopic`. */
export interface RelayedTopicOptions {
  topic: string
  /** Used for the polls alone. */
  store: Pick<StoreClient, 'read' | 'close'>
  era: Pick<StoreEra, 'current' | 'onRise'>
  clock: Clock
  /** Called when other hosts begin to read the topic here. */
  onServingStarted?: () => void
  /** Called when the records were dropped, so that nothing can be answered at the moment. */
  onDropped?: () => void
}

/** What a read of another host gets. `texts` are encoded records. */
export type PeerReadOutcome =
  | { kind: 'records', next: number, age: number, texts: string[] }
  | { kind: 'stale' | 'behind' }

/** Polls the store for a topic while anyone reads it. */
export class RelayedTopic {
  private window: RecordWindow | undefined
  /** What ended the window that was dropped last. */
  private lastOutcome: Result<ReadOutcome, Failure> | undefined
  /** Latest time at which the end of the window is known to have been the end of the topic. */
  private viewedAt = -Infinity
  private lastPeerReadAt = -Infinity
  /** Wait of the read of this host's follower that is open; undefined without one. */
  private followerWait: number | undefined
  private openPoll: AbortController | undefined
  private isPolling = false
  private changed = newChange()
  private readonly stopping = new AbortController()
  private readonly stopListening: () => void

  constructor (private readonly options: RelayedTopicOptions) {
    this.stopListening = options.era.onRise(() => {
      this.drop(Result.err(failure('platform_unavailable', 'the store was restored')))
    })
  }

  /** Latest time at which the records that were read are known to have been all. */
  get viewTime (): number {
    return this.viewedAt
  }

  /** True while other hosts read the topic here. */
  get isServing (): boolean {
    return this.options.clock.monotonic() - this.lastPeerReadAt < servingMilliseconds
  }

  /**
   * Reads for the follower of this host, like `StoreClient.read`; it makes one call at a time. Without records it
   * resolves after each poll.
   */
  async read (from: number, waitMilliseconds: number, signal: AbortSignal): Promise<Result<ReadOutcome, Failure>> {
    if (signal.aborted) return Result.err(failure('cancelled', 'the read was cancelled'))
    const window = this.windowFrom(from)
    if (window.end === from) {
      this.followerWait = waitMilliseconds
      const cancel = (): void => { if (!this.isServing) this.openPoll?.abort() }
      signal.addEventListener('abort', cancel, { once: true })
      this.startPolling()
      await this.nextChange(Infinity, signal)
      signal.removeEventListener('abort', cancel)
      this.followerWait = undefined
    }
    if (signal.aborted) return Result.err(failure('cancelled', 'the read was cancelled'))
    if (window !== this.window) return this.lastOutcome ?? Result.err(failure('platform_unavailable', 'reading was stopped'))
    return Result.ok({ records: window.recordsFrom(from), next: window.end, era: window.era })
  }

  /** Reads for another host, which learnt the offset in the given era. */
  async readForPeer (from: number, era: number, waitMilliseconds: number): Promise<PeerReadOutcome> {
    const { clock } = this.options
    this.notePeerRead()
    const until = clock.monotonic() + Math.min(waitMilliseconds, servingPollMilliseconds)
    // At the first read, the follower of this host may still be reading elsewhere, so that no window is there yet.
    let { window } = this
    for (;;) {
      window ??= this.window
      if (era !== this.options.era.current || window !== this.window || this.stopping.signal.aborted) return { kind: 'stale' }
      const remaining = until - clock.monotonic()
      const age = clock.monotonic() - this.viewedAt
      if (window !== undefined && age <= maxViewAgeMilliseconds) {
        if (from < window.start) return { kind: 'behind' }
        const texts = window.textsFrom(from)
        if (texts.length > 0 || remaining <= 0) return { kind: 'records', next: from + texts.length, age, texts }
      }
      if (remaining <= 0) return { kind: 'stale' }
      await this.nextChange(remaining)
    }
  }

  /**
   * Closes the connection to the store if nobody reads here; it may become silent while it is idle. The records are
   * discarded: the follower goes on elsewhere, so that they would be dropped at its next read here, when other hosts may
   * already read them.
   */
  async release (): Promise<void> {
    if (this.isPolling && this.isNeeded) return
    this.window = undefined
    this.viewedAt = -Infinity
    this.openPoll?.abort()
    await this.options.store.close()
  }

  async stop (): Promise<void> {
    this.stopping.abort()
    this.stopListening()
    this.drop(Result.err(failure('platform_unavailable', 'reading was stopped')))
    await this.options.store.close()
  }

  /** True while the follower of this host or another host reads here. */
  private get isNeeded (): boolean {
    return this.isServing || this.followerWait !== undefined
  }

  /** Wait of the next poll for other hosts, so that its response arrives while the view is fresh. */
  private get servingWait (): number {
    const remaining = this.viewedAt + maxViewAgeMilliseconds - responseMilliseconds - this.options.clock.monotonic()
    return Math.floor(Math.max(0, Math.min(servingPollMilliseconds, remaining)))
  }

  /** The window that covers the offset of this host's follower; a new one if it went on elsewhere. */
  private windowFrom (from: number): RecordWindow {
    const { era } = this.options
    if (this.window?.covers(from) === true && this.window.era === era.current) return this.window
    if (this.window !== undefined) this.drop(undefined)
    this.window = new RecordWindow(from, era.current, maxWindowBytes)
    return this.window
  }

  private notePeerRead (): void {
    const wasServing = this.isServing
    this.lastPeerReadAt = this.options.clock.monotonic()
    if (!wasServing) {
      // The open poll waits longer than the view may be old.
      this.openPoll?.abort()
      this.options.onServingStarted?.()
    }
    this.startPolling()
  }

  private startPolling (): void {
    if (this.isPolling || this.stopping.signal.aborted) return
    this.isPolling = true
    this.poll().catch((caught: unknown) => {
      this.isPolling = false
      this.drop(Result.err(failure('platform_unavailable', String(caught))))
    })
  }

  private async poll (): Promise<void> {
    while (this.window !== undefined && this.isNeeded) {
      await this.pollOnce(this.window)
    }
    this.isPolling = false
  }

  private async pollOnce (window: RecordWindow): Promise<void> {
    const { store, topic, clock } = this.options
    const from = window.end
    const waitMilliseconds = this.isServing ? this.servingWait : this.followerWait ?? 0
    const controller = new AbortController()
    this.openPoll = controller
    const sentAt = clock.monotonic()
    const read = await store.read(topic, from, waitMilliseconds, controller.signal)
    this.openPoll = undefined
    if (window !== this.window || (read.isErr && controller.signal.aborted)) return
    if (read.isErr || read.value === 'expired' || read.value.era !== window.era) return this.drop(read)
    window.append(read.value)
    this.viewedAt = this.viewTimeOf({ isEmpty: window.end === from, sentAt, waitMilliseconds })
    // The follower's read ends here. Its caller goes on only after this loop has decided about a further poll.
    this.followerWait = undefined
    this.notifyChange()
    if (window.end > from && this.isServing) await clock.sleep(changeBatchMilliseconds, this.stopping.signal)
  }

  /**
   * Latest time at which the store certainly had no further records. Its response may have been under way for long, since
   * the network or this process stood still: only the time of the call counts, and without records also the wait.
   */
  private viewTimeOf (
    { isEmpty, sentAt, waitMilliseconds }: { isEmpty: boolean, sentAt: number, waitMilliseconds: number }
  ): number {
    const waitEndsAt = sentAt + waitMilliseconds
    const now = this.options.clock.monotonic()
    return isEmpty && now >= waitEndsAt - timerMilliseconds ? Math.min(now, waitEndsAt) : sentAt
  }

  /** Drops the records. The follower's open read gets the outcome. */
  private drop (outcome: Result<ReadOutcome, Failure> | undefined): void {
    if (this.window === undefined) return
    this.window = undefined
    this.lastOutcome = outcome
    this.viewedAt = -Infinity
    this.openPoll?.abort()
    this.notifyChange()
    this.options.onDropped?.()
  }

  private notifyChange (): void {
    const { changed } = this
    this.changed = newChange()
    changed.abort()
  }

  private async nextChange (milliseconds: number, signal?: AbortSignal): Promise<void> {
    const { signal: changed } = this.changed
    const either = signal === undefined ? changed : AbortSignal.any([changed, signal])
    if (milliseconds === Infinity) await aborted(either)
    else await this.options.clock.sleep(milliseconds, either)
  }
}

/** Aborts at the next change. Node.js takes the many reads that wait for it for a leak of listeners otherwise. */
function newChange (): AbortController {
  const controller = new AbortController()
  setMaxListeners(0, controller.signal)
  return controller
}

async function aborted (signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise<void>(resolve => { signal.addEventListener('abort', () => { resolve() }, { once: true }) })
}

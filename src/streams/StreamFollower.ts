/**
 * Keeps a fold up to date with its stream: chooses a source, takes its messages, turns to the next source
 * when one fails or falls silent, and goes back to a better one later. The offset is kept over all of this,
 * so no record is lost or applied twice.
 */
import { Backoff, ChangeNotifier, type Clock, failureOf, type Offset, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { StreamName } from '../clients/index.js'
import { logSourceName } from './LogSource.js'
import type { RecordSource, SourceDirectory, SourceMessage } from './RecordSource.js'
import type { RelayBufferOptions } from './RelayBuffer.js'
import { SourceConnection } from './SourceConnection.js'
import type { StreamFold } from './StreamFold.js'
import { type AppliedListener, type SkipReason, StreamReplica } from './StreamReplica.js'

/** Options of a `StreamFollower`. Times are in milliseconds. */
export interface StreamFollowerOptions {
  fold: StreamFold
  directory: SourceDirectory
  clock: Clock
  events: EventLog
  /** A source without a message for this long is given up. Default: 3,000. */
  silenceMilliseconds?: number
  /** How often the better sources are tried while a worse one is followed. Default: 10,000. */
  betterSourceMilliseconds?: number
  /** Limits of the relay buffer. Default: 10,000 records or 4 MB. */
  buffer?: RelayBufferOptions
  /** Called for each record that reached the fold. */
  onApplied?: AppliedListener
  /** Called for each record without effect. */
  onSkipped?: (reason: SkipReason) => void
  /** Random number from 0 to 1 for the jitter; tests set it. */
  random?: () => number
}

const defaultSilenceMilliseconds = 3000
const defaultBetterSourceMilliseconds = 10_000

/** Delay between tries; the log has its own, longer backoff in `LogSource`. */
const backoffOptions = { firstMilliseconds: 50, maxMilliseconds: 1000 }

/** Follower of one stream. */
export class StreamFollower {
  readonly replica: StreamReplica
  private readonly backoff: Backoff
  private task: Task | undefined
  private currentSource: string | undefined

  constructor (private readonly options: StreamFollowerOptions) {
    const { fold, clock, events, buffer, onApplied, onSkipped, random } = options
    this.replica = new StreamReplica({ fold, clock, events, buffer, onApplied, onSkipped })
    this.backoff = new Backoff({ ...backoffOptions, random })
  }

  /** The followed stream. */
  get stream (): StreamName {
    return this.options.fold.stream
  }

  /** Last applied offset. */
  get through (): Offset {
    return this.replica.through
  }

  /** True once the host has had a complete state of the stream. */
  get isReady (): boolean {
    return this.replica.isReady
  }

  /** Name of the source that is followed now. */
  get sourceName (): string | undefined {
    return this.currentSource
  }

  /** Starts following. */
  start (): void {
    this.task ??= Task.start(signal => this.run(signal), error => {
      this.options.events.error('stream_follower_failed', { stream: this.stream, reason: failureOf(error).message })
    })
  }

  /** Stops following; the state stays as it is. */
  async stop (): Promise<void> {
    await this.task?.stop()
  }

  /** Waits until the record at the offset is applied; false if the signal aborted first. */
  async waitUntilApplied (offset: Offset, signal?: AbortSignal): Promise<boolean> {
    return await this.replica.changes.waitUntil(() => this.through >= offset, signal)
  }

  /** Waits until the host has a complete state of the stream; false if the signal aborted first. */
  async waitUntilReady (signal?: AbortSignal): Promise<boolean> {
    return await this.replica.changes.waitUntil(() => this.isReady, signal)
  }

  private async run (signal: AbortSignal): Promise<void> {
    let connection = await this.openNewest(signal)
    while (!signal.aborted) {
      connection ??= await this.openNext(signal)
      if (connection === undefined) continue
      connection = await this.followUntilReplaced(connection, signal)
    }
    connection?.close()
  }

  /**
   * Asks all sources at once and takes the one that is furthest ahead, so that a host that starts during an
   * outage of the log does not start from a state that lags behind what other hosts have. An answer of the
   * log itself ends the wait for the others.
   */
  private async openNewest (signal: AbortSignal): Promise<SourceConnection | undefined> {
    const opened: SourceConnection[] = []
    let isChosen = false
    const logAnswered = new ChangeNotifier()
    const attempts = this.options.directory.sources().map(async (source, rank) => {
      const connection = await this.tryOpen(source, rank, signal)
      if (connection === undefined) return
      if (isChosen) connection.close()
      opened.push(connection)
      if (source.name === logSourceName) logAnswered.notify()
    })
    await Promise.race([Promise.all(attempts), logAnswered.wait(signal)])
    isChosen = true
    const [newest, ...others] = opened.sort((left, right) => reach(right) - reach(left) || left.rank - right.rank)
    for (const connection of others) connection.close()
    return newest
  }

  /** Goes through the sources in order of preference, beginning after the one that failed last. */
  private async openNext (signal: AbortSignal): Promise<SourceConnection | undefined> {
    await this.options.clock.sleep(this.backoff.next(), signal)
    const sources = this.options.directory.sources()
    const failed = sources.findIndex(source => source.name === this.currentSource)
    const ranks = sources.map((_source, index) => (failed + 1 + index) % sources.length)
    for (const rank of ranks) {
      const source = sources[rank]
      if (source === undefined || signal.aborted) return undefined
      const connection = await this.tryOpen(source, rank, signal)
      if (connection !== undefined) return connection
    }
    this.currentSource = undefined
    return undefined
  }

  private async tryOpen (source: RecordSource, rank: number, signal: AbortSignal): Promise<SourceConnection | undefined> {
    const { clock, silenceMilliseconds = defaultSilenceMilliseconds } = this.options
    const from = this.replica.wanted()
    try {
      return await SourceConnection.open({ source, rank, stream: this.stream, from, clock, silenceMilliseconds, signal })
    } catch (caught) {
      if (!signal.aborted) this.reportFailure(source, caught)
      return undefined
    }
  }

  /** Follows a source; returns a better one that was found meanwhile, or undefined when the source failed. */
  private async followUntilReplaced (connection: SourceConnection, signal: AbortSignal): Promise<SourceConnection | undefined> {
    this.currentSource = connection.source.name
    this.replica.beginSource()
    this.options.events.info('source_chosen', { stream: this.stream, peer: connection.source.name, offset: this.through })
    const search = new AbortController()
    const better = this.findBetter(connection.rank, signal, AbortSignal.any([signal, search.signal]))
    const failed = this.receiveAll(connection, signal)
    const replacement = await Promise.race([better, failed])
    search.abort()
    connection.close()
    // A search that found a source just as this one failed has to be closed as well.
    if (replacement === undefined) better.then(found => found?.close(), () => {})
    return replacement
  }

  private async receiveAll (connection: SourceConnection, signal: AbortSignal): Promise<undefined> {
    try {
      while (!signal.aborted) {
        const message = await connection.next()
        const before = this.through
        const result = this.replica.receive(message)
        if (result !== 'continue') {
          this.options.events.info('source_left', { stream: this.stream, peer: connection.source.name, reason: result })
          if (result === 'follow_again') this.currentSource = undefined
          return undefined
        }
        if (this.through > before || message.kind === 'heartbeat') this.backoff.reset()
      }
    } catch (caught) {
      if (!signal.aborted) this.reportFailure(connection.source, caught)
    }
    return undefined
  }

  /** Tries the sources that are preferred over the given rank, now and then, until one answers or the search ends. */
  private async findBetter (rank: number, signal: AbortSignal, searchEnd: AbortSignal): Promise<SourceConnection | undefined> {
    const { clock, directory, betterSourceMilliseconds = defaultBetterSourceMilliseconds } = this.options
    while (!searchEnd.aborted) {
      await clock.sleep(betterSourceMilliseconds, searchEnd)
      const sources = directory.sources()
      const current = sources.findIndex(source => source.name === this.currentSource)
      for (const [betterRank, source] of sources.slice(0, current < 0 ? rank : current).entries()) {
        if (searchEnd.aborted) return undefined
        const found = await this.tryOpen(source, betterRank, signal)
        if (found !== undefined) return found
      }
    }
    return undefined
  }

  private reportFailure (source: RecordSource, caught: unknown): void {
    const { kind, message } = failureOf(caught)
    this.options.events.info('source_failed', { stream: this.stream, peer: source.name, kind, reason: message })
  }
}

/** How far the first message of a source shows it to be. */
function reach (connection: SourceConnection): number {
  const message: SourceMessage | undefined = connection.firstMessage
  if (message === undefined) return 0
  return message.kind === 'snapshot' ? message.through + 1 : message.nextOffset
}

/**
 * Keeps a projection up to date with its stream: chooses a source, receives its messages, switches to the next source when
 * one fails or falls silent, and returns to a preferred one later. The offset is kept across these changes, so no
 * record is lost or applied twice.
 */
import { Backoff, ChangeNotifier, type Clock, failureOf, type Offset, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { StreamName } from '../clients/index.js'
import { logSourceName } from './LogSource.js'
import type { RecordSource, SourceDirectory, SourceMessage } from './RecordSource.js'
import type { RelayBufferOptions } from './RelayBuffer.js'
import { SourceConnection } from './SourceConnection.js'
import type { StreamProjection } from './StreamProjection.js'
import { type AppliedListener, type SkipReason, StreamReplica } from './StreamReplica.js'

/** Options of a `StreamFollower`. Times are in milliseconds. */
export interface StreamFollowerOptions {
  projection: StreamProjection
  directory: SourceDirectory
  clock: Clock
  events: EventLog
  /** Time without a message after which the follower abandons its source. Default: 3,000. */
  silenceMilliseconds?: number
  /** Interval at which the follower tries the sources that it prefers over its current one. Default: 10,000. */
  betterSourceMilliseconds?: number
  /** Limits of the relay buffer. Default: 10,000 records and 4 MiB. */
  buffer?: RelayBufferOptions
  /** Called for each record that was passed to the projection. */
  onApplied?: AppliedListener
  /** Called for each record without effect. */
  onSkipped?: (reason: SkipReason) => void
  /** Source of random numbers from 0 to 1 for the backoff jitter; tests replace it. */
  random?: () => number
}

const defaultSilenceMilliseconds = 3000
const defaultBetterSourceMilliseconds = 10_000

/** Delay between two passes over the sources; `LogSource` has its own, longer backoff for the log. */
const backoffOptions = { firstMilliseconds: 50, maxMilliseconds: 1000 }

/** Keeps the replica of one stream up to date from the most preferred source that works. */
export class StreamFollower {
  readonly replica: StreamReplica
  private readonly backoff: Backoff
  private task: Task | undefined
  private currentSourceName: string | undefined

  constructor (private readonly options: StreamFollowerOptions) {
    const { projection, clock, events, buffer, onApplied, onSkipped, random } = options
    this.replica = new StreamReplica({ projection, clock, events, buffer, onApplied, onSkipped })
    this.backoff = new Backoff({ ...backoffOptions, random })
  }

  /** The followed stream. */
  get stream (): StreamName {
    return this.options.projection.stream
  }

  /** Offset of the last applied record. */
  get through (): Offset {
    return this.replica.through
  }

  /** True once the host has had a complete state of the stream. */
  get isReady (): boolean {
    return this.replica.isReady
  }

  /** Name of the source that was chosen last; undefined before the first choice and after a pass in which all sources failed. */
  get sourceName (): string | undefined {
    return this.currentSourceName
  }

  /** Starts following. */
  start (): void {
    this.task ??= Task.start(signal => this.run(signal), error => {
      this.options.events.error('stream_follower_failed', { stream: this.stream, reason: failureOf(error).message })
    })
  }

  /** Stops following; the replica keeps its state. */
  async stop (): Promise<void> {
    await this.task?.stop()
  }

  /** Waits until the record at the offset is applied. Returns false if the signal aborts first. */
  async waitUntilApplied (offset: Offset, signal?: AbortSignal): Promise<boolean> {
    return await this.replica.changes.waitUntil(() => this.through >= offset, signal)
  }

  /** Waits until the host has a complete state of the stream. Returns false if the signal aborts first. */
  async waitUntilReady (signal?: AbortSignal): Promise<boolean> {
    return await this.replica.changes.waitUntil(() => this.isReady, signal)
  }

  private async run (signal: AbortSignal): Promise<void> {
    let connection = await this.openMostAdvanced(signal)
    while (!signal.aborted) {
      connection ??= await this.openNext(signal)
      if (connection === undefined) continue
      connection = await this.followUntilReplaced(connection, signal)
    }
    connection?.close()
  }

  /**
   * Opens all sources concurrently and keeps the one that is furthest ahead, so that a host that starts during an
   * outage of the log does not start from a state older than what other hosts have. Once the log itself has responded,
   * the other sources are no longer waited for.
   */
  private async openMostAdvanced (signal: AbortSignal): Promise<SourceConnection | undefined> {
    const opened: SourceConnection[] = []
    let isChosen = false
    const logResponded = new ChangeNotifier()
    const attempts = this.options.directory.sources().map(async (source, rank) => {
      const connection = await this.tryOpen(source, rank, signal)
      if (connection === undefined) return
      if (isChosen) connection.close()
      opened.push(connection)
      if (source.name === logSourceName) logResponded.notify()
    })
    await Promise.race([Promise.all(attempts), logResponded.wait(signal)])
    isChosen = true
    const [mostAdvanced, ...others] = opened
      .sort((left, right) => headOffsetOf(right) - headOffsetOf(left) || left.rank - right.rank)
    for (const connection of others) connection.close()
    return mostAdvanced
  }

  /** Tries the sources in order of preference, starting after the source that was followed last and wrapping around. */
  private async openNext (signal: AbortSignal): Promise<SourceConnection | undefined> {
    await this.options.clock.sleep(this.backoff.next(), signal)
    const sources = this.options.directory.sources()
    const failedIndex = sources.findIndex(source => source.name === this.currentSourceName)
    const ranks = sources.map((_source, index) => (failedIndex + 1 + index) % sources.length)
    for (const rank of ranks) {
      const source = sources[rank]
      if (source === undefined || signal.aborted) return undefined
      const connection = await this.tryOpen(source, rank, signal)
      if (connection !== undefined) return connection
    }
    this.currentSourceName = undefined
    return undefined
  }

  private async tryOpen (source: RecordSource, rank: number, signal: AbortSignal): Promise<SourceConnection | undefined> {
    const { clock, silenceMilliseconds = defaultSilenceMilliseconds } = this.options
    const from = this.replica.wantedOffset()
    try {
      return await SourceConnection.open({ source, rank, stream: this.stream, from, clock, silenceMilliseconds, signal })
    } catch (caught) {
      if (!signal.aborted) this.logSourceFailure(source, caught)
      return undefined
    }
  }

  /** Follows a source until it fails, or until a preferred source is found, which is then returned. */
  private async followUntilReplaced (connection: SourceConnection, signal: AbortSignal): Promise<SourceConnection | undefined> {
    this.currentSourceName = connection.source.name
    this.replica.switchSource()
    this.options.events.info('source_chosen', { stream: this.stream, peer: connection.source.name, offset: this.through })
    const searchController = new AbortController()
    const preferredSearch = this.findPreferred(connection.rank, signal, AbortSignal.any([signal, searchController.signal]))
    const sourceEnded = this.receiveUntilFailure(connection, signal)
    const replacement = await Promise.race([preferredSearch, sourceEnded])
    searchController.abort()
    connection.close()
    // The search may still find a source after this one has failed; that connection must be closed too.
    if (replacement === undefined) preferredSearch.then(found => found?.close(), () => {})
    return replacement
  }

  private async receiveUntilFailure (connection: SourceConnection, signal: AbortSignal): Promise<undefined> {
    try {
      while (!signal.aborted) {
        const message = await connection.next()
        const throughBefore = this.through
        const result = this.replica.receive(message)
        if (result !== 'continue') {
          this.options.events.info('source_left', { stream: this.stream, peer: connection.source.name, reason: result })
          if (result === 'follow_again') this.currentSourceName = undefined
          return undefined
        }
        if (this.through > throughBefore || message.kind === 'heartbeat') this.backoff.reset()
      }
    } catch (caught) {
      if (!signal.aborted) this.logSourceFailure(connection.source, caught)
    }
    return undefined
  }

  /** Periodically tries the sources preferred over the current one until one of them responds or the search is aborted. */
  private async findPreferred (
    rank: number, signal: AbortSignal, searchSignal: AbortSignal
  ): Promise<SourceConnection | undefined> {
    const { clock, directory, betterSourceMilliseconds = defaultBetterSourceMilliseconds } = this.options
    while (!searchSignal.aborted) {
      await clock.sleep(betterSourceMilliseconds, searchSignal)
      const sources = directory.sources()
      const currentIndex = sources.findIndex(source => source.name === this.currentSourceName)
      for (const [preferredRank, source] of sources.slice(0, currentIndex < 0 ? rank : currentIndex).entries()) {
        if (searchSignal.aborted) return undefined
        const found = await this.tryOpen(source, preferredRank, signal)
        if (found !== undefined) return found
      }
    }
    return undefined
  }

  private logSourceFailure (source: RecordSource, caught: unknown): void {
    const { kind, message } = failureOf(caught)
    this.options.events.info('source_failed', { stream: this.stream, peer: source.name, kind, reason: message })
  }
}

/** Next offset of the source according to its first message. */
function headOffsetOf (connection: SourceConnection): number {
  const message: SourceMessage | undefined = connection.firstMessage
  if (message === undefined) return 0
  return message.kind === 'snapshot' ? message.through + 1 : message.nextOffset
}

/**
 * Reads topics of the store through a relay, for all followers of a host. After a failure of a relay the host reads from
 * the store for a while, and then chooses again.
 */
import type { Clock } from '../../common/index.js'
import type { EventLog } from '../../observability/index.js'
import type { RecordPage } from '../StoreClient.js'
import type { StoreEra } from '../StoreEra.js'
import type { RelayCandidate, RelayChoice } from './RelayChoice.js'
import { RelayConnection, type RelayReadAnswer, type RelayQuestion } from './RelayConnection.js'
import { decodeRecords } from './relayMessages.js'

/** Time after a failure for which the host reads from the store, in milliseconds. */
const directMilliseconds = 2000

/** Shortest time between two log lines of the same event, in milliseconds; relays may fail in turn. */
const logIntervalMilliseconds = 5000

/** What the client needs of a connection. */
export type RelayLink = Pick<RelayConnection, 'address' | 'read' | 'close' | 'isClosed' | 'closeReason'>

/** Options of a `RelayClient`. */
export interface RelayClientOptions {
  candidates: () => readonly RelayCandidate[]
  choice: RelayChoice
  /** Address of this host for the others; undefined if it has none. */
  ownAddress: string | undefined
  era: Pick<StoreEra, 'current' | 'accept'>
  clock: Clock
  events: EventLog
  /** Opens a connection to a relay. */
  open?: (address: string) => RelayLink
  /** Called when no known relay can be used. */
  onNoneLeft?: () => void
}

/** A page with the time in milliseconds since its end was known to be the end of the topic. */
export interface RelayedPage { page: RecordPage, age: number }

/** Keeps the connection to the relay of this host. */
export class RelayClient {
  private connection: RelayLink | undefined
  private directUntil = -Infinity
  private readonly loggedAt = new Map<string, number>()

  constructor (private readonly options: RelayClientOptions) {}

  /** Reads through a relay. Undefined if the store has to be asked instead. */
  async read (question: Omit<RelayQuestion, 'era'>, limitMilliseconds: number, signal: AbortSignal): Promise<RelayedPage | undefined> {
    const connection = this.connect()
    if (connection === undefined) return undefined
    const { era } = this.options
    const eraBefore = era.current
    const answer = await this.readWithin(limitMilliseconds, connection, { ...question, era: eraBefore }, signal)
    if (signal.aborted) return undefined
    if (answer === undefined) {
      this.recordLoss(connection, connection.closeReason ?? 'the read failed')
      return undefined
    }
    const answerEra = era.accept(String(answer.era))
    // The offset of the read is from before a restore that the relay knows of.
    if (era.current > eraBefore) return undefined
    if (answerEra === undefined || answer.kind === 'stale') {
      this.recordLoss(connection, answerEra === undefined ? 'the relay reads in an earlier era' : 'the relay has no fresh records')
      return undefined
    }
    if (answer.kind === 'behind') return undefined
    return this.pageOf(answer, answerEra, question.from, connection)
  }

  /** Time in milliseconds for which the host still reads from the store after a failure of a relay. */
  get directMilliseconds (): number {
    return Math.max(0, this.directUntil - this.options.clock.monotonic())
  }

  /** Closes the connection to the relay. */
  close (): void {
    this.connection?.close('this host does not use the relay any more')
    this.connection = undefined
  }

  /** True if a read would be sent to a relay now. */
  get isAvailable (): boolean {
    return this.choose() !== undefined
  }

  /** Reads, and closes the connection at the time limit, since the relay may be frozen or the connection silent. */
  private async readWithin (
    limitMilliseconds: number,
    connection: RelayLink,
    question: RelayQuestion,
    signal: AbortSignal
  ): Promise<RelayReadAnswer | undefined> {
    const ended = new AbortController()
    this.options.clock.sleep(limitMilliseconds, ended.signal).then(() => {
      if (!ended.signal.aborted) connection.close(`no answer within ${Math.round(limitMilliseconds)} ms`)
    }, () => {})
    const answer = await connection.read(question, signal)
    ended.abort()
    return answer
  }

  private pageOf (
    { next, age, records }: Extract<RelayReadAnswer, { kind: 'records' }>,
    era: number,
    from: number,
    connection: RelayLink
  ): RelayedPage | undefined {
    if (next === from + records.length) return { page: { records: decodeRecords(records), next, era }, age }
    this.recordLoss(connection, 'the relay left out records')
    return undefined
  }

  /** The preferred relay; undefined if the host has to read from the store. */
  private choose (): RelayCandidate | undefined {
    const { candidates, choice, ownAddress, clock, onNoneLeft } = this.options
    if (clock.monotonic() < this.directUntil) return undefined
    const known = candidates()
    const chosen = choice.choose(known)
    if (chosen === undefined && known.length > 0) onNoneLeft?.()
    return chosen?.address === ownAddress ? undefined : chosen
  }

  /** The connection to the preferred relay; undefined if the host has to read from the store. */
  private connect (): RelayLink | undefined {
    const { open = address => new RelayConnection(address) } = this.options
    const chosen = this.choose()
    if (chosen === undefined) {
      this.close()
      return undefined
    }
    if (this.connection?.address === chosen.address && !this.connection.isClosed) return this.connection
    this.close()
    this.connection = open(chosen.address)
    this.log('relay_chosen', { ...chosen })
    return this.connection
  }

  /** Records the failure of a relay once, also if several reads fail with it. */
  private recordLoss (connection: RelayLink, reason: string): void {
    if (connection !== this.connection) return
    const { choice, clock } = this.options
    connection.close(reason)
    this.connection = undefined
    this.directUntil = clock.monotonic() + directMilliseconds
    choice.recordFailure(connection.address)
    this.log('relay_lost', { address: connection.address, reason })
  }

  private log (event: string, fields: Record<string, string | undefined>): void {
    const now = this.options.clock.monotonic()
    if (now - (this.loggedAt.get(event) ?? -Infinity) < logIntervalMilliseconds) return
    this.loggedAt.set(event, now)
    this.options.events.info(event, fields)
  }
}

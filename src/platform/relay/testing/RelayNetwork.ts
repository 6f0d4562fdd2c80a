/**
 * A store, hosts that follow one of its topics, and the connections between them, for tests: all in one process on a
 * manual clock, with faults of single connections.
 */
import { Result } from 'true-myth'
import { type Failure, failure, type Hash, ManualClock, type Zone } from '../../../common/index.js'
import { EventLog, HybridClock, Timeline } from '../../../observability/index.js'
import type { KeyedRecord, NewestRecords, ReadOutcome, StoreClient } from '../../StoreClient.js'
import { StoreEra } from '../../StoreEra.js'
import { TopicFollower } from '../../TopicFollower.js'
import { RelayChoice } from '../RelayChoice.js'
import { RelayClient, type RelayLink } from '../RelayClient.js'
import type { RelayQuestion, RelayReadAnswer } from '../RelayConnection.js'
import { RelayedTopic } from '../RelayedTopic.js'
import { relayAnswerSchema } from '../relayMessages.js'
import { RelayReader, type ReadSource } from '../RelayReader.js'

/** Time limit of calls to the store beyond their wait, in milliseconds, as in `StoreClient`. */
const storeLimitMilliseconds = 700

/** State of a connection: `silent` ones lose all answers, `broken` ones fail at once. */
export type LinkState = 'normal' | 'silent' | 'broken'

/** The store with one topic. */
export class SharedTopic {
  records: KeyedRecord[] = []
  firstOffset = 0
  era = 1
  private changed = new AbortController()

  constructor (readonly clock: ManualClock) {}

  write (key: string): void {
    this.records.push({ key, value: Buffer.from(`value of ${key}`) })
    this.wake()
  }

  /** Comes back in a new era with the first `count` records, and then `rewritten` ones. */
  restore (count: number, rewritten: string[]): void {
    this.records = this.records.slice(0, count)
    this.era += 1
    for (const key of rewritten) this.write(key)
    this.wake()
  }

  wake (): void {
    const { changed } = this
    this.changed = new AbortController()
    changed.abort()
  }

  /** Waits as a long poll does. */
  async wait (from: number, milliseconds: number, signal: AbortSignal): Promise<void> {
    const until = this.clock.monotonic() + milliseconds
    const { era } = this
    while (this.records.length === from && this.era === era && this.clock.monotonic() < until && !signal.aborted) {
      await this.clock.sleep(until - this.clock.monotonic(), AbortSignal.any([signal, this.changed.signal]))
    }
  }
}

/** A host's client of the store, with the faults of its connection. */
class FakeStoreClient implements Pick<StoreClient, 'newest' | 'read' | 'close'> {
  constructor (private readonly host: TestHost, private readonly topic: SharedTopic) {}

  async newest (): Promise<Result<NewestRecords, Failure>> {
    this.host.wholeReads += 1
    const { topic } = this
    return await this.call(async () => ({ records: [...topic.records], end: topic.records.length, era: topic.era }), 0)
  }

  async read (
    _topic: string,
    from: number,
    waitMilliseconds: number,
    signal = neverAborted
  ): Promise<Result<ReadOutcome, Failure>> {
    this.host.storeReads.push(waitMilliseconds)
    return await this.call(async () => {
      await this.topic.wait(from, waitMilliseconds, signal)
      const { records, firstOffset, era } = this.topic
      if (from < firstOffset || from > records.length) return 'expired' as const
      return { records: records.slice(from), next: records.length, era }
    }, waitMilliseconds, signal)
  }

  async close (): Promise<void> {}

  private async call<Value> (
    answer: () => Promise<Value>,
    waitMilliseconds: number,
    signal = neverAborted
  ): Promise<Result<Value, Failure>> {
    const limit = this.topic.clock.monotonic() + waitMilliseconds + storeLimitMilliseconds
    const value = await answer()
    if (this.host.storeLink === 'silent') await this.topic.clock.sleep(limit - this.topic.clock.monotonic(), signal)
    if (this.host.storeLink !== 'normal' || signal.aborted) return Result.err(failure('platform_unavailable', 'no response'))
    this.host.era.accept(String(this.topic.era))
    return Result.ok(value)
  }
}

const neverAborted = new AbortController().signal

/** A connection of one host to the relay of another. */
class FakeLink implements RelayLink {
  closeReason: string | undefined
  private readonly closed = new AbortController()

  constructor (readonly address: string, private readonly relay: TestHost) {
    relay.links.add(this)
  }

  get isClosed (): boolean {
    return this.closeReason !== undefined
  }

  async read (question: RelayQuestion, signal: AbortSignal): Promise<RelayReadAnswer | undefined> {
    const either = AbortSignal.any([signal, this.closed.signal])
    const ended = new Promise<undefined>(resolve => { either.addEventListener('abort', () => { resolve(undefined) }, { once: true }) })
    if (either.aborted) return undefined
    return await Promise.race([this.relay.answer(question, this), ended])
  }

  close (reason: string): void {
    this.closeReason ??= reason
    this.relay.links.delete(this)
    this.closed.abort()
  }
}

/** A host with a follower of the topic, which reads through other hosts and relays for them. */
export class TestHost {
  readonly era = new StoreEra()
  readonly received: string[] = []
  readonly sources: ReadSource[] = []
  readonly storeReads: number[] = []
  readonly lines: string[] = []
  readonly links = new Set<RelayLink>()
  wholeReads = 0
  storeLink: LinkState = 'normal'
  /** Connections of other hosts to this one; `silent` also stands for a frozen process. */
  peerLink: LinkState = 'normal'
  readonly local: RelayedTopic
  readonly follower: TopicFollower

  constructor (readonly address: string, topic: SharedTopic, network: RelayNetwork) {
    const { clock } = topic
    const { era } = this
    const events = new EventLog({
      timeline: new Timeline(address, new HybridClock(clock)), level: 'info', write: line => { this.lines.push(line) }
    })
    const relays = new RelayClient({
      candidates: () => network.relays.map(host => ({ address: host, zone: 'a' })),
      choice: new RelayChoice({ zone: 'a' as Zone, clock, hash: orderHash }),
      ownAddress: address,
      era,
      clock,
      events,
      open: relay => new FakeLink(relay, network.host(relay))
    })
    this.local = new RelayedTopic({
      topic: 'keyed.op',
      store: new FakeStoreClient(this, topic),
      era,
      clock,
      onServingStarted: () => { reader.leaveRelay() },
      onDropped: () => { for (const link of this.links) link.close('the relay dropped its records') }
    })
    const reader = new RelayReader({
      relays, local: this.local, store: new FakeStoreClient(this, topic), clock, onRead: source => { this.sources.push(source) }
    })
    const collect = (records: KeyedRecord[]): void => { this.received.push(...records.map(({ key }) => key)) }
    this.follower = new TopicFollower({
      topic: 'keyed.op',
      store: reader,
      era,
      receiver: { replace: collect, apply: collect },
      clock,
      events,
      stableWindowMilliseconds: 4000
    })
  }

  /** Answers a read of another host. */
  async answer (question: RelayQuestion, link: RelayLink): Promise<RelayReadAnswer | undefined> {
    const { local } = this
    if (this.peerLink === 'broken') link.close('the connection was closed')
    const outcome = await local.readForPeer(question.from, question.era, question.wait)
    if (this.peerLink === 'silent') return await new Promise(() => {})
    const head = { id: '1', era: this.era.current }
    const { texts = [], ...fields } = { texts: [], ...outcome }
    const records = texts.map(text => JSON.parse(text) as unknown)
    return relayAnswerSchema.parse({ ...head, ...fields, records }) as RelayReadAnswer
  }
}

/** Ranks addresses in the order of their last character. */
const orderHash = { h32: (text: string) => text.charCodeAt(text.length - 1) } as unknown as Hash

/** The store and its hosts, of which the listed ones relay. */
export class RelayNetwork {
  readonly clock = new ManualClock()
  readonly topic = new SharedTopic(this.clock)
  relays: string[] = []
  private readonly hosts = new Map<string, TestHost>()

  host (address: string): TestHost {
    const known = this.hosts.get(address) ?? new TestHost(address, this.topic, this)
    this.hosts.set(address, known)
    return known
  }

  /** Starts hosts, and gives them time to choose their relays. */
  async start (addresses: string[], relays: string[]): Promise<TestHost[]> {
    this.relays = relays
    const hosts = addresses.map(address => this.host(address))
    for (const { follower } of hosts) follower.start()
    await this.clock.advance(10_000)
    return hosts
  }

  async stop (): Promise<void> {
    const stopped = Promise.all([...this.hosts.values()].map(async ({ follower }) => { await follower.stop() }))
    await this.clock.advance(10_000)
    await stopped
  }
}

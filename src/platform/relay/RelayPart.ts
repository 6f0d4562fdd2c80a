/**
 * The part of a host that shares the reads of the store with other hosts: the readers of its followers, and the relay for
 * the hosts that read through this one.
 */
import type { Socket } from 'node:net'
import type { Clock, Hash } from '../../common/index.js'
import type { EventLog, Metrics } from '../../observability/index.js'
import type { PlatformSettings } from '../PlatformSettings.js'
import type { StoreAvailability } from '../StoreAvailability.js'
import { StoreClient } from '../StoreClient.js'
import type { StoreEra } from '../StoreEra.js'
import { type RelayCandidate, RelayChoice } from './RelayChoice.js'
import { RelayClient } from './RelayClient.js'
import { RelayedTopic } from './RelayedTopic.js'
import { relayService } from './relayMessages.js'
import { RelayReader } from './RelayReader.js'
import { StoreRelay } from './StoreRelay.js'

/** The stable window in milliseconds up to which hosts read from the store unless the settings say otherwise. */
const maxDirectWindowMilliseconds = 3000

/** Options of a `RelayPart`. */
export interface RelayPartOptions {
  settings: PlatformSettings
  era: StoreEra
  availability: StoreAvailability
  clock: Clock
  events: EventLog
  hash: Hash
  metrics: Metrics
  /** The hosts that may relay reads. */
  candidates: () => readonly RelayCandidate[]
  /** Called when none of them can be used. */
  onNoneLeft: () => void
}

type TopicStore = Pick<StoreClient, 'newest' | 'read' | 'close'>

/** Owns the relay of this host and its connection to another one. */
export class RelayPart {
  /** Services for the peer port; none if reads are not shared. */
  readonly services: ReadonlyMap<string, (socket: Socket) => void>
  private readonly topics = new Map<string, RelayedTopic>()
  private readonly relay: StoreRelay
  private readonly client: RelayClient
  private readonly isEnabled: boolean
  private readonly countRead: (source: string) => void

  constructor (private readonly options: RelayPartOptions) {
    const { settings: { host, listen, store, bounds }, era, clock, events, hash, metrics, candidates, onNoneLeft } = options
    this.isEnabled = store.relayReads ?? bounds.stableWindowMilliseconds > maxDirectWindowMilliseconds
    this.relay = new StoreRelay({ topics: this.topics, era, events })
    const choice = new RelayChoice({ zone: host.zone, clock, hash })
    this.client = new RelayClient({ candidates, choice, ownAddress: listen.peers, era, clock, events, onNoneLeft })
    this.services = new Map(this.isEnabled ? [[relayService, (socket: Socket) => { this.relay.serve(socket) }]] : [])
    const reads = metrics.counter('store_reads_total', 'Reads of changes of the store, by where they were answered.', ['source'])
    this.countRead = source => { reads.inc({ source }) }
    metrics.gauge('store_relay_readers', 'Hosts that read the store through this one.', [], gauge => { gauge.set(this.relay.readers) })
  }

  /** The store for the follower of a topic. */
  storeFor (topic: string): TopicStore {
    const { settings, era, availability, clock } = this.options
    const createClient = (): StoreClient => new StoreClient(settings.store.address, era, availability)
    if (!this.isEnabled) return createClient()
    const { client: relays } = this
    const local = new RelayedTopic({
      topic,
      store: createClient(),
      era,
      clock,
      onServingStarted: () => { reader.leaveRelay() },
      onDropped: () => { this.relay.closeAll() }
    })
    this.topics.set(topic, local)
    const reader = new RelayReader({ relays, local, store: createClient(), clock, onRead: this.countRead })
    return {
      newest: async (...parameters) => await reader.newest(...parameters),
      read: async (...parameters) => await reader.read(...parameters),
      close: async () => {
        this.relay.closeAll()
        await reader.close()
      }
    }
  }
}

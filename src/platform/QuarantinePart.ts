/**
 * The part of a host that exchanges evidence against parts of prompts with the other hosts: it connects the topic of the
 * evidence to the store.
 */
import type { Clock } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { EvidenceExchange, EvidenceReceiver } from '../quarantine/index.js'
import type { PlatformSettings } from './PlatformSettings.js'
import { QuarantineTopic } from './QuarantineTopic.js'
import { StoreClient } from './StoreClient.js'
import type { StoreEra } from './StoreEra.js'

/** Options of a `QuarantinePart`. */
export interface QuarantinePartOptions {
  settings: PlatformSettings
  era: StoreEra
  clock: Clock
  events: EventLog
  /** Receives the evidence of all hosts. */
  receiver: EvidenceReceiver
}

/** Owns the exchange of evidence of this host and its connections to the store. */
export class QuarantinePart {
  private readonly topic: QuarantineTopic

  constructor ({ settings: { store, bounds }, era, clock, events, receiver }: QuarantinePartOptions) {
    this.topic = new QuarantineTopic({
      reader: new StoreClient(store.address, era),
      writer: new StoreClient(store.address, era),
      era,
      receiver,
      clock,
      events,
      stableWindowMilliseconds: bounds.stableWindowMilliseconds
    })
  }

  /** Publishes evidence of this host. */
  get exchange (): EvidenceExchange {
    return this.topic
  }

  /** Reads the evidence of other hosts without delay for a while, since a worker was lost. */
  expectEvidence (): void {
    this.topic.expectEvidence()
  }

  start (): void {
    this.topic.start()
  }

  async stop (): Promise<void> {
    await this.topic.stop()
  }
}

/**
 * Exchanges evidence against parts of prompts through a compacted topic of the store: the key is the part's name, the
 * value its losses as JSON. A deleted key means that the part is harmless, unless the store was restored from an older copy.
 */
import { z } from 'zod'
import { Backoff, type Clock, Task, workerIdSchema, parseJson } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import { EvidenceExchange, type EvidenceReceiver, type PartEvidence } from '../quarantine/index.js'
import { type KeyedRecord, maxKeyBytes, type StoreClient } from './StoreClient.js'
import type { StoreEra } from './StoreEra.js'
import { TopicFollower } from './TopicFollower.js'

/** Topic of the evidence. */
export const quarantineTopic = 'keyed.quarantine'

/** Maximum number of losses of a part, of prompts of a loss, and of characters of a prompt's name. */
export const maxLosses = 8
export const maxPrompts = 8
const maxPromptNameLength = 256

/** Maximum number of parts whose evidence waits to be published, and of parts that are known from the topic. */
export const maxQueuedParts = 256
const maxKnownParts = 4096

/** Number of parts that a log line names. */
const maxNamedParts = 8

/** Time for which a failed append is repeated, in milliseconds. */
export const repeatMilliseconds = 60_000

/** Longest pause after a failed append, in milliseconds. */
export const longestPauseMilliseconds = 4000

/** Delays after failed appends. */
const backoffOptions = { firstMilliseconds: 100, maxMilliseconds: longestPauseMilliseconds }

/** Age of a part's newest loss after which its evidence is ignored and deleted, in milliseconds. */
export const maxEvidenceAgeMilliseconds = 3_600_000

/**
 * Duration of a long poll while no evidence is expected, in milliseconds. The store answers a long poll as soon as there
 * is a record, and each call is priced.
 */
const restMilliseconds = 20_000

/** Pause after a change, in milliseconds. Each append wakes all hosts, so that several are read at once. */
const batchMilliseconds = 500

const evidenceSchema = z.object({
  losses: z.array(z.object({
    worker: workerIdSchema,
    at: z.number().nonnegative(),
    prompts: z.array(z.string().max(maxPromptNameLength)).max(maxPrompts)
  })).min(1).max(maxLosses)
})

/** Options of a `QuarantineTopic`. */
export interface QuarantineTopicOptions {
  /** Client for the long polls. */
  reader: Pick<StoreClient, 'newest' | 'read' | 'close'>
  /** Client for the appends. */
  writer: Pick<StoreClient, 'append' | 'close'>
  /** Newest era of the store that this host knows. */
  era: StoreEra
  receiver: EvidenceReceiver
  clock: Clock
  events: EventLog
  /** Time without disturbance after which a host's view of the store has to be up to date, in milliseconds. */
  stableWindowMilliseconds: number
}

interface QueuedEvidence {
  evidence: PartEvidence
  /** Monotonic time in milliseconds. */
  queuedAt: number
}

/** Publishes evidence of this host, and passes the evidence of all hosts to a receiver. */
export class QuarantineTopic extends EvidenceExchange {
  private readonly follower: TopicFollower
  /** Evidence that was not published yet. */
  private readonly queued = new Map<string, QueuedEvidence>()
  /** Unix time in milliseconds of the newest loss of each part in the topic, that of ignored parts included. */
  private readonly newestLosses = new Map<string, number>()
  /** Era of the store in which the topic was last read as a whole; undefined before. */
  private readEra: number | undefined
  private sending: Task | undefined
  private isStopped = false

  constructor (private readonly options: QuarantineTopicOptions) {
    super()
    const { reader, era, clock, events, stableWindowMilliseconds } = options
    this.follower = new TopicFollower({
      topic: quarantineTopic,
      store: reader,
      era,
      receiver: {
        replace: (records, era) => this.replace(records, era),
        apply: records => this.apply(records),
        isUsable: record => decodeEvidence(record) !== undefined
      },
      clock,
      events,
      stableWindowMilliseconds,
      restMilliseconds,
      batchMilliseconds
    })
  }

  start (): void {
    this.follower.start()
  }

  /** Reads evidence of other hosts without delay for a while, also if the connection to the store has become silent. */
  expectEvidence (): void {
    this.follower.expectChanges()
  }

  /** Stops reading and drops evidence that was not published yet. */
  async stop (): Promise<void> {
    this.isStopped = true
    await this.sending?.stop()
    this.drop([...this.queued.keys()], 'the host stops')
    await Promise.all([this.follower.stop(), this.options.writer.close()])
  }

  publish (evidence: readonly PartEvidence[]): void {
    const unusable = evidence.filter(({ part }) => !isPublishable(part)).map(({ part }) => part)
    this.logDropped(unusable, `the name of a part has 1 to ${maxKeyBytes} bytes`)
    const refused = evidence.filter(({ part }) => isPublishable(part)).flatMap(item => this.enqueue(item) ? [] : [item.part])
    this.logDropped(refused, this.isStopped ? 'the host stops' : `evidence against ${maxQueuedParts} parts waits`)
    if (this.isStopped || this.queued.size === 0) return
    this.follower.expectChanges()
    this.sending ??= Task.start(signal => this.sendQueued(signal), error => {
      this.drop([...this.queued.keys()], String(error))
    })
  }

  /** Adds evidence to the queue, in place of older evidence against the same part. Returns false if the queue is full. */
  private enqueue (evidence: PartEvidence): boolean {
    if (this.isStopped || (this.queued.size >= maxQueuedParts && !this.queued.has(evidence.part))) return false
    this.queued.set(evidence.part, { evidence, queuedAt: this.options.clock.monotonic() })
    return true
  }

  private async sendQueued (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    const backoff = new Backoff(backoffOptions)
    try {
      while (this.queued.size > 0 && !signal.aborted) {
        const failedBecause = await this.send([...this.queued], signal)
        if (failedBecause === undefined) {
          backoff.reset()
          continue
        }
        const delay = backoff.next()
        const earliest = clock.monotonic() + delay - repeatMilliseconds
        const expired = [...this.queued].filter(([, { queuedAt }]) => queuedAt < earliest)
        if (!signal.aborted) this.drop(expired.map(([part]) => part), failedBecause)
        if (this.queued.size > 0) await clock.sleep(delay, signal)
      }
    } finally {
      this.sending = undefined
    }
  }

  /** Makes one append of queued evidence. Returns the reason of its failure, if any. */
  private async send (batch: Array<[string, QueuedEvidence]>, signal: AbortSignal): Promise<string | undefined> {
    const { writer, events, era } = this.options
    const position = this.follower.position
    const eraOfPosition = era.current
    const appended = await writer.append(quarantineTopic, batch.map(([, { evidence }]) => encodeEvidence(evidence)), { signal })
    if (appended.isErr) return appended.error.message
    for (const [part, item] of batch) if (this.queued.get(part) === item) this.queued.delete(part)
    const { offset, end } = appended.value
    events.info('evidence_published', { ...nameParts(batch.map(([part]) => part)), offset })
    // Evidence that this host has not read yet could be newer than what it deletes.
    const hasReadAll = position === offset && era.current === eraOfPosition && end === offset + batch.length
    if (hasReadAll) await this.deleteStale(end, new Set(batch.map(([part]) => part)), signal)
    return undefined
  }

  /** Deletes parts without a recent loss that were not `published`, if the topic still ends at the offset `end`. */
  private async deleteStale (end: number, published: ReadonlySet<string>, signal: AbortSignal): Promise<void> {
    const { writer, events } = this.options
    const stale = [...this.newestLosses].filter(([part, at]) => this.isStale(at) && !published.has(part))
      .map(([part]) => part)
      .slice(0, maxQueuedParts)
    if (stale.length === 0) return
    const deleted = await writer.append(quarantineTopic, stale.map(key => ({ key, value: undefined })), { at: end, signal })
    if (deleted.isErr) this.logDropped(stale, `old evidence was not deleted: ${deleted.error.message}`)
    else events.info('evidence_published', { ...nameParts(stale), offset: end, reason: 'old evidence deleted' })
  }

  private replace (records: KeyedRecord[], era: number): void {
    const isRestored = this.readEra !== undefined && this.readEra < era
    this.readEra = era
    const present = new Set(records.map(({ key }) => key))
    const missing = [...this.newestLosses.keys()].filter(part => !present.has(part))
    for (const part of missing) this.newestLosses.delete(part)
    const evidence = this.decode(records)
    if (isRestored) this.options.receiver.restore(this.usable(evidence))
    else this.deliver([...evidence, ...missing.map(part => ({ part, losses: [] }))])
  }

  private apply (records: KeyedRecord[]): void {
    this.deliver(this.decode(records))
  }

  private deliver (evidence: PartEvidence[]): void {
    const usable = this.usable(evidence)
    if (usable.length > 0) this.options.receiver.receive(usable)
  }

  /** Evidence that is recent, and deletions. */
  private usable (evidence: PartEvidence[]): PartEvidence[] {
    return evidence.filter(({ losses }) => losses.length === 0 || !this.isStale(newestOf(losses)))
  }

  /** Decodes records, ignores unusable ones, and notes the newest loss of each part. */
  private decode (records: KeyedRecord[]): PartEvidence[] {
    const unusable: string[] = []
    const evidence = records.flatMap(record => {
      const decoded = decodeEvidence(record)
      if (decoded !== undefined && this.note(decoded)) return [decoded]
      unusable.push(record.key)
      return []
    })
    if (unusable.length > 0) this.options.events.warn('evidence_unusable', nameParts(unusable))
    return evidence
  }

  /** Notes the newest loss of a part. Returns false if too many parts are known. */
  private note ({ part, losses }: PartEvidence): boolean {
    if (losses.length === 0) {
      this.newestLosses.delete(part)
      return true
    }
    if (this.newestLosses.size >= maxKnownParts && !this.newestLosses.has(part)) return false
    this.newestLosses.set(part, newestOf(losses))
    return true
  }

  /** True if a time is long ago. A time far ahead is that of a wrong clock, and counts as long ago. */
  private isStale (at: number): boolean {
    return Math.abs(this.options.clock.wall() - at) > maxEvidenceAgeMilliseconds
  }

  private drop (parts: string[], reason: string): void {
    for (const part of parts) this.queued.delete(part)
    this.logDropped(parts, reason)
  }

  private logDropped (parts: string[], reason: string): void {
    if (parts.length > 0) this.options.events.warn('evidence_dropped', { ...nameParts(parts), reason })
  }
}

function isPublishable (part: string): boolean {
  return part !== '' && Buffer.byteLength(part) <= maxKeyBytes
}

function newestOf (losses: PartEvidence['losses']): number {
  return Math.max(...losses.map(({ at }) => at))
}

/** Fields of a log line about parts. */
function nameParts (parts: string[]): { count: number, parts: string } {
  return { count: parts.length, parts: parts.slice(0, maxNamedParts).map(part => part.slice(0, maxKeyBytes)).join(',') }
}

/** Encodes evidence with the newest losses; without losses, the key is deleted. */
function encodeEvidence ({ part, losses }: PartEvidence): KeyedRecord {
  if (losses.length === 0) return { key: part, value: undefined }
  const newest = [...losses].sort((left, right) => right.at - left.at).slice(0, maxLosses).map(({ worker, at, prompts }) => ({
    worker,
    at,
    prompts: prompts.slice(-maxPrompts).map(prompt => prompt.slice(0, maxPromptNameLength))
  }))
  return { key: part, value: Buffer.from(JSON.stringify({ losses: newest })) }
}

/** Decodes a record; undefined if it is no evidence. */
function decodeEvidence ({ key, value }: KeyedRecord): PartEvidence | undefined {
  if (value === undefined) return { part: key, losses: [] }
  const parsed = evidenceSchema.safeParse(parseJson(value.toString('utf8')))
  return parsed.success ? { part: key, losses: parsed.data.losses } : undefined
}

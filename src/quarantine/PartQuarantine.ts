/**
 * Keeps prompts away from the workers if they contain a part that crashes each worker that begins to answer it.
 *
 * When a worker is lost, each host reports the parts of the prompts that the worker had just begun or was about to begin.
 * A complete answer shows that the parts of its prompt are harmless; a host that has seen one contradicts the reports of
 * other hosts. All hosts decide alike from the same evidence, see `findCulprits`.
 *
 * The last part of a prompt belongs to one request or session alone and is never to blame.
 */
import { type Clock, type Failure, failure, type RequestId, SeededRandom, type WorkerId } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { RoutingRequest } from '../routing/index.js'
import { AnsweredParts } from './AnsweredParts.js'
import type { EvidenceExchange, EvidenceReceiver, PartEvidence, WorkerLoss } from './Evidence.js'
import { type Culprit, findCulprits } from './findCulprits.js'
import { isSameLoss, mergeLosses } from './mergeLosses.js'

/** Options of a `PartQuarantine`. */
export interface PartQuarantineOptions {
  /** Publishes evidence to all hosts. */
  publish: EvidenceExchange['publish']
  /** True if the process of a worker at this address (`ip:port`) still accepts connections. */
  acceptsConnections: (address: string) => Promise<boolean>
  clock: Clock
  events: EventLog
  /** Seed of the delays before the answers to evidence; each host needs its own. */
  seed: number
}

/** A worker whose connection ended. */
export interface LostWorker {
  worker: WorkerId
  /** `ip:port` */
  address: string
}

/** Time for which evidence against a part that is not to blame is kept after the latest loss, in milliseconds. */
const suspicionMilliseconds = 10 * 60_000

/**
 * Time for which prompts with a part that is to blame for two incidents are refused after the latest loss, in milliseconds.
 * Two may coincide for a harmless part that is rarely used; a third one of the same part is hardly a coincidence.
 */
const shortQuarantineMilliseconds = 30_000

/** Time for which prompts with a part that is to blame for more incidents are refused, in milliseconds. */
const quarantineMilliseconds = 60 * 60_000

/** Numbers of incidents and of lost workers that are too few for a long quarantine. */
const coincidentIncidents = 2
const coincidentLosses = 3

/**
 * Maximum delay before a host contradicts or completes the evidence of another one, in milliseconds. Many hosts may be able
 * to; the first one saves the others the call.
 */
const maxPublicationDelayMilliseconds = 400

/**
 * Maximum delay before a host publishes what a restored exchange lacks, in milliseconds. All hosts learn of a restore at
 * the same time, and each of them goes on refusing the prompts meanwhile.
 */
const maxRestoreDelayMilliseconds = 2000

/** Maximum number of parts with evidence; those that are not to blame and were reported first are forgotten first. */
const maxSuspectedParts = 2000

/** Maximum number of parts that are remembered as harmless; those that were cleared first are forgotten first. */
const maxClearedParts = 2000

/** Decides which prompts are refused. */
export class PartQuarantine implements EvidenceReceiver {
  private readonly lossesByPart = new Map<string, WorkerLoss[]>()
  private readonly answered: AnsweredParts
  private readonly random: SeededRandom
  private culprits: Culprit[] = []
  /** Parts whose record in the exchange lacks losses that this host knows. */
  private readonly incomplete = new Set<string>()
  /** Losses of parts that turned out to be harmless, since a restored exchange may hold them again. */
  private readonly cleared = new Map<string, WorkerLoss[]>()
  /** Parts whose record in the exchange holds only losses that were cleared. */
  private readonly outdated = new Set<string>()
  /** Checks whether the process at an address has ended, by address. */
  private readonly checks = new Map<string, Promise<boolean>>()

  constructor (private readonly options: PartQuarantineOptions) {
    this.answered = new AnsweredParts(options.clock)
    this.random = new SeededRandom(options.seed)
  }

  /** Number of groups of parts whose prompts are refused. */
  get size (): number {
    return this.culprits.length
  }

  /** The failure of a prompt that must not be sent to any worker; undefined if it may be sent. */
  refusalOf ({ promptBlocks }: RoutingRequest): Failure | undefined {
    if (this.culprits.length === 0) return undefined
    const now = this.options.clock.wall()
    const culprit = this.culprits.find(candidate =>
      now < endOf(candidate) && candidate.parts.every(part => promptBlocks.includes(part)))
    if (culprit === undefined) return undefined
    const { parts, losses } = culprit
    return failure('quarantined', `${losses} workers were lost as they began to answer prompts with ${parts.join(' and ')}`, {
      retryAfterMilliseconds: endOf(culprit) - now
    })
  }

  /** Records a complete answer, which shows that the parts of its prompt are harmless. */
  recordAnswer (prompt: RoutingRequest): void {
    const disproved = sharedPartsOf(prompt).filter(part => {
      this.answered.record(part)
      return this.clear(part)
    })
    if (disproved.length === 0) return
    this.options.publish(disproved.map(part => ({ part, losses: [] })))
    this.decide()
  }

  /**
   * Records that the connection to a worker ended shortly after the worker had begun to answer the prompt, or before it
   * began. It is evidence against the prompt only if the process of the worker has ended too.
   */
  recordConnectionLoss (prompt: RoutingRequest, { worker, address }: LostWorker, request: RequestId): void {
    const { clock, events } = this.options
    if (sharedPartsOf(prompt).every(part => this.answered.has(part))) return
    const at = clock.wall()
    this.hasEnded(address).then(hasEnded => {
      if (hasEnded) this.addLoss(prompt, worker, at, request)
    }, error => { events.error('worker_loss_unconfirmed', { request, worker, reason: String(error) }) })
  }

  /** True if no process accepts connections at the address. Losses at the same time share one check. */
  private async hasEnded (address: string): Promise<boolean> {
    const running = this.checks.get(address)
    if (running !== undefined) return await running
    const check = this.options.acceptsConnections(address).then(accepts => !accepts)
      .finally(() => { this.checks.delete(address) })
    this.checks.set(address, check)
    return await check
  }

  /** Records that the process of a worker ended shortly after it had begun to answer the prompt. */
  recordCrash (prompt: RoutingRequest, worker: WorkerId, request: RequestId): void {
    this.addLoss(prompt, worker, this.options.clock.wall(), request)
  }

  private addLoss (prompt: RoutingRequest, worker: WorkerId, at: number, request: RequestId): void {
    const { events, publish } = this.options
    const suspected = sharedPartsOf(prompt).filter(part => !this.answered.has(part))
    if (suspected.length === 0) return
    this.forgetOld()
    const loss = { worker, at, prompts: prompt.promptBlocks.slice(-1) }
    events.info('worker_loss_suspected', { request, worker, parts: suspected.join(',') })
    publish(suspected.map(part => ({ part, losses: this.addLosses(part, [loss]) })))
    this.decide()
  }

  /**
   * Adds the evidence of other hosts. Contradicts it if this host has seen a complete answer; publishes it again with the
   * losses that this host knows and the record lacks, which another host has overwritten.
   */
  receive (evidence: readonly PartEvidence[]): void {
    this.add(evidence, maxPublicationDelayMilliseconds)
  }

  /**
   * Adds the evidence of an exchange that came back from an older copy. Publishes again what it lacks, and deletes again
   * what was cleared.
   */
  restore (evidence: readonly PartEvidence[]): void {
    const valid = evidence.filter(item => !this.isCleared(item))
    this.add(valid, maxRestoreDelayMilliseconds)
    const present = new Set(valid.map(({ part }) => part))
    const lost = [...this.lossesByPart.keys()].filter(part => !present.has(part) && !this.answered.has(part))
    const outdated = evidence.filter(item => this.isCleared(item) && !this.lossesByPart.has(item.part)).map(({ part }) => part)
    if (lost.length + outdated.length === 0) return
    const blamed = this.blamedParts
    this.options.events.info('evidence_lost', {
      count: lost.length, quarantined: lost.filter(part => blamed.has(part)).length, cleared: outdated.length
    })
    const blamedFirst = [...lost.filter(part => blamed.has(part)), ...lost.filter(part => !blamed.has(part))]
    this.completeLater(blamedFirst, maxRestoreDelayMilliseconds)
    this.deleteLater(outdated)
  }

  private add (evidence: readonly PartEvidence[], maxDelayMilliseconds: number): void {
    this.forgetOld()
    const contradicted: string[] = []
    const incomplete: string[] = []
    for (const { part, losses } of evidence) {
      this.outdated.delete(part)
      if (losses.length === 0) {
        this.clear(part)
        continue
      }
      const merged = this.addLosses(part, losses)
      if (merged.length > losses.length) incomplete.push(part)
      else this.incomplete.delete(part)
      if (this.answered.has(part)) contradicted.push(part)
    }
    this.decide()
    if (contradicted.length > 0) this.contradictLater(contradicted)
    if (incomplete.length > 0) this.completeLater(incomplete, maxDelayMilliseconds)
  }

  private completeLater (parts: readonly string[], maxDelayMilliseconds: number): void {
    for (const part of parts) this.incomplete.add(part)
    this.later(maxDelayMilliseconds, () => {
      const evidence = parts.flatMap(part => {
        const losses = this.incomplete.delete(part) ? this.lossesByPart.get(part) : undefined
        return losses === undefined ? [] : [{ part, losses }]
      })
      if (evidence.length > 0) this.options.publish(evidence)
    })
  }

  private contradictLater (parts: readonly string[]): void {
    this.later(maxPublicationDelayMilliseconds, () => {
      const disproved = parts.filter(part => this.clear(part))
      if (disproved.length === 0) return
      this.options.publish(disproved.map(part => ({ part, losses: [] })))
      this.decide()
    })
  }

  private deleteLater (parts: readonly string[]): void {
    for (const part of parts) this.outdated.add(part)
    this.later(maxRestoreDelayMilliseconds, () => {
      const outdated = parts.filter(part => this.outdated.delete(part))
      if (outdated.length > 0) this.options.publish(outdated.map(part => ({ part, losses: [] })))
    })
  }

  /** Forgets the losses of a harmless part. Returns false if there were none. */
  private clear (part: string): boolean {
    const losses = this.lossesByPart.get(part)
    if (losses === undefined) return false
    this.lossesByPart.delete(part)
    this.cleared.delete(part)
    this.cleared.set(part, losses)
    if (this.cleared.size > maxClearedParts) this.forgetFirstCleared()
    return true
  }

  private forgetFirstCleared (): void {
    const first = this.cleared.keys().next()
    if (first.done !== true) this.cleared.delete(first.value)
  }

  /** True if the part turned out to be harmless after all of these losses. */
  private isCleared ({ part, losses }: PartEvidence): boolean {
    const cleared = this.cleared.get(part)
    if (cleared === undefined) return false
    const newestAt = cleared.at(-1)?.at ?? 0
    return losses.every(loss => loss.at <= newestAt || cleared.some(known => isSameLoss(known, loss)))
  }

  /** Runs an action after a random delay, in which another host may make it needless. */
  private later (maxDelayMilliseconds: number, action: () => void): void {
    const { clock, events } = this.options
    clock.sleep(this.random.integer(0, maxDelayMilliseconds)).then(action)
      .catch(error => { events.error('evidence_not_published', { reason: String(error) }) })
  }

  private addLosses (part: string, losses: readonly WorkerLoss[]): WorkerLoss[] {
    const merged = mergeLosses(this.lossesByPart.get(part) ?? [], losses)
    this.lossesByPart.delete(part)
    this.lossesByPart.set(part, merged)
    if (this.lossesByPart.size > maxSuspectedParts) this.forgetOldest()
    return merged
  }

  /** Forgets the part that was reported first, unless it is to blame. */
  private forgetOldest (): void {
    const blamed = this.blamedParts
    for (const part of this.lossesByPart.keys()) {
      if (blamed.has(part)) continue
      this.lossesByPart.delete(part)
      return
    }
  }

  private get blamedParts (): ReadonlySet<string> {
    return new Set(this.culprits.flatMap(({ parts }) => parts))
  }

  /** Decides again which parts are to blame. */
  private decide (): void {
    const before = this.culprits
    this.culprits = findCulprits([...this.lossesByPart].map(([part, losses]) => ({ part, losses })))
    this.logChanges(before)
  }

  private forgetOld (): void {
    const now = this.options.clock.wall()
    const blamed = this.blamedParts
    for (const [part, losses] of this.lossesByPart) {
      const lastLossAt = losses.at(-1)?.at ?? 0
      const keptMilliseconds = blamed.has(part) ? quarantineMilliseconds : suspicionMilliseconds
      if (now - lastLossAt > keptMilliseconds) this.lossesByPart.delete(part)
    }
  }

  private logChanges (before: readonly Culprit[]): void {
    const { events } = this.options
    const known = new Set(before.map(nameOf))
    const current = new Set(this.culprits.map(nameOf))
    for (const culprit of this.culprits) {
      if (known.has(nameOf(culprit))) continue
      const losses = this.lossesByPart.get(culprit.parts[0] ?? '') ?? []
      events.warn('prompt_part_quarantined', {
        parts: nameOf(culprit), incidents: culprit.incidents, workers: losses.map(({ worker }) => worker).join(',')
      })
    }
    for (const name of known) if (!current.has(name)) events.info('prompt_part_released', { parts: name })
  }
}

/** Unix time in milliseconds until which prompts with the parts are refused. */
function endOf ({ incidents, losses, lastLossAt }: Culprit): number {
  const isCoincidence = incidents <= coincidentIncidents && losses <= coincidentLosses
  return lastLossAt + (isCoincidence ? shortQuarantineMilliseconds : quarantineMilliseconds)
}

function nameOf ({ parts }: Culprit): string {
  return parts.join(',')
}

/** The parts that the prompt may share with others. */
function sharedPartsOf ({ promptBlocks }: RoutingRequest): string[] {
  return [...new Set(promptBlocks.slice(0, -1))]
}

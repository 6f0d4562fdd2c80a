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
import { mergeLosses } from './mergeLosses.js'

/** Options of a `PartQuarantine`. */
export interface PartQuarantineOptions {
  /** Publishes evidence to all hosts. */
  publish: EvidenceExchange['publish']
  clock: Clock
  events: EventLog
  /** Seed of the delays before contradictions; each host needs its own. */
  seed: number
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

/** Number of incidents that are too few for a long quarantine. */
const coincidentIncidents = 2

/**
 * Maximum delay of a contradiction, in milliseconds. Many hosts may know that a part is harmless; the first one that says
 * so saves the others the call.
 */
const maxContradictionDelayMilliseconds = 400

/** Maximum number of parts with evidence; those that are not to blame and were reported first are forgotten first. */
const maxSuspectedParts = 2000

/** Decides which prompts are refused. */
export class PartQuarantine implements EvidenceReceiver {
  private readonly lossesByPart = new Map<string, WorkerLoss[]>()
  private readonly answered: AnsweredParts
  private readonly random: SeededRandom
  private culprits: Culprit[] = []

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
    const { parts, incidents } = culprit
    return failure('quarantined', `workers were lost ${incidents} times as they began to answer prompts with ${parts.join(' and ')}`, {
      retryAfterMilliseconds: endOf(culprit) - now
    })
  }

  /** Records a complete answer, which shows that the parts of its prompt are harmless. */
  recordAnswer (prompt: RoutingRequest): void {
    const disproved = sharedPartsOf(prompt).filter(part => {
      this.answered.record(part)
      return this.lossesByPart.delete(part)
    })
    if (disproved.length === 0) return
    this.options.publish(disproved.map(part => ({ part, losses: [] })))
    this.decide()
  }

  /** Records that a worker was lost shortly after it had begun to answer the prompt, or before it began. */
  recordLoss (prompt: RoutingRequest, worker: WorkerId, request: RequestId): void {
    const { clock, events, publish } = this.options
    const suspected = sharedPartsOf(prompt).filter(part => !this.answered.has(part))
    if (suspected.length === 0) return
    this.forgetOld()
    const loss = { worker, at: clock.wall(), prompts: prompt.promptBlocks.slice(-1) }
    events.info('worker_loss_suspected', { request, worker, parts: suspected.join(',') })
    publish(suspected.map(part => ({ part, losses: this.addLosses(part, [loss]) })))
    this.decide()
  }

  /** Adds the evidence of other hosts, and contradicts it if this host has seen a complete answer. */
  receive (evidence: readonly PartEvidence[]): void {
    this.forgetOld()
    const contradicted: string[] = []
    for (const { part, losses } of evidence) {
      if (losses.length === 0) {
        this.lossesByPart.delete(part)
        continue
      }
      this.addLosses(part, losses)
      if (this.answered.has(part)) contradicted.push(part)
    }
    this.decide()
    if (contradicted.length > 0) this.contradictLater(contradicted)
  }

  private contradictLater (parts: readonly string[]): void {
    const { clock, events, publish } = this.options
    clock.sleep(this.random.integer(0, maxContradictionDelayMilliseconds)).then(() => {
      const disproved = parts.filter(part => this.lossesByPart.delete(part))
      if (disproved.length === 0) return
      publish(disproved.map(part => ({ part, losses: [] })))
      this.decide()
    }).catch(error => { events.error('contradiction_failed', { reason: String(error) }) })
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
function endOf ({ incidents, lastLossAt }: Culprit): number {
  return lastLossAt + (incidents > coincidentIncidents ? quarantineMilliseconds : shortQuarantineMilliseconds)
}

function nameOf ({ parts }: Culprit): string {
  return parts.join(',')
}

/** The parts that the prompt may share with others. */
function sharedPartsOf ({ promptBlocks }: RoutingRequest): string[] {
  return [...new Set(promptBlocks.slice(0, -1))]
}

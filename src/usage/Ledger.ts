/**
 * Usage totals, computed only from batches. All readers that apply the same batches get the same totals, whatever the
 * order and the number of repetitions.
 */
import { z } from 'zod'
import type { UsageBatch, UsageRecord } from './UsageRecord.js'

const totalSchema = z.object({
  owner: z.string(),
  team: z.string(),
  model: z.string(),
  requests: z.number(),
  calls: z.number(),
  promptTokens: z.number(),
  cachedPromptTokens: z.number(),
  generatedTokens: z.number(),
  engineMilliseconds: z.number()
})
/** Total usage of one owner, team and model. */
export type UsageTotal = z.infer<typeof totalSchema>

const writerSchema = z.object({ through: z.number(), beyond: z.array(z.number()) })

/** State of a ledger as JSON data, for snapshots. */
export const ledgerStateSchema = z.object({
  totals: z.array(totalSchema),
  /** Sequence numbers of the counted batches by `hostId/incarnation`: all up to `through`, and those in `beyond`. */
  writers: z.record(z.string(), writerSchema),
  /** Ids of the requests counted last, oldest first. */
  recentRequests: z.array(z.string())
})
export type LedgerState = z.infer<typeof ledgerStateSchema>

/**
 * Default number of request ids that a ledger remembers. A neighbour submits the mirrored records of a failed host within
 * seconds, so only recent request ids can occur again in a batch with another identity.
 */
export const defaultRememberedRequests = 100_000

/** Counts usage records, each batch and each remembered request id once. */
export class Ledger {
  private readonly totals = new Map<string, UsageTotal>()
  private readonly writers = new Map<string, { through: number, beyond: Set<number> }>()
  private readonly recentRequestIds = new Set<string>()

  constructor (private readonly rememberedRequests = defaultRememberedRequests) {}

  /** Counts the records of a batch. Returns false if the batch was counted before. */
  apply (batch: UsageBatch): boolean {
    if (!this.markCounted(`${batch.hostId}/${batch.incarnation}`, batch.sequence)) return false
    for (const record of batch.records) {
      if (this.recentRequestIds.has(record.requestId)) continue
      this.remember(record.requestId)
      this.addToTotal(record)
    }
    return true
  }

  /** All totals, ordered by owner, team and model. */
  view (): UsageTotal[] {
    return [...this.totals.entries()].sort(([left], [right]) => (left < right ? -1 : 1)).map(([, total]) => ({ ...total }))
  }

  /** The state as JSON data. */
  state (): LedgerState {
    const writers: LedgerState['writers'] = {}
    for (const [name, { through, beyond }] of this.writers) writers[name] = { through, beyond: [...beyond] }
    return {
      totals: this.view(),
      writers,
      recentRequests: [...this.recentRequestIds]
    }
  }

  /** Creates a ledger from a state. */
  static fromState (state: LedgerState, rememberedRequests = defaultRememberedRequests): Ledger {
    const ledger = new Ledger(rememberedRequests)
    for (const total of state.totals) ledger.totals.set(totalKeyOf(total), { ...total })
    for (const [name, { through, beyond }] of Object.entries(state.writers)) {
      ledger.writers.set(name, { through, beyond: new Set(beyond) })
    }
    for (const id of state.recentRequests) ledger.remember(id)
    return ledger
  }

  /** Marks a batch as counted; false if it was already marked. */
  private markCounted (writerName: string, sequence: number): boolean {
    const writer = this.writers.get(writerName) ?? { through: 0, beyond: new Set<number>() }
    this.writers.set(writerName, writer)
    if (sequence <= writer.through || writer.beyond.has(sequence)) return false
    writer.beyond.add(sequence)
    while (writer.beyond.delete(writer.through + 1)) writer.through += 1
    return true
  }

  private remember (requestId: string): void {
    this.recentRequestIds.add(requestId)
    if (this.recentRequestIds.size <= this.rememberedRequests) return
    const oldest = this.recentRequestIds.values().next()
    if (oldest.done !== true) this.recentRequestIds.delete(oldest.value)
  }

  private addToTotal (record: UsageRecord): void {
    const key = totalKeyOf(record)
    const total = this.totals.get(key) ?? emptyTotalOf(record)
    total.requests += 1
    total.calls += record.calls
    total.promptTokens += record.promptTokens
    total.cachedPromptTokens += record.cachedPromptTokens
    total.generatedTokens += record.generatedTokens
    total.engineMilliseconds += record.engineMilliseconds
    this.totals.set(key, total)
  }
}

function totalKeyOf (record: { owner: string, team: string, model: string }): string {
  return `${record.owner}\n${record.team}\n${record.model}`
}

function emptyTotalOf (record: UsageRecord): UsageTotal {
  return {
    owner: record.owner,
    team: record.team,
    model: record.model,
    requests: 0,
    calls: 0,
    promptTokens: 0,
    cachedPromptTokens: 0,
    generatedTokens: 0,
    engineMilliseconds: 0
  }
}

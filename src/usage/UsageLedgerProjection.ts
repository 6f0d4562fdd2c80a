/**
 * Projection of the stream `use`: a ledger whose totals depend only on the records of the log.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Failure, failure, type Offset } from '../common/index.js'
import { type ApplyOutcome, type StreamRecord, StreamProjection } from '../streams/index.js'
import { Ledger, ledgerStateSchema, type UsageTotal } from './Ledger.js'
import { usageBatchSchema } from './UsageRecord.js'

const useRecordSchema = z.object({ kind: z.literal('use'), batches: z.array(usageBatchSchema) })

const projectionStateSchema = z.object({
  ledger: ledgerStateSchema,
  /** Unix times in milliseconds of the first and the last applied log record. */
  from: z.number().optional(),
  until: z.number().optional()
})

/** Totals with the period that they cover, as Unix times in milliseconds; undefined before the first log record. */
export interface LedgerView {
  from: number | undefined
  until: number | undefined
  totals: UsageTotal[]
}

/** Counts the batches of each record in a ledger and tracks the period that the ledger covers. */
export class UsageLedgerProjection extends StreamProjection {
  readonly stream = 'use'
  private ledger = new Ledger()
  private from: number | undefined
  private until: number | undefined

  apply (record: StreamRecord): ApplyOutcome {
    const parsed = useRecordSchema.safeParse(record.value)
    if (!parsed.success) return { accepted: false, failure: failure('bad_request', 'the record is not a usage record') }
    for (const batch of parsed.data.batches) this.ledger.apply(batch)
    this.from ??= record.at
    this.until = record.at
    return { accepted: true }
  }

  snapshot (): unknown {
    return { ledger: this.ledger.state(), from: this.from, until: this.until }
  }

  restore (state: unknown, _through: Offset): Result<void, Failure> {
    const parsed = projectionStateSchema.safeParse(state)
    if (!parsed.success) return Result.err(failure('bad_request', 'the state of the usage ledger is malformed'))
    this.ledger = Ledger.fromState(parsed.data.ledger)
    this.from = parsed.data.from
    this.until = parsed.data.until
    return Result.ok(undefined)
  }

  /** The current totals and their period. */
  view (): LedgerView {
    return { from: this.from, until: this.until, totals: this.ledger.view() }
  }
}

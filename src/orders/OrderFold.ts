/**
 * The state of orders as the log's order decides it. An engine has at most one open intent, and only the
 * holder with the current fencing number writes intents and outcomes.
 *
 * For engines that ignore fencing numbers the fold also knows who may still send an order: the writer of an
 * intent, and each later holder that found it open, until that holder itself wrote the outcome. The writer of
 * the next intent has made sure that none of them can send any more.
 */
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { failure, type Failure, noOffset, type Offset, type WorkerId } from '../common/index.js'
import type { LeaseName } from '../leases/index.js'
import { type ApplyOutcome, type FoldRecord, StreamFold } from '../streams/index.js'
import {
  type DrainMark, type EngineRecord, type OpenIntent, type OrderId, type OrderRecord, orderRecordSchema, type OrderTable,
  orderTableSchema
} from './orderRecords.js'

const accepted: ApplyOutcome = { accepted: true }

function refused (kind: 'bad_request' | 'conflict' | 'lost_authority', message: string): ApplyOutcome {
  return { accepted: false, failure: failure(kind, message) }
}

type RecordOf<Kind extends OrderRecord['kind']> = Extract<OrderRecord, { kind: Kind }>

/** Fold of the stream `orders`. */
export class OrderFold extends StreamFold {
  readonly stream = 'orders'
  private leases = new Map<string, OrderTable['leases'][string]>()
  private engines = new Map<string, EngineRecord>()
  private drains = new Map<string, DrainMark>()

  /** What the log says about an engine. */
  engineRecord (engine: WorkerId): EngineRecord {
    return this.engines.get(engine) ?? { lastOffset: noOffset, possibleSenders: [] }
  }

  /** All engines that ever had an order. */
  engineRecords (): Map<string, EngineRecord> {
    return new Map(this.engines)
  }

  /** The orders that were decided and have no outcome yet. */
  openIntents (): OpenIntent[] {
    return [...this.engines.values()].flatMap(({ open }) => open ?? [])
  }

  /** Marks that engines get no new work. They run out by the clock of each host, which the fold does not know. */
  drainMarks (): ReadonlyMap<string, DrainMark> {
    return this.drains
  }

  /** The current fencing number of a lease in this stream; 0 if nobody took over yet. */
  currentFencingNumber (lease: LeaseName): number {
    return this.leases.get(lease)?.fencingNumber ?? 0
  }

  apply (record: FoldRecord): ApplyOutcome {
    const parsed = orderRecordSchema.safeParse(record.value)
    if (!parsed.success) return refused('bad_request', 'not a record of an order')
    return match(parsed.data)
      .with({ kind: 'takeover' }, body => this.applyTakeover(body))
      .with({ kind: 'intent' }, body => this.applyIntent(body, record.offset))
      .with({ kind: 'outcome' }, body => this.applyOutcome(body, record.offset))
      .with({ kind: 'drain' }, body => this.applyDrain(body, record.offset))
      .with({ kind: 'confirm' }, body => this.applyConfirm(body))
      .exhaustive()
  }

  snapshot (): unknown {
    return {
      leases: Object.fromEntries(this.leases),
      engines: Object.fromEntries(this.engines),
      drains: Object.fromEntries(this.drains)
    } satisfies OrderTable
  }

  restore (state: unknown, _through: Offset): Result<void, Failure> {
    const parsed = orderTableSchema.safeParse(state)
    if (!parsed.success) return Result.err(failure('bad_request', 'not a table of orders'))
    this.leases = new Map(Object.entries(parsed.data.leases))
    this.engines = new Map(Object.entries(parsed.data.engines))
    this.drains = new Map(Object.entries(parsed.data.drains))
    return Result.ok(undefined)
  }

  /** The new holder completes the open intents, so it may send their orders from now on. */
  private applyTakeover ({ lease, fencingNumber, holder }: RecordOf<'takeover'>): ApplyOutcome {
    if (fencingNumber <= this.currentFencingNumber(lease)) {
      return refused('lost_authority', `fencing number ${fencingNumber} of ${lease} is not greater than the current one`)
    }
    this.leases.set(lease, { fencingNumber, holder })
    for (const { engine, orderId } of this.openIntents().filter(open => open.lease === lease)) {
      const record = this.engineRecord(engine)
      const possibleSenders = [...record.possibleSenders, { lease, fencingNumber, holder, orderId }]
      this.engines.set(engine, { ...record, possibleSenders })
    }
    return accepted
  }

  private applyIntent (intent: RecordOf<'intent'>, offset: Offset): ApplyOutcome {
    const { lease, fencingNumber, holder, orderId, engine, engineIncarnation, order } = intent
    if (fencingNumber !== this.currentFencingNumber(lease)) return refused('lost_authority', `not the current holder of ${lease}`)
    const record = this.engineRecord(engine)
    if (record.open !== undefined) return refused('conflict', `engine ${engine} has the open order ${record.open.orderId}`)
    if (intent.succeeds !== record.lastOffset) return refused('conflict', `the last record of ${engine} is ${record.lastOffset}`)
    this.engines.set(engine, {
      ...record,
      lastOffset: offset,
      open: { lease, fencingNumber, holder, orderId, engine, engineIncarnation, order, offset },
      possibleSenders: [{ lease, fencingNumber, holder, orderId }]
    })
    return accepted
  }

  private applyOutcome (outcome: RecordOf<'outcome'>, offset: Offset): ApplyOutcome {
    const { orderId, result, detail, lease, fencingNumber } = outcome
    const open = this.openIntents().find(intent => intent.orderId === orderId)
    if (open === undefined) return refused('conflict', `order ${orderId} is not open`)
    if (lease !== open.lease || fencingNumber !== this.currentFencingNumber(lease)) {
      return refused('lost_authority', `not the current holder of ${open.lease}`)
    }
    const { possibleSenders } = this.engineRecord(open.engine)
    this.engines.set(open.engine, {
      lastOffset: offset,
      last: { orderId, order: open.order, result, detail },
      possibleSenders: possibleSenders.filter(sender => sender.fencingNumber !== fencingNumber)
    })
    return accepted
  }

  private applyDrain ({ lease, fencingNumber, engine, durationMilliseconds }: RecordOf<'drain'>, offset: Offset): ApplyOutcome {
    if (fencingNumber !== this.currentFencingNumber(lease)) return refused('lost_authority', `not the current holder of ${lease}`)
    if (durationMilliseconds === 0) this.drains.delete(engine)
    else this.drains.set(engine, { offset, durationMilliseconds })
    return accepted
  }

  /** The current holder is never confirmed away: it answers for itself. */
  private applyConfirm ({ orderId }: RecordOf<'confirm'>): ApplyOutcome {
    const found = [...this.engines].find(([, { possibleSenders }]) => possibleSenders.some(sender => sender.orderId === orderId))
    if (found === undefined) return refused('conflict', `no former holder may still send order ${orderId}`)
    const [engine, record] = found
    const possibleSenders = record.possibleSenders.filter(sender => !this.isConfirmed(sender, orderId))
    this.engines.set(engine, { ...record, possibleSenders })
    return accepted
  }

  private isConfirmed (sender: EngineRecord['possibleSenders'][number], orderId: OrderId): boolean {
    return sender.orderId === orderId && sender.fencingNumber < this.currentFencingNumber(sender.lease)
  }
}

/**
 * Applies the records of the stream `orders` to the state of each engine's orders. An engine has at most one open
 * intent, and only intents and outcomes of the holder with the current fencing number are accepted.
 *
 * For engines that ignore fencing numbers, the projection also tracks which holders may still send an order: the writer of
 * an intent, and each later holder that took over while the intent was open, until that holder itself writes the
 * outcome. The next intent clears the list, since its writer first makes sure that none of them can send any more.
 */
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { failure, type Failure, noOffset, type Offset, type WorkerId } from '../common/index.js'
import type { LeaseName } from '../leases/index.js'
import { type ApplyOutcome, type StreamRecord, StreamProjection } from '../streams/index.js'
import {
  type DrainMark, type EngineRecord, type OpenIntent, type OrderId, type OrderRecord, orderRecordSchema, type OrderTable,
  orderTableSchema
} from './orderRecords.js'

const acceptedOutcome: ApplyOutcome = { accepted: true }

function refusedOutcome (kind: 'bad_request' | 'conflict' | 'lost_authority', message: string): ApplyOutcome {
  return { accepted: false, failure: failure(kind, message) }
}

type RecordOf<Kind extends OrderRecord['kind']> = Extract<OrderRecord, { kind: Kind }>

/** Keeps the state that results from the stream `orders`. Errors of records: `bad_request`, `conflict`, `lost_authority`. */
export class OrderProjection extends StreamProjection {
  readonly stream = 'orders'
  private leases = new Map<string, OrderTable['leases'][string]>()
  private engines = new Map<string, EngineRecord>()
  private drains = new Map<string, DrainMark>()
  /** The engine of each open order. Avoids a search through all engines for each outcome. */
  private openOrders = new Map<OrderId, WorkerId>()

  /** The state of an engine's orders according to the log. */
  engineRecord (engine: WorkerId): EngineRecord {
    return this.engines.get(engine) ?? { lastOffset: noOffset, possibleSenders: [] }
  }

  /** The order state of each engine that ever had an order, by worker id. */
  engineRecords (): Map<string, EngineRecord> {
    return new Map(this.engines)
  }

  /** The accepted intents that have no outcome yet. */
  openIntents (): OpenIntent[] {
    return [...this.openOrders.values()].flatMap(engine => this.engineRecord(engine).open ?? [])
  }

  /** Drain marks by worker id, including expired ones: each host expires them by its own clock, which the projection lacks. */
  drainMarks (): ReadonlyMap<string, DrainMark> {
    return this.drains
  }

  /** The current fencing number of a lease in this stream; 0 before the first takeover. */
  currentFencingNumber (lease: LeaseName): number {
    return this.leases.get(lease)?.fencingNumber ?? 0
  }

  apply (record: StreamRecord): ApplyOutcome {
    const parsed = orderRecordSchema.safeParse(record.value)
    if (!parsed.success) return refusedOutcome('bad_request', 'the record is not a valid order record')
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
    if (!parsed.success) return Result.err(failure('bad_request', 'the snapshot is not a valid order table'))
    this.leases = new Map(Object.entries(parsed.data.leases))
    this.engines = new Map(Object.entries(parsed.data.engines))
    this.drains = new Map(Object.entries(parsed.data.drains))
    const open = [...this.engines.values()].flatMap(record => record.open ?? [])
    this.openOrders = new Map(open.map(intent => [intent.orderId, intent.engine]))
    return Result.ok(undefined)
  }

  /** Adds the new holder to the possible senders of open intents, since it completes them and so may send their orders. */
  private applyTakeover ({ lease, fencingNumber, holder }: RecordOf<'takeover'>): ApplyOutcome {
    if (fencingNumber <= this.currentFencingNumber(lease)) {
      return refusedOutcome('lost_authority', `fencing number ${fencingNumber} of ${lease} is not greater than the current one`)
    }
    this.leases.set(lease, { fencingNumber, holder })
    for (const { engine, orderId } of this.openIntents().filter(open => open.lease === lease)) {
      const record = this.engineRecord(engine)
      const possibleSenders = [...record.possibleSenders, { lease, fencingNumber, holder, orderId }]
      this.engines.set(engine, { ...record, possibleSenders })
    }
    return acceptedOutcome
  }

  private applyIntent (intent: RecordOf<'intent'>, offset: Offset): ApplyOutcome {
    const { lease, fencingNumber, holder, orderId, engine, engineIncarnation, order } = intent
    if (fencingNumber !== this.currentFencingNumber(lease)) return refusedOutcome('lost_authority', `not the current holder of ${lease}`)
    const record = this.engineRecord(engine)
    if (record.open !== undefined) return refusedOutcome('conflict', `engine ${engine} has the open order ${record.open.orderId}`)
    if (intent.succeeds !== record.lastOffset) return refusedOutcome('conflict', `the last accepted record of ${engine} has offset ${record.lastOffset}`)
    if (this.openOrders.has(orderId)) return refusedOutcome('conflict', `order ${orderId} is open for another engine`)
    this.openOrders.set(orderId, engine)
    this.engines.set(engine, {
      ...record,
      lastOffset: offset,
      open: { lease, fencingNumber, holder, orderId, engine, engineIncarnation, order, offset },
      possibleSenders: [{ lease, fencingNumber, holder, orderId }]
    })
    return acceptedOutcome
  }

  private applyOutcome (outcome: RecordOf<'outcome'>, offset: Offset): ApplyOutcome {
    const { orderId, result, detail, lease, fencingNumber } = outcome
    const engine = this.openOrders.get(orderId)
    const open = engine === undefined ? undefined : this.engineRecord(engine).open
    if (open === undefined) return refusedOutcome('conflict', `order ${orderId} is not open`)
    if (lease !== open.lease || fencingNumber !== this.currentFencingNumber(lease)) {
      return refusedOutcome('lost_authority', `not the current holder of ${open.lease}`)
    }
    const { possibleSenders } = this.engineRecord(open.engine)
    this.openOrders.delete(orderId)
    this.engines.set(open.engine, {
      lastOffset: offset,
      last: { orderId, order: open.order, result, detail },
      possibleSenders: possibleSenders.filter(sender => sender.fencingNumber !== fencingNumber)
    })
    return acceptedOutcome
  }

  private applyDrain ({ lease, fencingNumber, engine, durationMilliseconds }: RecordOf<'drain'>, offset: Offset): ApplyOutcome {
    if (fencingNumber !== this.currentFencingNumber(lease)) return refusedOutcome('lost_authority', `not the current holder of ${lease}`)
    if (durationMilliseconds === 0) this.drains.delete(engine)
    else this.drains.set(engine, { offset, durationMilliseconds })
    return acceptedOutcome
  }

  /** Removes former holders only: the current holder knows itself whether it may still send the order. */
  private applyConfirm ({ orderId }: RecordOf<'confirm'>): ApplyOutcome {
    const found = [...this.engines].find(([, { possibleSenders }]) => possibleSenders.some(sender => sender.orderId === orderId))
    if (found === undefined) return refusedOutcome('conflict', `no former holder may still send order ${orderId}`)
    const [engine, record] = found
    const possibleSenders = record.possibleSenders.filter(sender => !this.isConfirmedFormerSender(sender, orderId))
    this.engines.set(engine, { ...record, possibleSenders })
    return acceptedOutcome
  }

  private isConfirmedFormerSender (sender: EngineRecord['possibleSenders'][number], orderId: OrderId): boolean {
    return sender.orderId === orderId && sender.fencingNumber < this.currentFencingNumber(sender.lease)
  }
}

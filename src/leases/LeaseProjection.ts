/**
 * Applies the records of the stream `leases` to a table of leases. A record takes effect only if it names the last
 * accepted record of its lease, so of a claim and a late renewal the one with the lower offset wins.
 */
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { failure, type Failure, type FencingNumber, noOffset, type Offset } from '../common/index.js'
import { type ApplyOutcome, type StreamRecord, StreamProjection } from '../streams/index.js'
import {
  isSameHolder, type LeaseName, type LeaseRecord, leaseRecordSchema, type LeaseState, leaseTableSchema
} from './leaseRecords.js'

function refusedOutcome (kind: 'bad_request' | 'conflict', message: string): ApplyOutcome {
  return { accepted: false, failure: failure(kind, message) }
}

/** Keeps the leases that result from the stream `leases`. Errors of records: `bad_request`, `conflict`. */
export class LeaseProjection extends StreamProjection {
  readonly stream = 'leases'
  private table = new Map<string, LeaseState>()

  /** The state of a lease; undefined if it was never claimed. */
  lease (lease: LeaseName): LeaseState | undefined {
    return this.table.get(lease)
  }

  /** All leases by name. */
  leases (): Map<string, LeaseState> {
    return new Map(this.table)
  }

  apply (record: StreamRecord): ApplyOutcome {
    const parsed = leaseRecordSchema.safeParse(record.value)
    if (!parsed.success) return refusedOutcome('bad_request', 'the record is not a valid lease record')
    const body = parsed.data
    const state = this.table.get(body.lease)
    if (body.succeeds !== (state?.lastOffset ?? noOffset)) {
      return refusedOutcome('conflict', `offset ${body.succeeds} is not the offset of the last accepted record of ${body.lease}`)
    }
    const nextState = this.stateAfter(state, body, record.offset)
    if (nextState === undefined) return refusedOutcome('conflict', `${body.holder.hostId} does not hold ${body.lease}`)
    this.table.set(body.lease, nextState)
    return { accepted: true }
  }

  snapshot (): unknown {
    return Object.fromEntries(this.table)
  }

  restore (state: unknown, _through: Offset): Result<void, Failure> {
    const parsed = leaseTableSchema.safeParse(state)
    if (!parsed.success) return Result.err(failure('bad_request', 'the snapshot is not a valid lease table'))
    this.table = new Map(Object.entries(parsed.data))
    return Result.ok(undefined)
  }

  private stateAfter (state: LeaseState | undefined, record: LeaseRecord, offset: Offset): LeaseState | undefined {
    if (record.kind === 'claim') {
      const { holder, duration } = record
      return { holder, isReleased: false, lastOffset: offset, fencingNumber: offset as number as FencingNumber, duration }
    }
    if (state === undefined || state.isReleased || !isSameHolder(state.holder, record.holder)) return undefined
    return match(record)
      .with({ kind: 'renew' }, () => ({ ...state, lastOffset: offset }))
      .with({ kind: 'release' }, () => ({ ...state, lastOffset: offset, isReleased: true }))
      .exhaustive()
  }
}

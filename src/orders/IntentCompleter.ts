/**
 * Brings one open intent to its end: sends the order, or finds out from the engine's state what became of it,
 * as often as it takes. Works the same for an intent of this host and for one of a former holder.
 */
import { Result } from 'true-myth'
import { match, P } from 'ts-pattern'
import { type Clock, failure, type Failure, type FencingNumber } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { EngineOrderClient, EngineTarget, OrderMessage, OrderStatus } from './EngineOrderClient.js'
import type { OpenSends } from './OpenSends.js'
import type { EngineOrder, EngineState, OpenIntent, OrderResult, OutcomeDetail } from './orderRecords.js'
import { isReached } from './targetOf.js'

/** Called between the last check of the authority and the write of an order; tests stop a holder there. */
export type BeforeWrite = (engine: EngineTarget, message: OrderMessage) => Promise<void>

/** Options of an `IntentCompleter`. Times are in milliseconds. */
export interface IntentCompleterOptions {
  client: EngineOrderClient
  clock: Clock
  events: EventLog
  sends: OpenSends
  /** The fencing number under which this host may send now; undefined if it may not. */
  authority: () => FencingNumber | undefined
  /** True if a former holder may still send an order to the engine. */
  hasFormerSenders: (engine: EngineTarget) => boolean
  /** Time between two looks at the engine's state. */
  pollMilliseconds: number
  /** Time after which an order without a known end is left open. */
  orderTimeoutMilliseconds: number
  beforeWrite?: BeforeWrite | undefined
}

/** How an order ended. */
export interface OrderEnd {
  result: OrderResult
  detail: OutcomeDetail
}

/** What the engine's state says about an order. */
type Standing = 'running' | 'ended' | 'restarted' | 'not_received'

/** What came of one round: the end, an error, or `again`. */
type Round = { kind: 'end', end: OrderEnd } | { kind: 'error', failure: Failure } | { kind: 'again' }

const again: Round = { kind: 'again' }

/** Completes intents. */
export class IntentCompleter {
  constructor (private readonly options: IntentCompleterOptions) {}

  /**
   * Works on an intent until its end is known. `isNew` says that no process has sent it yet.
   * Errors: `lost_authority`, `cancelled`, and `outcome_unknown` at the time limit; the intent then stays open.
   */
  async complete (
    engine: EngineTarget, intent: OpenIntent, isNew: boolean, signal: AbortSignal
  ): Promise<Result<OrderEnd, Failure>> {
    const { clock, pollMilliseconds, orderTimeoutMilliseconds } = this.options
    const deadline = clock.monotonic() + orderTimeoutMilliseconds
    let mayHaveArrived = !isNew
    while (!signal.aborted) {
      const round = await this.round(engine, intent, () => { mayHaveArrived = true })
      if (round.kind === 'end') return Result.ok(round.end)
      if (round.kind === 'error') return Result.err(round.failure)
      if (clock.monotonic() >= deadline) return this.atDeadline(intent, mayHaveArrived)
      await clock.sleep(pollMilliseconds, signal)
    }
    return Result.err(failure('cancelled', `order ${intent.orderId} is left to the next holder`))
  }

  /** Sends a message if this host has the authority of its fencing number. Errors: see `EngineOrderClient.send`. */
  async send (engine: EngineTarget, message: OrderMessage): Promise<Result<OrderStatus, Failure>> {
    const { client, sends, authority, beforeWrite } = this.options
    // Noted before the check: a question by a successor between check and write must be answered with "on its way".
    const send = sends.begin(engine.worker, message)
    if (authority() !== message.fencingNumber) {
      sends.end(send)
      return Result.err(failure('lost_authority', `fencing number ${message.fencingNumber} is not valid here any more`))
    }
    if (beforeWrite !== undefined) await beforeWrite(engine, message)
    const sent = await client.send(engine, message)
    // A late fence order does no harm.
    const mayArriveLater = sent.isErr && sent.error.kind === 'outcome_unknown' && message.order.kind !== 'fence'
    if (mayArriveLater) send.isAnswerLost = true
    else sends.end(send)
    return sent
  }

  private async round (engine: EngineTarget, intent: OpenIntent, noteArrival: () => void): Promise<Round> {
    const fencingNumber = this.options.authority()
    if (fencingNumber === undefined) return { kind: 'error', failure: failure('lost_authority', 'the lease is over') }
    const read = await this.options.client.state(engine)
    if (read.isErr) return again
    const state = read.value
    this.options.sends.resolve(engine.worker, state)
    return await match(this.standingOf(engine, intent, state))
      .with('running', () => again)
      .with('ended', () => endOf(intent.order, state, 'failed', 'the engine ended the order short of its target'))
      .with('restarted', () => endOf(intent.order, state, 'abandoned', 'the engine restarted'))
      .with('not_received', async () => {
        const { orderId, order } = intent
        const message: OrderMessage = { orderId, order, fencingNumber, engineIncarnation: state.incarnation }
        return this.roundAfterSend(await this.send(engine, message), noteArrival)
      })
      .exhaustive()
  }

  private standingOf (engine: EngineTarget, intent: OpenIntent, state: EngineState): Standing {
    if (state.runningOrderId === intent.orderId) return 'running'
    if (state.lastOrderId === intent.orderId) return 'ended'
    if (state.incarnation === intent.engineIncarnation) return 'not_received'
    // While a former holder may still send this order, it is completed and not given up: a late copy then
    // finds an engine that already has it.
    const mustComplete = !engine.checksFencing && this.options.hasFormerSenders(engine)
    return mustComplete ? 'not_received' : 'restarted'
  }

  private roundAfterSend (sent: Result<OrderStatus, Failure>, noteArrival: () => void): Round {
    if (sent.isOk) {
      noteArrival()
      return again
    }
    return match(sent.error.kind)
      .with('lost_authority', (): Round => ({ kind: 'error', failure: sent.error }))
      .with('bad_request', (): Round => ({ kind: 'end', end: { result: 'failed', detail: { reason: sent.error.message } } }))
      .with('not_run', 'wrong_incarnation', 'conflict', () => again)
      .with(P._, () => {
        noteArrival()
        return again
      })
      .exhaustive()
  }

  private atDeadline (intent: OpenIntent, mayHaveArrived: boolean): Result<OrderEnd, Failure> {
    if (mayHaveArrived) {
      return Result.err(failure('outcome_unknown', `the end of order ${intent.orderId} is not known yet`, { orderId: intent.orderId }))
    }
    return Result.ok({ result: 'not_sent', detail: { reason: 'the engine could not be reached' } })
  }
}

function endOf (order: EngineOrder, state: EngineState, otherwise: 'failed' | 'abandoned', reason: string): Round {
  if (isReached(order, state)) return { kind: 'end', end: { result: 'done', detail: { reason: 'the target is reached', state } } }
  return { kind: 'end', end: { result: otherwise, detail: { reason, state } } }
}

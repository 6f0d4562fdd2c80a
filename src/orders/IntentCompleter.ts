/**
 * Completes one open intent: polls the engine's state, and sends the order while the engine has not received it, until
 * the outcome is known or the time limit passes. Handles intents of this host and of a former holder alike.
 */
import { Result } from 'true-myth'
import { match, P } from 'ts-pattern'
import { type Clock, failure, type Failure, type FencingNumber } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { EngineOrderClient, EngineTarget, OrderMessage, OrderStatus } from './EngineOrderClient.js'
import type { InFlightOrders } from './InFlightOrders.js'
import type { EngineOrder, EngineState, OpenIntent, OrderResult, OutcomeDetail } from './orderRecords.js'
import { isTargetReached } from './orderPredicates.js'

/** Called between the last check of the authority and the sending of an order; tests pause a holder there. */
export type BeforeSend = (engine: EngineTarget, message: OrderMessage) => Promise<void>

/** Options of an `IntentCompleter`. Times are in milliseconds. */
export interface IntentCompleterOptions {
  client: EngineOrderClient
  clock: Clock
  events: EventLog
  inFlight: InFlightOrders
  /** Returns the fencing number under which this host may send now; undefined if this host may not send. */
  authority: () => FencingNumber | undefined
  /** Returns true if a former holder may still send an order to the engine. */
  hasFormerSenders: (engine: EngineTarget) => boolean
  /** Interval between reads of the engine's state. */
  pollMilliseconds: number
  /** Time after which an intent without a known outcome stays open for a later attempt. */
  orderTimeoutMilliseconds: number
  beforeSend?: BeforeSend | undefined
}

/** The outcome of an order, as it is recorded in the log. */
export interface OrderOutcome {
  result: OrderResult
  detail: OutcomeDetail
}

/** The progress of an order according to the engine's state. */
type OrderProgress = 'running' | 'ended' | 'restarted' | 'not_received'

/** The result of one poll: the end of the order, an error, or `again` if another poll is needed. */
type PollResult = { kind: 'end', end: OrderOutcome } | { kind: 'error', failure: Failure } | { kind: 'again' }

const pollAgain: PollResult = { kind: 'again' }

/** Completes open intents, and sends messages to engines only while this host has authority. */
export class IntentCompleter {
  constructor (private readonly options: IntentCompleterOptions) {}

  /**
   * Completes an intent and returns its outcome. `isNew` means that no process has sent the order yet. Errors, after
   * which the intent stays open: `lost_authority`, `cancelled`, and `outcome_unknown` at the time limit.
   */
  async complete (
    engine: EngineTarget, intent: OpenIntent, isNew: boolean, signal: AbortSignal
  ): Promise<Result<OrderOutcome, Failure>> {
    const { clock, pollMilliseconds, orderTimeoutMilliseconds } = this.options
    const deadline = clock.monotonic() + orderTimeoutMilliseconds
    let mayHaveBeenReceived = !isNew
    while (!signal.aborted) {
      const result = await this.poll(engine, intent, () => { mayHaveBeenReceived = true })
      if (result.kind === 'end') return Result.ok(result.end)
      if (result.kind === 'error') return Result.err(result.failure)
      if (clock.monotonic() >= deadline) return this.resultAtDeadline(intent, mayHaveBeenReceived)
      await clock.sleep(pollMilliseconds, signal)
    }
    return Result.err(failure('cancelled', `order ${intent.orderId} stays open for the next holder`))
  }

  /** Sends a message if this host has authority under the message's fencing number. Errors: see `EngineOrderClient.send`. */
  async send (engine: EngineTarget, message: OrderMessage): Promise<Result<OrderStatus, Failure>> {
    const { client, inFlight, authority, beforeSend } = this.options
    // Registered before the check, so that a successor that asks between check and send learns of an order in flight.
    const inFlightOrder = inFlight.add(engine.worker, message)
    if (authority() !== message.fencingNumber) {
      inFlight.remove(inFlightOrder)
      return Result.err(failure('lost_authority', `this host no longer has authority under fencing number ${message.fencingNumber}`))
    }
    if (beforeSend !== undefined) await beforeSend(engine, message)
    const sent = await client.send(engine, message)
    // A fence order that arrives late does no harm, so it need not be tracked.
    const mayArriveLate = sent.isErr && sent.error.kind === 'outcome_unknown' && message.order.kind !== 'fence'
    if (mayArriveLate) inFlightOrder.isResponseLost = true
    else inFlight.remove(inFlightOrder)
    return sent
  }

  private async poll (engine: EngineTarget, intent: OpenIntent, markPossiblyReceived: () => void): Promise<PollResult> {
    const fencingNumber = this.options.authority()
    if (fencingNumber === undefined) return { kind: 'error', failure: failure('lost_authority', 'this host no longer holds the lease') }
    const read = await this.options.client.state(engine)
    if (read.isErr) return pollAgain
    const state = read.value
    this.options.inFlight.removeResolved(engine.worker, state)
    return await match(this.progressOf(engine, intent, state))
      .with('running', () => pollAgain)
      .with('ended', () => endedResult(intent.order, state, 'failed', 'the engine ended the order short of its target'))
      .with('restarted', () => endedResult(intent.order, state, 'abandoned', 'the engine restarted'))
      .with('not_received', async () => {
        const { orderId, order } = intent
        const message: OrderMessage = { orderId, order, fencingNumber, engineIncarnation: state.incarnation }
        return this.pollResultOfSend(await this.send(engine, message), markPossiblyReceived)
      })
      .exhaustive()
  }

  private progressOf (engine: EngineTarget, intent: OpenIntent, state: EngineState): OrderProgress {
    if (state.runningOrderId === intent.orderId) return 'running'
    if (state.lastOrderId === intent.orderId) return 'ended'
    if (state.incarnation === intent.engineIncarnation) return 'not_received'
    // While a former holder may still send this order, the order is completed instead of abandoned, so that a late
    // copy reaches an engine that has already received it.
    const mustComplete = !engine.checksFencing && this.options.hasFormerSenders(engine)
    return mustComplete ? 'not_received' : 'restarted'
  }

  private pollResultOfSend (sent: Result<OrderStatus, Failure>, markPossiblyReceived: () => void): PollResult {
    if (sent.isOk) {
      markPossiblyReceived()
      return pollAgain
    }
    return match(sent.error.kind)
      .with('lost_authority', (): PollResult => ({ kind: 'error', failure: sent.error }))
      .with('bad_request', (): PollResult => ({ kind: 'end', end: { result: 'failed', detail: { reason: sent.error.message } } }))
      .with('not_run', 'wrong_incarnation', 'conflict', () => pollAgain)
      .with(P._, () => {
        markPossiblyReceived()
        return pollAgain
      })
      .exhaustive()
  }

  private resultAtDeadline (intent: OpenIntent, mayHaveBeenReceived: boolean): Result<OrderOutcome, Failure> {
    if (mayHaveBeenReceived) {
      return Result.err(failure('outcome_unknown', `the outcome of order ${intent.orderId} is not known yet`, { orderId: intent.orderId }))
    }
    return Result.ok({ result: 'not_sent', detail: { reason: 'the engine could not be reached' } })
  }
}

function endedResult (order: EngineOrder, state: EngineState, resultIfNotReached: 'failed' | 'abandoned', reason: string): PollResult {
  if (isTargetReached(order, state)) return { kind: 'end', end: { result: 'done', detail: { reason: 'the target is reached', state } } }
  return { kind: 'end', end: { result: resultIfNotReached, detail: { reason, state } } }
}

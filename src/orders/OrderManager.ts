/**
 * Sends orders to the engines of a zone while this host holds the zone's planner lease (design section 4.3).
 * An order is sent only after its intent was accepted in the log, and the next order to the same engine only after
 * the outcome of the previous one is in the log. A new holder first completes the open intents that it finds.
 */
import { Result } from 'true-myth'
import type { TokenBucket } from '../admission/index.js'
import { type Clock, failure, type Failure, failureOf, type FencingNumber, newRecordId, Task, type WorkerId } from '../common/index.js'
import type { EngineRole } from '../configuration/index.js'
import { isSameHolder, type LeaseHolder, type LeaseManager, type LeaseName } from '../leases/index.js'
import type { EventLog } from '../observability/index.js'
import type { ApplyOutcome, StreamRecord, NewRecord, RecordWriter, SubmittedRecord } from '../streams/index.js'
import type { EngineDrain } from './EngineDrain.js'
import type { EngineOrderClient, EngineTarget } from './EngineOrderClient.js'
import { type BeforeSend, IntentCompleter, type OrderOutcome } from './IntentCompleter.js'
import { InFlightOrders } from './InFlightOrders.js'
import { OrderProjection } from './OrderProjection.js'
import { type EngineOrder, type EngineRecord, type EngineState, type OpenIntent, type OrderId, type PossibleSender } from './orderRecords.js'
import type { PredecessorEvidence } from './PredecessorEvidence.js'
import { loadsWeights } from './orderPredicates.js'

/** Options of an `OrderManager`. Times are in milliseconds. */
export interface OrderManagerOptions {
  clock: Clock
  events: EventLog
  /** This incarnation of this host. */
  holder: LeaseHolder
  /** The planner lease of the zone. */
  lease: LeaseName
  leases: LeaseManager
  /** Returns the current engines of the zone. */
  engines: () => EngineTarget[]
  client: EngineOrderClient
  evidence: PredecessorEvidence
  drain: EngineDrain
  /** Limits the rate of weight loads to what the weight store allows. Absent: no limit. */
  weightLoads?: TokenBucket
  /** Interval between reads of an engine's state while an order runs. Default: 500. */
  pollMilliseconds?: number
  /** Time after which an intent without a known outcome stays open for a later attempt. Default: 120,000. */
  orderTimeoutMilliseconds?: number
  /** Interval between attempts to complete open intents. Default: 2,000. */
  reconcileMilliseconds?: number
  /** Called between the last check of the authority and the sending of an order. Default: nothing. */
  beforeSend?: BeforeSend
}

/** Options of an order for which the engine is drained first. */
export interface DrainOptions {
  /** Maximum wait for the engine's running streams, in milliseconds. */
  drainLimitMilliseconds: number
  /** What to do if streams still run at the limit. Default: `give_up`, since a planned change must not interrupt them. */
  atLimit?: 'give_up' | 'send'
}

/** The state of an engine's orders and the former holders that may still send to it, for operators. */
export interface EngineOrderReport extends EngineRecord {
  engine: WorkerId
  /** Former holders that may still send orders. They block other orders to an engine that ignores fencing numbers. */
  formerSenders: PossibleSender[]
}

const defaultPollMilliseconds = 500
const defaultOrderTimeoutMilliseconds = 120_000
const defaultReconcileMilliseconds = 2000

/** Maximum number of intents for one order; an intent that ends as `abandoned` is followed by another one. */
const maxAttempts = 3

/** Sends orders to the engines of a zone and completes open intents. */
export class OrderManager extends OrderProjection {
  private readonly inFlight = new InFlightOrders()
  private readonly completer: IntentCompleter
  private readonly stopController = new AbortController()
  /** The last operation on each engine; the next operation on that engine waits for it. */
  private readonly lastOperations = new Map<WorkerId, Promise<unknown>>()
  /** The fencing number with which each engine that checks fencing numbers was last fenced. */
  private readonly fencedNumbers = new Map<WorkerId, FencingNumber>()
  private readonly reconcilingWorkers = new Set<WorkerId>()
  private pendingTakeover: Promise<Result<void, Failure>> | undefined
  private writer: RecordWriter | undefined
  private task: Task | undefined

  constructor (private readonly options: OrderManagerOptions) {
    super()
    const { client, clock, events, beforeSend } = options
    this.completer = new IntentCompleter({
      client,
      clock,
      events,
      beforeSend,
      inFlight: this.inFlight,
      authority: () => this.fencingNumber(),
      hasFormerSenders: engine => this.formerSenders(engine.worker).length > 0,
      pollMilliseconds: options.pollMilliseconds ?? defaultPollMilliseconds,
      orderTimeoutMilliseconds: options.orderTimeoutMilliseconds ?? defaultOrderTimeoutMilliseconds
    })
  }

  /** Starts completing open intents whenever this host holds the lease. */
  start (writer: RecordWriter): void {
    this.writer = writer
    this.task = Task.start(signal => this.run(signal), error => {
      this.options.events.error('order_task_failed', { reason: failureOf(error).message })
    })
  }

  /** Stops all operations. Must be called before the lease is released. Intents without a known outcome stay open. */
  async stop (): Promise<void> {
    this.stopController.abort()
    await this.task?.stop()
    await Promise.allSettled(this.lastOperations.values())
  }

  /**
   * Carries out an order on an engine. Errors: `not_found`, `lost_authority`, `not_ready` (a former holder may still
   * send an order; try again later), `conflict`, `outcome_unknown` (the order stays open and is completed later),
   * `platform_unavailable`, `upstream_failed`, `cancelled`, `draining`.
   */
  async execute (worker: WorkerId, order: EngineOrder): Promise<Result<OrderOutcome, Failure>> {
    const engine = this.options.engines().find(target => target.worker === worker)
    if (engine === undefined) return Result.err(failure('not_found', `${worker} is not an engine of this zone`))
    return await this.runExclusively(worker, () => this.executeWithRetries(engine, order))
  }

  /** Drains an engine, changes its role and lets it accept work again. Errors: as `execute`, and `deadline_exceeded`. */
  async changeRole (worker: WorkerId, role: EngineRole, options: DrainOptions): Promise<Result<OrderOutcome, Failure>> {
    return await this.executeDrained(worker, { kind: 'change_role', role }, options)
  }

  /**
   * Drains an engine, carries out an order on it and lets it accept work again. Errors: as `execute`, and
   * `deadline_exceeded` if streams still run at the limit.
   */
  async executeDrained (worker: WorkerId, order: EngineOrder, options: DrainOptions): Promise<Result<OrderOutcome, Failure>> {
    if (this.fencingNumber() === undefined) return Result.err(failure('lost_authority', 'this host does not hold the lease'))
    const marked = await this.options.drain.stopAccepting(worker)
    if (marked.isErr) return Result.err(marked.error)
    try {
      const isIdle = await this.options.drain.waitUntilIdle(worker, options.drainLimitMilliseconds)
      if (isIdle || options.atLimit === 'send') return await this.execute(worker, order)
      return Result.err(failure('deadline_exceeded', `streams are still running on ${worker}`))
    } finally {
      await this.options.drain.accept(worker)
    }
  }

  /**
   * Writes a record by which every host stops sending new work to the engine for the duration; a duration of 0 ends
   * the drain. Errors: `lost_authority`, and those of `RecordWriter.submit`.
   */
  async markDraining (worker: WorkerId, durationMilliseconds: number): Promise<Result<void, Failure>> {
    const takenOver = await this.takeOver()
    if (takenOver.isErr) return takenOver
    const { lease } = this.options
    const submitted = await this.submit({
      kind: 'drain', lease, fencingNumber: this.currentFencingNumber(lease), engine: worker, durationMilliseconds
    })
    return submitted.map(() => undefined)
  }

  /**
   * Records an operator's confirmation that the former holders of an order can no longer send it. Errors: as
   * `RecordWriter.submit`, and `conflict` if no former holder may send it.
   */
  async confirm (orderId: OrderId, operator: string): Promise<Result<void, Failure>> {
    const submitted = await this.submit({ kind: 'confirm', orderId, operator })
    return submitted.map(() => undefined)
  }

  /**
   * Called when a successor asks: returns whether the authority with the given fencing number is over, and whether an
   * order that was sent under that number may still be in flight to the engine.
   */
  async leaseStatus (
    lease: LeaseName, fencingNumber: FencingNumber, worker: WorkerId
  ): Promise<{ knowsLeaseIsOver: boolean, orderInFlight: boolean }> {
    // The end of the authority is confirmed first: after that, no further send can pass the authority check.
    const knowsLeaseIsOver = lease === this.options.lease && this.options.leases.confirmAuthorityEnded(lease, fencingNumber)
    const engine = this.options.engines().find(target => target.worker === worker)
    if (engine !== undefined && this.inFlight.has(worker, fencingNumber)) await this.readState(engine)
    return { knowsLeaseIsOver, orderInFlight: this.inFlight.has(worker, fencingNumber) }
  }

  /** Reports for all engines that ever had an order. */
  engineReports (): EngineOrderReport[] {
    return [...this.engineRecords()].map(([name, record]) => {
      const engine = name as WorkerId
      return { ...record, engine, formerSenders: this.formerSenders(engine) }
    })
  }

  private fencingNumber (): FencingNumber | undefined {
    return this.options.leases.authority(this.options.lease)?.fencingNumber
  }

  private formerSenders (worker: WorkerId): PossibleSender[] {
    const { lease } = this.options
    const current = this.currentFencingNumber(lease)
    return this.engineRecord(worker).possibleSenders.filter(sender => sender.lease !== lease || sender.fencingNumber < current)
  }

  private async run (signal: AbortSignal): Promise<void> {
    const { clock, reconcileMilliseconds = defaultReconcileMilliseconds } = this.options
    while (!signal.aborted) {
      if (this.fencingNumber() !== undefined) await this.reconcile()
      await clock.sleep(reconcileMilliseconds, signal)
    }
  }

  /** Fences the engines and completes their open intents, concurrently, since an order can take minutes. */
  private async reconcile (): Promise<void> {
    const takenOver = await this.takeOver()
    if (takenOver.isErr) return
    for (const engine of this.options.engines()) {
      if (this.reconcilingWorkers.has(engine.worker) || !this.needsPreparation(engine)) continue
      this.reconcilingWorkers.add(engine.worker)
      this.runExclusively(engine.worker, () => this.prepareEngine(engine))
        .catch(caught => this.options.events.error('order_task_failed', { engine: engine.worker, reason: failureOf(caught).message }))
        .finally(() => this.reconcilingWorkers.delete(engine.worker))
    }
  }

  private needsPreparation (engine: EngineTarget): boolean {
    if (this.engineRecord(engine.worker).open !== undefined) return true
    return engine.checksFencing && this.fencedNumbers.get(engine.worker) !== this.fencingNumber()
  }

  /** Runs the operations on an engine one at a time, in the order of the calls. */
  private async runExclusively<Value> (worker: WorkerId, operation: () => Promise<Value>): Promise<Value> {
    const previous = this.lastOperations.get(worker) ?? Promise.resolve()
    const current = previous.then(operation)
    this.lastOperations.set(worker, current.catch(() => {}))
    return await current
  }

  private async executeWithRetries (engine: EngineTarget, order: EngineOrder): Promise<Result<OrderOutcome, Failure>> {
    for (let attempt = 1; ; attempt += 1) {
      if (this.stopController.signal.aborted) return Result.err(failure('draining', 'this host stops sending orders'))
      const executed = await this.executeOnce(engine, order)
      if (executed.isErr || executed.value.result !== 'abandoned' || attempt === maxAttempts) return executed
    }
  }

  private async executeOnce (engine: EngineTarget, order: EngineOrder): Promise<Result<OrderOutcome, Failure>> {
    const state = await this.prepareEngine(engine)
    if (state.isErr) return Result.err(state.error)
    const cleared = await this.requireNoFormerSenders(engine)
    if (cleared.isErr) return Result.err(cleared.error)
    if (loadsWeights(order)) await this.waitForWeightStore()
    if (this.stopController.signal.aborted) return Result.err(failure('draining', 'this host stops sending orders'))
    const intent = await this.writeIntent(engine, order, state.value)
    if (intent.isErr) return Result.err(intent.error)
    return await this.completeAndRecord(engine, intent.value, true)
  }

  /** Takes over the stream if necessary, fences the engine and completes its open intent. Returns the engine's state. */
  private async prepareEngine (engine: EngineTarget): Promise<Result<EngineState, Failure>> {
    const takenOver = await this.takeOver()
    if (takenOver.isErr) return Result.err(takenOver.error)
    const fenced = await this.fence(engine)
    if (fenced.isErr) return fenced
    const { open } = this.engineRecord(engine.worker)
    if (open === undefined) return fenced
    const completed = await this.completeAndRecord(engine, open, false)
    if (completed.isErr) return Result.err(completed.error)
    return await this.readState(engine)
  }

  /** Makes this host's fencing number the current one of the stream. */
  private async takeOver (): Promise<Result<void, Failure>> {
    const { lease, holder } = this.options
    const fencingNumber = this.fencingNumber()
    if (fencingNumber === undefined) return Result.err(failure('lost_authority', `this host does not hold ${lease}`))
    if (this.currentFencingNumber(lease) === fencingNumber) return Result.ok(undefined)
    this.pendingTakeover ??= this.submit({ kind: 'takeover', lease, fencingNumber, holder })
      .then(submitted => submitted.map(() => undefined))
      .finally(() => { this.pendingTakeover = undefined })
    return await this.pendingTakeover
  }

  /**
   * Makes an engine that checks fencing numbers refuse numbers lower than this host's. Called before each order, since
   * an engine that restarts forgets the greatest fencing number that it has seen.
   */
  private async fence (engine: EngineTarget): Promise<Result<EngineState, Failure>> {
    const read = await this.readState(engine)
    const fencingNumber = this.fencingNumber()
    if (fencingNumber === undefined) return Result.err(failure('lost_authority', 'this host no longer holds the lease'))
    if (read.isErr || !engine.checksFencing) return read
    if (read.value.greatestFencingNumber >= fencingNumber) {
      this.fencedNumbers.set(engine.worker, fencingNumber)
      return read
    }
    const orderId = `fence-${newRecordId()}`
    const engineIncarnation = read.value.incarnation
    const sent = await this.completer.send(engine, { orderId, fencingNumber, engineIncarnation, order: { kind: 'fence' } })
    if (sent.isErr && sent.error.kind !== 'outcome_unknown') return Result.err(sent.error)
    const after = await this.readState(engine)
    if (after.isErr) return after
    if (after.value.greatestFencingNumber < fencingNumber) {
      return Result.err(failure('not_ready', `${engine.worker} has not seen fencing number ${fencingNumber} yet`))
    }
    this.fencedNumbers.set(engine.worker, fencingNumber)
    return after
  }

  private async readState (engine: EngineTarget): Promise<Result<EngineState, Failure>> {
    const read = await this.options.client.state(engine)
    if (read.isOk) this.inFlight.removeResolved(engine.worker, read.value)
    return read
  }

  /** Fails with `not_ready` while a former holder may still send an order to an engine that ignores fencing numbers. */
  private async requireNoFormerSenders (engine: EngineTarget): Promise<Result<void, Failure>> {
    if (engine.checksFencing) return Result.ok(undefined)
    for (const sender of this.formerSenders(engine.worker)) {
      const evidence = await this.evidenceFor(sender, engine.worker)
      if (evidence === undefined) {
        const { hostId } = sender.holder
        return Result.err(failure('not_ready', `${hostId} may still send order ${sender.orderId}`, { hostId, orderId: sender.orderId }))
      }
      this.options.events.info('former_sender_cleared', { engine: engine.worker, peer: sender.holder.hostId, reason: evidence })
    }
    return Result.ok(undefined)
  }

  /** Looks at the orders in flight of this process if the sender is this process under an earlier fencing number. */
  private async evidenceFor (sender: PossibleSender, worker: WorkerId): Promise<string | undefined> {
    if (!isSameHolder(sender.holder, this.options.holder)) return await this.options.evidence.find(sender, worker)
    return this.inFlight.has(worker, sender.fencingNumber) ? undefined : 'own_process'
  }

  private async waitForWeightStore (): Promise<void> {
    const { weightLoads, clock } = this.options
    if (weightLoads === undefined) return
    for (;;) {
      const wait = weightLoads.take(clock.monotonic())
      if (wait <= 0 || this.stopController.signal.aborted) return
      await clock.sleep(wait, this.stopController.signal)
    }
  }

  private async writeIntent (engine: EngineTarget, order: EngineOrder, state: EngineState): Promise<Result<OpenIntent, Failure>> {
    const { lease, holder } = this.options
    const fencingNumber = this.fencingNumber()
    if (fencingNumber === undefined) return Result.err(failure('lost_authority', 'this host no longer holds the lease'))
    const orderId = newRecordId() as string as OrderId
    const intent = { lease, holder, fencingNumber, orderId, engine: engine.worker, engineIncarnation: state.incarnation, order }
    const { lastOffset } = this.engineRecord(engine.worker)
    const submitted = await this.submit({ kind: 'intent', ...intent, succeeds: lastOffset })
    return submitted.map(({ offset }) => ({ ...intent, offset }))
  }

  private async completeAndRecord (
    engine: EngineTarget, intent: OpenIntent, isNew: boolean
  ): Promise<Result<OrderOutcome, Failure>> {
    const completed = await this.completer.complete(engine, intent, isNew, this.stopController.signal)
    if (completed.isErr) return completed
    const fencingNumber = this.fencingNumber()
    if (fencingNumber === undefined) return Result.err(failure('lost_authority', 'the lease ended before the outcome was written'))
    const { orderId, lease } = intent
    const written = await this.submit({ kind: 'outcome', lease, fencingNumber, orderId, ...completed.value })
    if (written.isErr) return Result.err(written.error)
    this.options.events.info('order_ended', { engine: engine.worker, kind: completed.value.result, reason: completed.value.detail.reason })
    return completed
  }

  private async submit (record: NewRecord): Promise<Result<SubmittedRecord, Failure>> {
    if (this.writer === undefined) return Result.err(failure('not_ready', 'the order manager was not started'))
    const submitted = await this.writer.submit('orders', record)
    if (submitted.isErr || submitted.value.outcome.accepted) return submitted
    return Result.err(submitted.value.outcome.failure)
  }

  override apply (record: StreamRecord): ApplyOutcome {
    const outcome = super.apply(record)
    if (outcome.accepted) this.options.events.debug('order_record', { kind: record.value.kind, offset: record.offset })
    return outcome
  }
}

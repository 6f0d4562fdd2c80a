/**
 * Fake engines, evidence and hosts for tests of orders.
 */
import { Result } from 'true-myth'
import type { TokenBucket } from '../admission/index.js'
import { type Clock, failure, type Failure, type Incarnation, type Model, type WorkerId, type Zone } from '../common/index.js'
import { isSameHolder, plannerLeaseOf } from '../leases/index.js'
import { type LeaseHost, holderOf, type PauseGate, startLeaseHost } from '../leases/testSupport.js'
import { discardingEventLog, type StreamFixture } from '../streams/testSupport.js'
import { EngineDrain } from './EngineDrain.js'
import { EngineOrderClient, type EngineTarget, type OrderMessage, type OrderStatus } from './EngineOrderClient.js'
import { OrderProjection } from './OrderProjection.js'
import { OrderManager, type OrderManagerOptions } from './OrderManager.js'
import type { EngineState, PossibleSender } from './orderRecords.js'
import { type EvidenceKind, PredecessorEvidence } from './PredecessorEvidence.js'

export const plannerLease = plannerLeaseOf('duran-c' as Zone)

/** How an engine handled a message that it received. */
export type ReceiveOutcome = 'accepted' | 'repeated' | 'fenced' | 'conflict' | 'wrong_incarnation'

/** An engine that records the orders it receives and compares accepted ones with the open intent in the log. */
export class FakeEngine {
  readonly received: Array<{ orderId: string, outcome: ReceiveOutcome }> = []
  /** Ids of orders that were accepted although they were not the open intent in the log at that moment. */
  readonly unexpectedOrderIds: string[] = []
  isReachable = true
  /** Number of upcoming responses to lose. */
  responsesToLose = 0
  /** Number of upcoming orders that end without effect. */
  ordersToFail = 0
  orderDurationMilliseconds = 1000
  role: EngineState['role'] = 'mixed'
  models: EngineState['models'] = []
  private startCount = 1
  /** Status of the last order; an engine need not remember older ones. */
  private lastStatus: OrderStatus = { state: 'done' }
  private lastOrderId: string | null = null
  private runningOrderId: string | null = null
  private greatestFencingNumber = 0

  constructor (readonly target: EngineTarget, private readonly fixture: StreamFixture) {}

  get incarnation (): Incarnation {
    return this.startCount.toString(16).padStart(16, '0') as Incarnation
  }

  /** Ids of the accepted orders, without fence orders. */
  get acceptedOrderIds (): string[] {
    return this.received.filter(({ orderId, outcome }) => outcome === 'accepted' && !orderId.startsWith('fence'))
      .map(({ orderId }) => orderId)
  }

  /** Restarts the engine: a running order ends without effect, and the new process has the initial state. */
  crash (): void {
    this.startCount += 1
    this.lastOrderId = null
    this.runningOrderId = null
    this.greatestFencingNumber = 0
    this.role = 'mixed'
    this.models = []
  }

  receive (message: OrderMessage): Result<OrderStatus, Failure> {
    const outcome = this.receiveOutcomeOf(message)
    this.received.push({ orderId: message.orderId, outcome })
    if (outcome === 'fenced') return Result.err(failure('lost_authority', 'a greater fencing number was seen'))
    if (outcome === 'conflict') return Result.err(failure('conflict', 'another order is running'))
    if (outcome === 'wrong_incarnation') return Result.err(failure('wrong_incarnation', 'the engine restarted'))
    return Result.ok(outcome === 'accepted' ? this.accept(message) : this.lastStatus)
  }

  state (): EngineState {
    const { incarnation, role, models, lastOrderId, runningOrderId, greatestFencingNumber } = this
    return { incarnation, role, models, adapters: [], lastOrderId, runningOrderId, greatestFencingNumber }
  }

  private receiveOutcomeOf ({ orderId, fencingNumber, engineIncarnation }: OrderMessage): ReceiveOutcome {
    if (engineIncarnation !== this.incarnation) return 'wrong_incarnation'
    if (this.target.checksFencing && fencingNumber < this.greatestFencingNumber) return 'fenced'
    if (this.lastOrderId === orderId) return 'repeated'
    return this.runningOrderId === null || orderId.startsWith('fence') ? 'accepted' : 'conflict'
  }

  private accept (message: OrderMessage): OrderStatus {
    this.greatestFencingNumber = Math.max(this.greatestFencingNumber, message.fencingNumber)
    if (message.order.kind === 'fence') return { state: 'done' }
    const status: OrderStatus = { state: 'running' }
    this.lastStatus = status
    this.startOrder(message, status)
    return status
  }

  private startOrder (message: OrderMessage, status: OrderStatus): void {
    if (this.openOrderId() !== message.orderId) this.unexpectedOrderIds.push(message.orderId)
    this.lastOrderId = message.orderId
    this.runningOrderId = message.orderId
    const { startCount } = this
    const willFail = this.ordersToFail > 0
    if (willFail) this.ordersToFail -= 1
    this.fixture.clock.sleep(this.orderDurationMilliseconds).then(() => {
      if (this.startCount !== startCount) return
      this.runningOrderId = null
      status.state = willFail ? 'failed' : 'done'
      if (!willFail) this.applyOrder(message)
    }, () => {})
  }

  private applyOrder ({ order }: OrderMessage): void {
    if (order.kind === 'change_role') this.role = order.role
    if (order.kind === 'load_model') this.models = [...this.models, { model: order.model, version: order.version }]
  }

  /** Id of this engine's open order after all records of the log. */
  private openOrderId (): string | undefined {
    const projection = new OrderProjection()
    for (const { offset, at, value } of this.fixture.log.records('orders')) projection.apply({ offset, at, value: JSON.parse(value) })
    return projection.engineRecord(this.target.worker).open?.orderId
  }
}

/** Client of the fake engines for one host; messages of a paused host arrive after its pause. */
class FakeEngineClient extends EngineOrderClient {
  constructor (private readonly engines: FakeEngine[], private readonly gate: PauseGate) {
    super()
  }

  async send (target: EngineTarget, message: OrderMessage): Promise<Result<OrderStatus, Failure>> {
    await this.gate.waitWhilePaused()
    const engine = this.find(target)
    if (!engine.isReachable) return Result.err(failure('not_run', 'connection refused'))
    const response = engine.receive(message)
    await this.gate.waitWhilePaused()
    if (engine.responsesToLose === 0) return response
    engine.responsesToLose -= 1
    return Result.err(failure('outcome_unknown', 'the response was lost'))
  }

  async state (target: EngineTarget): Promise<Result<EngineState, Failure>> {
    await this.gate.waitWhilePaused()
    const engine = this.find(target)
    const state = engine.state()
    await this.gate.waitWhilePaused()
    return engine.isReachable ? Result.ok(state) : Result.err(failure('upstream_failed', 'connection refused'))
  }

  private find (target: EngineTarget): FakeEngine {
    return this.engines.find(engine => engine.target.worker === target.worker) as FakeEngine
  }
}

/** Asks the hosts of the test; a paused host does not respond. */
class FakeEvidence extends PredecessorEvidence {
  constructor (private readonly fleet: OrderFleet) {
    super()
  }

  async find (sender: PossibleSender, engine: WorkerId): Promise<EvidenceKind | undefined> {
    const stated = this.fleet.statedEvidence.get(sender.holder.hostId)
    if (stated !== undefined) return stated
    const host = this.fleet.hosts.find(candidate => isSameHolder(candidate.holder, sender.holder))
    if (host === undefined || host.gate.isPaused) return undefined
    const status = await host.orders.leaseStatus(sender.lease, sender.fencingNumber, engine)
    return status.knowsLeaseIsOver && !status.orderInFlight ? 'lease_status' : undefined
  }
}

/** Records the calls that it receives. */
export class FakeDrain extends EngineDrain {
  readonly calls: string[] = []
  isIdle = true

  constructor (private readonly clock: Clock) {
    super()
  }

  async stopAccepting (worker: WorkerId): Promise<Result<void, Failure>> {
    this.calls.push(`stop ${worker}`)
    return Result.ok(undefined)
  }

  async waitUntilIdle (worker: WorkerId, limitMilliseconds: number): Promise<boolean> {
    if (!this.isIdle) await this.clock.sleep(limitMilliseconds)
    this.calls.push(`waited ${worker}`)
    return this.isIdle
  }

  async accept (worker: WorkerId): Promise<void> {
    this.calls.push(`accept ${worker}`)
  }
}

/** A host that competes for the planner lease and sends orders. */
export interface OrderHost extends LeaseHost {
  orders: OrderManager
  drain: FakeDrain
  holder: ReturnType<typeof holderOf>
}

/** Engines and hosts of one test. */
export class OrderFleet {
  readonly hosts: OrderHost[] = []
  readonly engines: FakeEngine[]
  /** Evidence by host id that takes the place of asking that host. */
  readonly statedEvidence = new Map<string, EvidenceKind>()

  constructor (readonly fixture: StreamFixture, checksFencing: boolean[]) {
    this.engines = checksFencing.map((checks, index) => {
      const worker = `engine-${index + 1}` as WorkerId
      return new FakeEngine({ worker, address: `127.0.0.1:${index + 1}`, checksFencing: checks }, fixture)
    })
  }

  get engine (): FakeEngine {
    return this.engines[0] as FakeEngine
  }

  startHost (options: Partial<OrderManagerOptions> & { weightLoads?: TokenBucket } = {}): OrderHost {
    const number = this.hosts.length + 1
    const holder = holderOf(number)
    let orders: OrderManager | undefined
    const drain = new FakeDrain(this.fixture.clock)
    const host = startLeaseHost(this.fixture, number, {
      compete: [plannerLease],
      random: () => number / 10,
      projections: ({ gate, clock, leases }) => {
        orders = new OrderManager({
          clock,
          events: discardingEventLog(clock),
          holder,
          lease: plannerLease,
          leases,
          engines: () => this.engines.map(engine => engine.target),
          client: new FakeEngineClient(this.engines, gate),
          evidence: new FakeEvidence(this),
          drain,
          orderTimeoutMilliseconds: 20_000,
          ...options
        })
        return [orders]
      }
    })
    if (orders === undefined) throw new Error('the host has no order manager')
    orders.start(host.group)
    const started = { ...host, orders, drain, holder }
    this.hosts.push(started)
    return started
  }

  async stop (): Promise<void> {
    await Promise.all(this.hosts.map(host => host.orders.stop()))
    await Promise.all(this.hosts.map(host => host.leases.stop()))
    await this.fixture.stop()
  }
}

/** The model that the tests use. */
export const modelName = 'carassius' as Model

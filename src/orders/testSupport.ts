/**
 * Engines, evidence and hosts for tests of orders.
 */
import { Result } from 'true-myth'
import type { TokenBucket } from '../admission/index.js'
import { type Clock, failure, type Failure, type Incarnation, type Model, type WorkerId, type Zone } from '../common/index.js'
import { isSameHolder, plannerLeaseOf } from '../leases/index.js'
import { type LeaseHost, holderOf, type PauseGate, startLeaseHost } from '../leases/testSupport.js'
import { silentEvents, type StreamFixture } from '../streams/testSupport.js'
import { EngineDrain } from './EngineDrain.js'
import { EngineOrderClient, type EngineTarget, type OrderMessage, type OrderStatus } from './EngineOrderClient.js'
import { OrderFold } from './OrderFold.js'
import { OrderManager, type OrderManagerOptions } from './OrderManager.js'
import type { EngineState, PossibleSender } from './orderRecords.js'
import { type EvidenceKind, PredecessorEvidence } from './PredecessorEvidence.js'

export const plannerLease = plannerLeaseOf('duran-c' as Zone)

/** What became of a message at an engine. */
export type Reception = 'accepted' | 'repeated' | 'fenced' | 'conflict' | 'wrong_incarnation'

/** An engine that records what it receives and compares it with the open intent in the log. */
export class FakeEngine {
  readonly received: Array<{ orderId: string, reception: Reception }> = []
  /** Orders that were accepted without being the open intent in the log at that moment. */
  readonly unexpected: string[] = []
  isReachable = true
  answersToLose = 0
  /** The next orders end without effect. */
  ordersToSpoil = 0
  changeMilliseconds = 1000
  role: EngineState['role'] = 'mixed'
  models: EngineState['models'] = []
  private starts = 1
  /** Where the last order stands; an engine need not remember older ones. */
  private lastStatus: OrderStatus = { state: 'done' }
  private lastOrderId: string | null = null
  private runningOrderId: string | null = null
  private greatestFencingNumber = 0

  constructor (readonly target: EngineTarget, private readonly fixture: StreamFixture) {}

  get incarnation (): Incarnation {
    return this.starts.toString(16).padStart(16, '0') as Incarnation
  }

  /** Ids of the orders that were carried out. */
  get accepted (): string[] {
    return this.received.filter(({ orderId, reception }) => reception === 'accepted' && !orderId.startsWith('fence'))
      .map(({ orderId }) => orderId)
  }

  /** Ends the process in the middle of whatever it does; the next one has the initial state. */
  crash (): void {
    this.starts += 1
    this.lastOrderId = null
    this.runningOrderId = null
    this.greatestFencingNumber = 0
    this.role = 'mixed'
    this.models = []
  }

  receive (message: OrderMessage): Result<OrderStatus, Failure> {
    const reception = this.receptionOf(message)
    this.received.push({ orderId: message.orderId, reception })
    if (reception === 'fenced') return Result.err(failure('lost_authority', 'a greater fencing number was seen'))
    if (reception === 'conflict') return Result.err(failure('conflict', 'another order is running'))
    if (reception === 'wrong_incarnation') return Result.err(failure('wrong_incarnation', 'the engine restarted'))
    return Result.ok(reception === 'accepted' ? this.accept(message) : this.lastStatus)
  }

  state (): EngineState {
    const { incarnation, role, models, lastOrderId, runningOrderId, greatestFencingNumber } = this
    return { incarnation, role, models, adapters: [], lastOrderId, runningOrderId, greatestFencingNumber }
  }

  private receptionOf ({ orderId, fencingNumber, engineIncarnation }: OrderMessage): Reception {
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
    this.begin(message, status)
    return status
  }

  private begin (message: OrderMessage, status: OrderStatus): void {
    if (this.openOrderId() !== message.orderId) this.unexpected.push(message.orderId)
    this.lastOrderId = message.orderId
    this.runningOrderId = message.orderId
    const { starts } = this
    const isSpoilt = this.ordersToSpoil > 0
    if (isSpoilt) this.ordersToSpoil -= 1
    this.fixture.clock.sleep(this.changeMilliseconds).then(() => {
      if (this.starts !== starts) return
      this.runningOrderId = null
      status.state = isSpoilt ? 'failed' : 'done'
      if (!isSpoilt) this.change(message)
    }, () => {})
  }

  private change ({ order }: OrderMessage): void {
    if (order.kind === 'change_role') this.role = order.role
    if (order.kind === 'load_model') this.models = [...this.models, { model: order.model, version: order.version }]
  }

  /** The order that the whole log makes the open one of this engine. */
  private openOrderId (): string | undefined {
    const fold = new OrderFold()
    for (const { offset, at, value } of this.fixture.log.records('orders')) fold.apply({ offset, at, value: JSON.parse(value) })
    return fold.engineRecord(this.target.worker).open?.orderId
  }
}

/** Sends to fake engines; a paused host's messages arrive after its pause. */
class FakeEngineClient extends EngineOrderClient {
  constructor (private readonly engines: FakeEngine[], private readonly gate: PauseGate) {
    super()
  }

  async send (target: EngineTarget, message: OrderMessage): Promise<Result<OrderStatus, Failure>> {
    await this.gate.pass()
    const engine = this.find(target)
    if (!engine.isReachable) return Result.err(failure('not_run', 'connection refused'))
    const answer = engine.receive(message)
    await this.gate.pass()
    if (engine.answersToLose === 0) return answer
    engine.answersToLose -= 1
    return Result.err(failure('outcome_unknown', 'the answer was lost'))
  }

  async state (target: EngineTarget): Promise<Result<EngineState, Failure>> {
    await this.gate.pass()
    const engine = this.find(target)
    const state = engine.state()
    await this.gate.pass()
    return engine.isReachable ? Result.ok(state) : Result.err(failure('upstream_failed', 'connection refused'))
  }

  private find (target: EngineTarget): FakeEngine {
    return this.engines.find(engine => engine.target.worker === target.worker) as FakeEngine
  }
}

/** Asks the hosts of the test; a paused host does not answer. */
class FakeEvidence extends PredecessorEvidence {
  constructor (private readonly fleet: OrderFleet) {
    super()
  }

  async find (sender: PossibleSender, engine: WorkerId): Promise<EvidenceKind | undefined> {
    const stated = this.fleet.stated.get(sender.holder.hostId)
    if (stated !== undefined) return stated
    const host = this.fleet.hosts.find(candidate => isSameHolder(candidate.holder, sender.holder))
    if (host === undefined || host.gate.isPaused) return undefined
    const answer = await host.orders.leaseStatus(sender.lease, sender.fencingNumber, engine)
    return answer.knowsLeaseIsOver && !answer.orderInFlight ? 'lease_status' : undefined
  }
}

/** Records what is asked of it. */
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
  /** Evidence about a host that does not come from asking it. */
  readonly stated = new Map<string, EvidenceKind>()

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
      folds: ({ gate, clock, leases }) => {
        orders = new OrderManager({
          clock,
          events: silentEvents(clock),
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

/** The names of models of the tests. */
export const modelName = 'carassius' as Model

/**
 * Finds the scheduler of a cell, which may be this host, and sends it the questions and reports of this host.
 */
import { Result } from 'true-myth'
import { type Clock, failure, type Failure, type Hash, type Pool, type WorkerId } from '../common/index.js'
import { type PermitDecision, type PermitRequest, SharingHosts } from '../limits/index.js'
import {
  type PlacementCell, type PlacementDecision, type PromptOutcome, type PromptScheduler, type PromptTask, SchedulerClient,
  SchedulerConnection
} from '../placement/index.js'
import type { WorkerLimit } from '../upstreams/index.js'
import type { SchedulerDirectory } from './SchedulerDirectory.js'
import type { StoreDutyGroup } from './StoreDutyGroup.js'

/** Options of a `PeerSchedulerClient`. */
export interface PeerSchedulerClientOptions {
  directory: SchedulerDirectory
  /** The scheduler of this host, for the cells that the group assigns to it. */
  scheduler: PromptScheduler
  group: StoreDutyGroup
  clock: Clock
  hash: Hash
  /** What this host knows of the limits of a pool's workers. */
  limitsOf: (pool: Pool) => WorkerLimit[]
  /** Takes over what a scheduler has learned of the limits of workers. */
  learnLimits: (limits: WorkerLimit[]) => void
  /** Number of hosts that ask the scheduler of this host. */
  askingHosts: () => number
}

/** Number of partitions over which the cells of zones are spread; the store creates at least as many. */
const placementPartitions = 8

/** A question, to the scheduler of this host or at the connection to another. */
interface Question<Decision> {
  isHere: boolean
  /** Address of the other scheduler; undefined while it is unknown. */
  address: () => string | undefined
  here: () => Promise<Result<Decision, Failure>>
  at: (connection: SchedulerConnection) => Promise<Result<Decision, Failure>>
}

/** Asks the schedulers of this and other hosts. */
export class PeerSchedulerClient extends SchedulerClient {
  private readonly connections = new Map<string, SchedulerConnection>()
  private readonly sharing: SharingHosts

  constructor (private readonly options: PeerSchedulerClientOptions) {
    super()
    this.sharing = new SharingHosts(options.clock)
  }

  /** True if the group assigns the cell to this host. */
  schedules (cell: PlacementCell): boolean {
    return this.options.group.holdsPlacement(this.partitionOf(cell))
  }

  /** Number of hosts that share the limits of workers, as schedulers have told; undefined if none has. */
  get sharingHosts (): number | undefined {
    return this.sharing.count
  }

  /** True if this host grants the permits of the cell's limited workers. */
  grantsPermits (cell: PlacementCell): boolean {
    return this.schedules(cell) || this.options.group.holdsDutyPartition(this.partitionOf(cell))
  }

  async place (cell: PlacementCell, task: PromptTask, signal: AbortSignal): Promise<Result<PlacementDecision, Failure>> {
    const limits = this.options.limitsOf(cell.pool)
    return await this.ask(cell, {
      isHere: this.schedules(cell),
      address: () => this.options.directory.holderOf(this.partitionOf(cell)),
      here: async () => await this.decideHere(cell, task.id, this.options.scheduler.place(cell, task, limits), signal),
      at: async connection => await connection.place(cell, task, signal, limits)
    })
  }

  /** Asks the scheduler of a cell for a permit to send a request to a limited worker. Errors: as for `place`. */
  async permit (cell: PlacementCell, request: PermitRequest, signal: AbortSignal): Promise<Result<PermitDecision, Failure>> {
    const limits = this.options.limitsOf(cell.pool)
    return await this.ask(cell, {
      isHere: this.schedules(cell) || (this.permitAddress(cell) === undefined && this.grantsPermits(cell)),
      address: () => this.permitAddress(cell),
      here: async () => await this.decideHere(cell, request.id, this.options.scheduler.permit(cell, request, limits), signal),
      at: async connection => await connection.permit(cell, request, signal, limits)
    })
  }

  private async ask<Decision> (cell: PlacementCell, question: Question<Decision>): Promise<Result<Decision, Failure>> {
    const { directory, scheduler, askingHosts, learnLimits } = this.options
    if (question.isHere) {
      this.sharing.record(askingHosts())
      const decision = await question.here()
      learnLimits(scheduler.limitsOf(cell))
      return decision
    }
    const address = question.address()
    if (address === undefined) return Result.err(failure('not_ready', 'no scheduler of the cell is known'))
    const connection = this.connectionAt(address)
    const decision = await question.at(connection)
    if (connection.hosts !== undefined) this.sharing.record(connection.hosts)
    if (decision.isOk) directory.confirm()
    else if (decision.error.kind === 'not_ready') directory.reportFailure()
    return decision
  }

  end (cell: PlacementCell, id: string, outcome: PromptOutcome): void {
    if (this.mayHavePlaced(cell)) this.options.scheduler.end(cell, id, outcome)
    if (!this.schedules(cell)) this.connectionTo(cell)?.end(cell, id, outcome)
  }

  answered (
    cell: PlacementCell,
    id: string,
    worker: WorkerId | undefined,
    startMilliseconds: number | undefined
  ): void {
    if (this.mayHavePlaced(cell)) this.options.scheduler.answered(cell, id, worker, startMilliseconds)
    if (!this.schedules(cell)) this.connectionTo(cell)?.answered(cell, id, worker, startMilliseconds)
  }

  /** Closes the connections. */
  stop (): void {
    for (const connection of this.connections.values()) connection.close('this host stops')
    this.connections.clear()
  }

  /** True if the scheduler of this host may have placed prompts of the cell, also if the group has moved the cell since. */
  private mayHavePlaced (cell: PlacementCell): boolean {
    return this.schedules(cell) || this.options.scheduler.knows(cell)
  }

  private async decideHere<Decision> (
    cell: PlacementCell,
    id: string,
    decided: Promise<Decision>,
    signal: AbortSignal
  ): Promise<Result<Decision, Failure>> {
    const { scheduler } = this.options
    const cancelled = new Promise<Result<Decision, Failure>>(resolve => {
      signal.addEventListener('abort', () => {
        scheduler.end(cell, id, 'abandoned')
        resolve(Result.err(failure('cancelled', 'the call ended before the scheduler answered')))
      }, { once: true })
    })
    return await Promise.race([decided.then((decision): Result<Decision, Failure> => Result.ok(decision)), cancelled])
  }

  private permitAddress (cell: PlacementCell): string | undefined {
    return this.options.directory.permitHolderOf(this.partitionOf(cell))
  }

  private connectionTo (cell: PlacementCell): SchedulerConnection | undefined {
    const address = this.options.directory.holderOf(this.partitionOf(cell))
    return address === undefined ? undefined : this.connectionAt(address)
  }

  private connectionAt (address: string): SchedulerConnection {
    const known = this.connections.get(address)
    if (known !== undefined && !known.isClosed) return known
    const connection = new SchedulerConnection(address, this.options.clock, this.options.learnLimits)
    this.connections.set(address, connection)
    return connection
  }

  private partitionOf ({ zone }: PlacementCell): number {
    return zone === undefined ? 0 : this.options.hash.h32(zone) % placementPartitions
  }
}

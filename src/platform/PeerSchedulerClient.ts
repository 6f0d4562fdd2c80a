/**
 * Finds the scheduler of a cell, which may be this host, and sends it the questions and reports of this host.
 */
import { Result } from 'true-myth'
import { type Clock, failure, type Failure, type Hash, type WorkerId } from '../common/index.js'
import {
  type PlacementCell, type PlacementDecision, type PromptOutcome, type PromptScheduler, type PromptTask, SchedulerClient,
  SchedulerConnection
} from '../placement/index.js'
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
}

/** Number of partitions over which the cells of zones are spread; the store creates at least as many. */
const placementPartitions = 8

/** Asks the schedulers of this and other hosts. */
export class PeerSchedulerClient extends SchedulerClient {
  private readonly connections = new Map<string, SchedulerConnection>()

  constructor (private readonly options: PeerSchedulerClientOptions) {
    super()
  }

  /** True if the group assigns the cell to this host. */
  schedules (cell: PlacementCell): boolean {
    return this.options.group.holdsPlacement(this.partitionOf(cell))
  }

  async place (cell: PlacementCell, task: PromptTask, signal: AbortSignal): Promise<Result<PlacementDecision, Failure>> {
    const { directory } = this.options
    if (this.schedules(cell)) return await this.placeHere(cell, task, signal)
    const connection = this.connectionTo(cell)
    if (connection === undefined) return Result.err(failure('not_ready', 'no scheduler of the cell is known'))
    const decision = await connection.place(cell, task, signal)
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

  private async placeHere (
    cell: PlacementCell,
    task: PromptTask,
    signal: AbortSignal
  ): Promise<Result<PlacementDecision, Failure>> {
    const { scheduler } = this.options
    const cancelled = new Promise<Result<PlacementDecision, Failure>>(resolve => {
      signal.addEventListener('abort', () => {
        scheduler.end(cell, task.id, 'abandoned')
        resolve(Result.err(failure('cancelled', 'the call ended before its prompt was placed')))
      }, { once: true })
    })
    const decided = scheduler.place(cell, task).then((decision): Result<PlacementDecision, Failure> => Result.ok(decision))
    return await Promise.race([decided, cancelled])
  }

  private connectionTo (cell: PlacementCell): SchedulerConnection | undefined {
    const address = this.options.directory.holderOf(this.partitionOf(cell))
    if (address === undefined) return undefined
    const known = this.connections.get(address)
    if (known !== undefined && !known.isClosed) return known
    const connection = new SchedulerConnection(address, this.options.clock)
    this.connections.set(address, connection)
    return connection
  }

  private partitionOf ({ zone }: PlacementCell): number {
    return zone === undefined ? 0 : this.options.hash.h32(zone) % placementPartitions
  }
}

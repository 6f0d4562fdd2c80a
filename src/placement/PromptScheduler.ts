/**
 * The schedules of all pools and cells for which this host decides where prompts are computed. The state is built from
 * the questions of hosts and the ends that they report, so a new scheduler needs nothing from its predecessor: two
 * schedulers at the same time place prompts worse, but never wrongly.
 */
import type { Clock, Pool, WorkerId, Zone } from '../common/index.js'
import { type PermitDecision, PermitQueue, type PermitRequest } from '../limits/index.js'
import type { EventLog } from '../observability/index.js'
import type { WorkerLimit } from '../upstreams/index.js'
import type { AnswerWorker } from './AnswerLoad.js'
import type { HeldParts } from './HeldParts.js'
import { PromptSchedule, type PromptScheduleCosts } from './PromptSchedule.js'
import { type PlacementDecision, promptBytesOf, type PromptOutcome, type PromptTask } from './PromptTask.js'

/** The workers for which one schedule decides: those of a pool in one zone, or in all zones. */
export interface PlacementCell { pool: Pool, zone: Zone | undefined }

/** What a scheduler knows of a worker. */
export interface PlacementWorker { readonly id: WorkerId, readonly zone: Zone }

/** Options of a `PromptScheduler`. */
export interface PromptSchedulerOptions {
  clock: Clock
  events: EventLog
  held: HeldParts
  /** Workers of a pool that may compute prompts at the moment. */
  workers: (pool: Pool) => readonly PlacementWorker[]
  /** Workers of a pool from which parts of prompts may be fetched; contains `workers`. */
  holders: (pool: Pool) => readonly PlacementWorker[]
  /** Workers of a pool that generate answers at the moment. */
  answerWorkers: (pool: Pool) => ReadonlyArray<PlacementWorker & AnswerWorker>
  costs: PromptScheduleCosts
}

/** Maximum number of workers in a cell; a larger pool has a cell in each zone. */
const maxCellWorkers = 24

/** Maximum number of cells; a host that asks for more names services that do not exist. */
const maxCells = 1024

/** Maximum size of the waiting prompts of all cells in bytes; a prompt of 50 parts takes about 3 KB. */
const maxWaitingBytes = 16_777_216

/** Time after which a prompt that the scheduler did not take on should come back, in milliseconds. */
const retryAfterMilliseconds = 300

/**
 * The cell of a zone. `workers`: the workers of the pool that compute prompts. A pool that fits one cell has only one, in
 * which the load of all zones is balanced.
 */
export function cellOf (pool: Pool, zone: Zone, workers: ReadonlyArray<{ readonly zone: Zone }>): PlacementCell {
  return { pool, zone: workers.length > maxCellWorkers ? zone : undefined }
}

/**
 * The cells that may compute a host's prompts: that of its zone, if workers compute prompts there, and the others in an
 * order that is drawn for each prompt by their numbers of workers, so that what one zone cannot compute is spread.
 * `random`: returns numbers from 0 (inclusive) to 1 (exclusive).
 */
export function cellsOf (
  pool: Pool,
  zone: Zone,
  workers: ReadonlyArray<{ readonly zone: Zone }>,
  random: () => number
): PlacementCell[] {
  if (workers.length <= maxCellWorkers) return [cellOf(pool, zone, workers)]
  const counts = new Map<Zone, number>()
  for (const worker of workers) counts.set(worker.zone, (counts.get(worker.zone) ?? 0) + 1)
  const rankOf = (count: number): number => random() ** (1 / count)
  const others = [...counts].filter(([other]) => other !== zone)
    .map(([other, count]) => ({ cell: { pool, zone: other }, rank: rankOf(count) }))
    .sort((left, right) => right.rank - left.rank)
    .map(({ cell }) => cell)
  return counts.has(zone) ? [{ pool, zone }, ...others] : others
}

/** Text that identifies a cell. */
export function cellName ({ pool, zone }: PlacementCell): string {
  return zone === undefined ? pool : `${pool}/${zone}`
}

/** The workers that belong to a cell. */
export function workersOfCell<Worker extends PlacementWorker> (
  cell: PlacementCell,
  workers: readonly Worker[]
): readonly Worker[] {
  return cell.zone === undefined ? workers : workers.filter(({ zone }) => zone === cell.zone)
}

/** Decides about the prompts of the cells that this host is asked about. */
export class PromptScheduler {
  private readonly schedules = new Map<string, { cell: PlacementCell, schedule: PromptSchedule }>()
  /** Permits of the limited workers, by cell; also of cells whose workers compute no prompts. */
  private readonly permits = new Map<string, PermitQueue>()

  constructor (private readonly options: PromptSchedulerOptions) {}

  /** Decides about a prompt; see `PromptSchedule.place`. `limits`: what the asking host knows of the cell's workers. */
  async place (cell: PlacementCell, task: PromptTask, limits: readonly WorkerLimit[] = []): Promise<PlacementDecision> {
    if (this.isForeign(cell)) return { kind: 'no_worker' }
    if (this.waitingBytes + promptBytesOf(task) > maxWaitingBytes) return { kind: 'refused', retryAfterMilliseconds }
    this.permitsOf(cell).learn(limits)
    return await this.scheduleOf(cell).place(task)
  }

  /** Memory of the prompts that wait in all cells, in bytes. */
  private get waitingBytes (): number {
    let sum = 0
    for (const { schedule } of this.schedules.values()) sum += schedule.waitingBytes
    return sum
  }

  /** Decides about a request to a limited worker that was not placed as a prompt; see `PermitQueue.request`. */
  async permit (cell: PlacementCell, request: PermitRequest, limits: readonly WorkerLimit[]): Promise<PermitDecision> {
    if (this.isForeign(cell)) return { kind: 'refused', retryAfterMilliseconds }
    const permits = this.permitsOf(cell)
    permits.learn(limits)
    return await permits.request(request)
  }

  /** What this host has learned of the limits of a cell's workers. */
  limitsOf (cell: PlacementCell): WorkerLimit[] {
    return this.permits.get(cellName(cell))?.limits ?? []
  }

  /** Records that a prompt ended, or that a waiting prompt or request for a permit is no longer needed. */
  end (cell: PlacementCell, id: string, outcome: PromptOutcome): void {
    this.permits.get(cellName(cell))?.withdraw(id)
    this.schedules.get(cellName(cell))?.schedule.end(id, outcome)
  }

  /** Records that an answer ended. */
  answered (
    cell: PlacementCell,
    id: string,
    worker: WorkerId | undefined,
    startMilliseconds: number | undefined
  ): void {
    this.schedules.get(cellName(cell))?.schedule.answered(id, worker, startMilliseconds)
  }

  /** Number of prompts that wait in all cells. */
  get waitingCount (): number {
    return [...this.schedules.values()].reduce((sum, { schedule }) => sum + schedule.waitingCount, 0)
  }

  /** The cells that this host was asked about. */
  get cells (): PlacementCell[] {
    return [...this.schedules.values()].map(({ cell }) => cell)
  }

  /** True if this host was asked about the cell. */
  knows (cell: PlacementCell): boolean {
    return this.schedules.has(cellName(cell))
  }

  /** True if the cell is not known, and no further one is taken on. */
  private isForeign (cell: PlacementCell): boolean {
    return this.permits.size >= maxCells && !this.permits.has(cellName(cell))
  }

  private permitsOf (cell: PlacementCell): PermitQueue {
    const name = cellName(cell)
    const permits = this.permits.get(name) ?? new PermitQueue(this.options)
    this.permits.set(name, permits)
    return permits
  }

  private scheduleOf (cell: PlacementCell): PromptSchedule {
    const name = cellName(cell)
    const known = this.schedules.get(name)
    if (known !== undefined) return known.schedule
    const { clock, events, held, workers, holders, answerWorkers, costs } = this.options
    const schedule = new PromptSchedule({
      cell: name,
      clock,
      events,
      held,
      permits: this.permitsOf(cell),
      costs,
      workers: () => workersOfCell(cell, workers(cell.pool)),
      holders: () => workersOfCell(cell, holders(cell.pool)),
      answerWorkers: () => workersOfCell(cell, answerWorkers(cell.pool))
    })
    this.schedules.set(name, { cell, schedule })
    return schedule
  }
}

/**
 * Computations of one prompt on several workers, of which the first to end counts. Another one is started when the worker
 * of the latest is gone, or has failed; the earlier ones go on, since they may still end first.
 */
import { ChangeNotifier } from '../common/index.js'

/** Number of further computations of a prompt. */
const maxMoves = 2

/** Number of computations that may fail; a prompt that fails on two workers may be the cause. */
const maxFailures = 2

/** Why another computation is started: the worker of the latest is `late`, has `failed`, or received `nothing`. */
export type MoveReason = 'late' | 'failed' | 'nothing'

/** Start of a computation. */
export interface RunStart {
  /** Undefined for the first computation. */
  reason: MoveReason | undefined
  /** Aborts when another computation has ended first. */
  cancelled: AbortSignal
  /** Must be called if the worker is gone. */
  onLate: () => void
}

/** How a race goes on after a computation has ended. `final`: the race is over. */
export type RunVerdict = 'final' | MoveReason | 'no_move'

/** Options of a `ComputationRace`. */
export interface ComputationRaceOptions<Ended> {
  /** Makes one computation. If it rejects, the race does too. */
  run: (start: RunStart) => Promise<Ended>
  verdictOn: (ended: Ended) => RunVerdict
  /** True while another computation can be of use and is allowed. */
  mayMove: (reason: MoveReason) => boolean
  /** Called for each computation that ends after the race is over. */
  onLoser: (ended: Ended) => void
}

type RaceEvent<Ended> =
  | { kind: 'late', run: number }
  | { kind: 'ended', run: number, ended: Ended }
  | { kind: 'threw', error: unknown }

const overtaken = new Error('another worker computed the prompt first')

/** Runs the computations of one prompt. */
export class ComputationRace<Ended> {
  private readonly events: Array<RaceEvent<Ended>> = []
  private readonly changes = new ChangeNotifier()
  private readonly openRuns = new Map<number, AbortController>()
  private startedRuns = 0
  private failures = 0
  private isOver = false

  constructor (private readonly options: ComputationRaceOptions<Ended>) {}

  /** Returns all computations that ended until the race was over, in the order of their ends; the last one decided it. */
  async run (): Promise<Ended[]> {
    const ended: Ended[] = []
    this.start(undefined)
    while (this.openRuns.size > 0) {
      await this.changes.waitUntil(() => this.events.length > 0)
      const event = this.events.shift()!
      if (event.kind === 'late') {
        if (event.run === this.startedRuns && this.openRuns.has(event.run)) this.tryMove('late')
        continue
      }
      if (event.kind === 'threw') {
        this.end()
        throw event.error
      }
      this.openRuns.delete(event.run)
      ended.push(event.ended)
      const verdict = this.options.verdictOn(event.ended)
      if (verdict === 'final') break
      // All computations before the latest are late.
      const isLatest = event.run === this.startedRuns
      if (verdict !== 'no_move' && (isLatest || this.openRuns.size === 0)) this.tryMove(verdict)
    }
    this.end()
    return ended
  }

  private end (): void {
    this.isOver = true
    for (const controller of this.openRuns.values()) controller.abort(overtaken)
    for (const event of this.events) {
      if (event.kind === 'ended') this.options.onLoser(event.ended)
    }
  }

  private tryMove (reason: MoveReason): void {
    if (reason === 'failed') this.failures += 1
    if (this.startedRuns > maxMoves || this.failures >= maxFailures) return
    if (this.options.mayMove(reason)) this.start(reason)
  }

  private start (reason: MoveReason | undefined): void {
    this.startedRuns += 1
    const run = this.startedRuns
    const controller = new AbortController()
    this.openRuns.set(run, controller)
    const onLate = (): void => { this.add({ kind: 'late', run }) }
    this.options.run({ reason, cancelled: controller.signal, onLate }).then(ended => {
      if (this.isOver) this.options.onLoser(ended)
      else this.add({ kind: 'ended', run, ended })
    }, error => { this.add({ kind: 'threw', error }) })
  }

  private add (event: RaceEvent<Ended>): void {
    this.events.push(event)
    this.changes.notify()
  }
}

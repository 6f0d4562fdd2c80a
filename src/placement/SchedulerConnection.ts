/**
 * The connection of a host to one scheduler. While questions are open, the scheduler sends a line at least every 100 ms;
 * a connection that falls silent is closed, and its questions fail at once.
 */
import { connect, type Socket } from 'node:net'
import { Result } from 'true-myth'
import { type Clock, failure, type Failure, type WorkerId } from '../common/index.js'
import type { PlacementCell } from './PromptScheduler.js'
import type { PlacementDecision, PromptOutcome, PromptTask } from './PromptTask.js'
import { encodeLine, LineDecoder, maxLineBytes, type SchedulerAnswer, schedulerAnswerSchema } from './schedulerMessages.js'
import { writeCorked } from './writeCorked.js'

/** Time without a line after which a connection with open questions is closed, in milliseconds. */
const silenceMilliseconds = 300

type Settle = (decision: Result<PlacementDecision, Failure>) => void

/** Sends the questions of this host to one scheduler. */
export class SchedulerConnection {
  private readonly socket: Socket
  private readonly openQuestions = new Map<string, Settle>()
  private lastLineAt: number
  private readonly closed = new AbortController()
  private isWatching = false

  /** `address`: `ip:port` */
  constructor (readonly address: string, private readonly clock: Clock) {
    const separator = address.lastIndexOf(':')
    const decoder = new LineDecoder(schedulerAnswerSchema)
    this.lastLineAt = clock.monotonic()
    this.socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)), noDelay: true })
    this.socket.on('data', bytes => {
      this.lastLineAt = clock.monotonic()
      const answers = decoder.add(bytes)
      if (answers.isErr) this.close(answers.error.message)
      else for (const answer of answers.value) this.handle(answer)
    })
    this.socket.on('error', error => { this.close(error.message) })
    this.socket.on('close', () => { this.close('the connection was closed') })
  }

  /** True if no further question can be sent. */
  get isClosed (): boolean {
    return this.closed.signal.aborted
  }

  /**
   * Asks where to compute a prompt. Errors: `not_ready` if the connection fails, `cancelled` if the signal aborts,
   * `body_too_large` if the prompt has too many parts.
   */
  async place (cell: PlacementCell, task: PromptTask, signal: AbortSignal): Promise<Result<PlacementDecision, Failure>> {
    if (this.isClosed) return Result.err(failure('not_ready', 'the connection to the scheduler is closed'))
    if (signal.aborted) return Result.err(failure('cancelled', 'the call ended before its prompt was placed'))
    const now = this.clock.monotonic()
    const question = encodeLine({
      kind: 'place',
      ...cell,
      id: task.id,
      parts: task.parts.map((part, position) => [part, task.partTokens[position] ?? 0]),
      due: Math.round(task.dueAt - now),
      lost: Math.round(task.lostAt - now)
    })
    if (Buffer.byteLength(question) > maxLineBytes) return Result.err(failure('body_too_large', 'the prompt has too many parts for a question'))
    if (this.openQuestions.size === 0) this.lastLineAt = now
    const decided = new Promise<Result<PlacementDecision, Failure>>(resolve => { this.openQuestions.set(task.id, resolve) })
    const cancel = (): void => {
      this.end(cell, task.id, 'abandoned')
      this.settle(task.id, Result.err(failure('cancelled', 'the call ended before its prompt was placed')))
    }
    signal.addEventListener('abort', cancel, { once: true })
    writeCorked(this.socket, question)
    this.watch()
    const decision = await decided
    signal.removeEventListener('abort', cancel)
    return decision
  }

  /** Reports the end of a prompt. */
  end (cell: PlacementCell, id: string, outcome: PromptOutcome): void {
    if (!this.isClosed) writeCorked(this.socket, encodeLine({ kind: 'end', ...cell, id, outcome }))
  }

  /** Reports the end of an answer. */
  answered (cell: PlacementCell, id: string, worker: WorkerId | undefined, startMilliseconds: number | undefined): void {
    if (this.isClosed) return
    const start = startMilliseconds === undefined ? {} : { start: Math.round(startMilliseconds) }
    const report = { kind: 'answered' as const, ...cell, id, ...(worker === undefined ? {} : { worker }), ...start }
    writeCorked(this.socket, encodeLine(report))
  }

  /** Closes the connection; open questions fail with `not_ready`. */
  close (reason: string): void {
    if (this.isClosed) return
    this.closed.abort()
    this.socket.destroy()
    for (const id of [...this.openQuestions.keys()]) this.settle(id, Result.err(failure('not_ready', reason)))
  }

  private handle (answer: SchedulerAnswer): void {
    if (answer.kind === 'alive') return
    const { id } = answer
    if (answer.kind === 'not_scheduler') {
      this.settle(id, Result.err(failure('not_ready', `${this.address} does not schedule the cell`)))
    } else if (answer.kind === 'placed') {
      this.settle(id, Result.ok({
        kind: 'placed', worker: answer.worker, partsSource: answer.source, answerWorker: answer.answer
      }))
    } else if (answer.kind === 'refused') {
      this.settle(id, Result.ok({ kind: 'refused', retryAfterMilliseconds: answer.retryAfter }))
    } else if (answer.kind === 'with_answer') {
      this.settle(id, Result.ok({ kind: 'with_answer', answerWorker: answer.answer }))
    } else {
      this.settle(id, Result.ok({ kind: 'no_worker' }))
    }
  }

  private settle (id: string, decision: Result<PlacementDecision, Failure>): void {
    const settle = this.openQuestions.get(id)
    this.openQuestions.delete(id)
    settle?.(decision)
  }

  /** Closes the connection if it falls silent while questions are open. */
  private watch (): void {
    if (this.isWatching) return
    this.isWatching = true
    this.closeWhenSilent().catch(() => {}).finally(() => { this.isWatching = false })
  }

  private async closeWhenSilent (): Promise<void> {
    while (this.openQuestions.size > 0 && !this.isClosed) {
      const remaining = this.lastLineAt + silenceMilliseconds - this.clock.monotonic()
      if (remaining <= 0) return this.close(`no line for ${silenceMilliseconds} ms`)
      await this.clock.sleep(remaining, this.closed.signal)
    }
  }
}

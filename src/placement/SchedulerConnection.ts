/**
 * The connection of a host to one scheduler. While questions are open, the scheduler sends a line at least every 100 ms;
 * a connection that falls silent is closed, and its questions fail at once.
 */
import { connect, type Socket } from 'node:net'
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { type Clock, failure, type Failure, type WorkerId } from '../common/index.js'
import type { HostReport, HostReportAnswer } from '../duties/index.js'
import type { PermitDecision, PermitRequest } from '../limits/index.js'
import type { WorkerLimit } from '../upstreams/index.js'
import type { PlacementCell } from './PromptScheduler.js'
import type { PlacementDecision, PromptOutcome, PromptTask } from './PromptTask.js'
import {
  decodeLimits, encodeLimits, encodeLine, LineDecoder, maxLineBytes, type SchedulerAnswer, schedulerAnswerSchema,
  type SchedulerRequest
} from './schedulerMessages.js'
import { writeCorked } from './writeCorked.js'

/** Time without a line after which a connection with open questions is closed, in milliseconds. */
const silenceMilliseconds = 300

type Settle = (answer: Result<SchedulerAnswer, Failure>) => void

/** Sends the questions of this host to one scheduler. */
export class SchedulerConnection {
  private readonly socket: Socket
  private readonly openQuestions = new Map<string, Settle>()
  private lastLineAt: number
  private readonly closed = new AbortController()
  private isWatching = false
  /** Number of hosts that ask this scheduler, as it last told; undefined if it has not. */
  hosts: number | undefined

  /**
   * `address`: `ip:port`; `onLimits`: called with what the scheduler has learned of the limits of workers; `silenceLimit`:
   * time without a line after which the connection is closed while questions are open, in milliseconds.
   */
  constructor (
    readonly address: string,
    private readonly clock: Clock,
    private readonly onLimits: (limits: WorkerLimit[]) => void = () => {},
    private readonly silenceLimit = silenceMilliseconds
  ) {
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
   * Asks where to compute a prompt. `limits`: what this host knows of the workers. Errors: `not_ready` if the connection
   * fails, `cancelled` if the signal aborts, `body_too_large` if the prompt has too many parts.
   */
  async place (
    cell: PlacementCell,
    task: PromptTask,
    signal: AbortSignal,
    limits: readonly WorkerLimit[] = []
  ): Promise<Result<PlacementDecision, Failure>> {
    const now = this.clock.monotonic()
    const answer = await this.ask(cell, {
      kind: 'place',
      ...cell,
      id: task.id,
      ...(task.account === undefined ? {} : { account: task.account }),
      parts: task.parts.map((part, position): [string, number] => [part, task.partTokens[position] ?? 0]),
      due: Math.round(task.dueAt - now),
      lost: Math.round(task.lostAt - now),
      ...(task.onlyInTime === true ? { only_in_time: true } : {}),
      ...encodeLimits(limits, now)
    }, signal)
    return answer.andThen(value => this.placementOf(value))
  }

  /** Asks for a permit to send a request to a limited worker. Errors: as for `place`. */
  async permit (
    cell: PlacementCell,
    { id, workers, urgency, dueAt, lostAt }: PermitRequest,
    signal: AbortSignal,
    limits: readonly WorkerLimit[]
  ): Promise<Result<PermitDecision, Failure>> {
    const now = this.clock.monotonic()
    const [due, lost] = [Math.round(dueAt - now), Math.round(lostAt - now)]
    const answer = await this.ask(cell, {
      kind: 'permit', ...cell, id, workers: [...workers], urgency, due, lost, ...encodeLimits(limits, now)
    }, signal)
    return answer.andThen(value => this.permitOf(value))
  }

  /**
   * Sends a report to the holder of the duties. Errors: `not_ready` if the connection fails, or the host does not know
   * reports; `conflict` if the host is not the holder; `cancelled`; `body_too_large`.
   */
  async report (id: string, report: HostReport, signal: AbortSignal): Promise<Result<HostReportAnswer, Failure>> {
    const answer = await this.ask(undefined, { kind: 'report', id, ...report }, signal)
    return answer.andThen((value): Result<HostReportAnswer, Failure> => value.kind === 'reported'
      ? Result.ok({ settledThrough: value.settled })
      : Result.err(failure('conflict', `${this.address} does not hold the duties`)))
  }

  /** `cell`: whose scheduler learns that the question was abandoned; undefined if it need not. */
  private async ask (
    cell: PlacementCell | undefined,
    question: Extract<SchedulerRequest, { kind: 'place' | 'permit' | 'report' }>,
    signal: AbortSignal
  ): Promise<Result<SchedulerAnswer, Failure>> {
    if (this.isClosed) return Result.err(failure('not_ready', 'the connection to the scheduler is closed'))
    if (signal.aborted) return Result.err(endedBeforeAnswer)
    const line = encodeLine(question)
    if (Buffer.byteLength(line) > maxLineBytes) return Result.err(failure('body_too_large', `a ${question.kind} is longer than a line may be`))
    if (this.openQuestions.size === 0) this.lastLineAt = this.clock.monotonic()
    const { id } = question
    const answered = new Promise<Result<SchedulerAnswer, Failure>>(resolve => { this.openQuestions.set(id, resolve) })
    const cancel = (): void => {
      if (cell !== undefined) this.end(cell, id, 'abandoned')
      this.settle(id, Result.err(endedBeforeAnswer))
    }
    signal.addEventListener('abort', cancel, { once: true })
    writeCorked(this.socket, line)
    this.watch()
    const answer = await answered
    signal.removeEventListener('abort', cancel)
    return answer
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
    if ('hosts' in answer) this.hosts = answer.hosts ?? this.hosts
    if ('limits' in answer) this.onLimits(decodeLimits(answer, this.clock.monotonic()))
    this.settle(answer.id, Result.ok(answer))
  }

  private placementOf (answer: SchedulerAnswer): Result<PlacementDecision, Failure> {
    return match<SchedulerAnswer, Result<PlacementDecision, Failure>>(answer)
      .with({ kind: 'placed' }, ({ worker, source, answer: answerWorker }) =>
        Result.ok({ kind: 'placed', worker, partsSource: source, answerWorker }))
      .with({ kind: 'refused' }, ({ retryAfter }) => Result.ok({ kind: 'refused', retryAfterMilliseconds: retryAfter }))
      .with({ kind: 'with_answer' }, ({ answer: answerWorker }) => Result.ok({ kind: 'with_answer', answerWorker }))
      .with({ kind: 'no_worker' }, () => Result.ok({ kind: 'no_worker' }))
      .otherwise(() => Result.err(this.unusableAnswer()))
  }

  private permitOf (answer: SchedulerAnswer): Result<PermitDecision, Failure> {
    return match<SchedulerAnswer, Result<PermitDecision, Failure>>(answer)
      .with({ kind: 'granted' }, ({ worker }) => Result.ok({ kind: 'granted', worker }))
      .with({ kind: 'refused' }, ({ retryAfter }) => Result.ok({ kind: 'refused', retryAfterMilliseconds: retryAfter }))
      .otherwise(() => Result.err(this.unusableAnswer()))
  }

  private unusableAnswer (): Failure {
    return failure('not_ready', `${this.address} does not schedule the cell`)
  }

  private settle (id: string, answer: Result<SchedulerAnswer, Failure>): void {
    const settle = this.openQuestions.get(id)
    this.openQuestions.delete(id)
    settle?.(answer)
  }

  /** Closes the connection if it falls silent while questions are open. */
  private watch (): void {
    if (this.isWatching) return
    this.isWatching = true
    this.closeWhenSilent().catch(() => {}).finally(() => { this.isWatching = false })
  }

  private async closeWhenSilent (): Promise<void> {
    while (this.openQuestions.size > 0 && !this.isClosed) {
      const remaining = this.lastLineAt + this.silenceLimit - this.clock.monotonic()
      if (remaining <= 0) return this.close(`no line for ${this.silenceLimit} ms`)
      await this.clock.sleep(remaining, this.closed.signal)
    }
  }
}

const endedBeforeAnswer = failure('cancelled', 'the call ended before the scheduler answered')

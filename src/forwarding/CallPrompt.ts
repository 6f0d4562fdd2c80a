/**
 * The prompt of one call: its computation, the worker that is to generate the answer, and what the scheduler is told
 * about the answer.
 */
import { Result } from 'true-myth'
import type { Failure, WorkerId } from '../common/index.js'
import type { PlacedPrompt } from '../placement/index.js'
import type { Upstream } from '../upstreams/index.js'
import type { KvSource } from './CallProtocol.js'
import type { ServiceContext, ServiceRequest } from './ServiceRequest.js'

/** Computes the prompt before the attempts of a call, and frees it if no worker fetches it. */
export class CallPrompt {
  /** A computed prompt that no worker has fetched yet. */
  private unfetched: KvSource | undefined
  private hasComputed = false
  private placement: PlacedPrompt | undefined
  private attempt: { worker: WorkerId, startedAt: number } | undefined
  private startMilliseconds: number | undefined
  /** True while a permit of the scheduler's answer worker has been taken and not been used. */
  private hasPermit = false

  constructor (private readonly request: ServiceRequest, private readonly context: ServiceContext) {}

  /** Source from which a worker fetches the computed prompt; undefined if the worker has to compute the prompt itself. */
  get source (): KvSource | undefined {
    if (this.unfetched === undefined) return undefined
    // The next process of the worker may have given the handle to the prompt of another request.
    const present = this.context.upstreams.worker(this.unfetched.upstream.id)
    return present === undefined || present === this.unfetched.upstream ? this.unfetched : undefined
  }

  /**
   * Computes the prompt unless a computed one is still unfetched: a worker that declines a call has usually not fetched
   * the computed prompt, so the next worker is told to fetch it. Errors: those of `PromptComputation.compute`.
   */
  async compute (stop: AbortSignal): Promise<Result<void, Failure>> {
    const { promptComputation } = this.context
    if (this.source !== undefined || promptComputation === undefined) return Result.ok(undefined)
    this.reportAnswer()
    const isFirst = !this.hasComputed
    this.hasComputed = true
    const computed = await promptComputation.compute(this.request, isFirst, stop)
    if (computed.isErr) return Result.err(computed.error)
    this.unfetched = computed.value.source
    this.placement = computed.value.placement
    this.hasPermit = this.placement?.hasPermits === true
    return Result.ok(undefined)
  }

  /** The worker that the scheduler chose for the answer; undefined if it chose none or the worker is no candidate. */
  preferredOf (candidates: readonly Upstream[]): Upstream | undefined {
    const answerWorker = this.placement?.answerWorker
    return answerWorker === undefined ? undefined : candidates.find(({ id }) => id === answerWorker)
  }

  /** True if the scheduler has taken a permit of the answer worker, which is used up by this call. */
  takePermit (): boolean {
    const { hasPermit } = this
    this.hasPermit = false
    return hasPermit
  }

  /** Records that an attempt is sent. */
  attemptStarted (worker: WorkerId): void {
    this.attempt = { worker, startedAt: this.context.clock.monotonic() }
    this.startMilliseconds = undefined
  }

  /** Records the first part of the answer. */
  answerStarted (): void {
    if (this.attempt === undefined) return
    this.startMilliseconds ??= this.context.clock.monotonic() - this.attempt.startedAt
  }

  /** Records that a worker has received the source of the prompt, and may have fetched the prompt. */
  markFetched (): void {
    this.unfetched = undefined
  }

  /** Ends the use of the prompt: frees it if no worker fetched it, and reports the end of the answer. */
  close (): void {
    const { source } = this
    this.unfetched = undefined
    if (source !== undefined) this.context.promptComputation?.release(this.request, source).catch(() => {})
    this.reportAnswer()
  }

  private reportAnswer (): void {
    const { placement, attempt } = this
    this.placement = undefined
    // An attempt that ended before the answer started took at least until now.
    const elapsed = attempt === undefined ? undefined : this.context.clock.monotonic() - attempt.startedAt
    placement?.answered(attempt?.worker, this.startMilliseconds ?? elapsed)
  }
}

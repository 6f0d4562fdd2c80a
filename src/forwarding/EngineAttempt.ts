/**
 * One attempt to run a request on one engine. Reads the engine's stream, passes its tokens on in order and monitors
 * the connection: when no bytes arrive for a while, it asks the engine over a new connection whether tokens were lost.
 */
import type { Dispatcher } from 'undici'
import { type Clock, errorResponses, type Failure, failure, failureFromBody, parseJson } from '../common/index.js'
import { createEventParser, isNotSent } from '../clients/index.js'
import type { Upstream } from '../upstreams/index.js'
import { queryProgress } from './engineControl.js'
import { type EngineCall, engineBodyOf, type EngineChunk, type EngineUsage, parseChunk } from './engineProtocol.js'
import { type SequencedChunk, TokenSequencer } from './TokenSequencer.js'

/** Limits of the checks on an engine's stream. */
export interface AttemptLimits {
  /** Time without bytes after which the engine is asked for its progress. */
  progressCheckMilliseconds: number
  /** Time to wait for a missing token after a later one has arrived; then the attempt ends. */
  gapTimeoutMilliseconds: number
  /** Maximum number of chunks that are held while an earlier one is missing. */
  maxOutOfOrderChunks: number
}

/** Default limits. A missing token arrives within one round trip or not at all, so the gap timeout is short. */
export const defaultAttemptLimits: AttemptLimits = {
  progressCheckMilliseconds: 2000,
  gapTimeoutMilliseconds: 1000,
  maxOutOfOrderChunks: 64
}

/**
 * How an attempt ended. `finished`: the answer is complete; `refused`: no connection could be opened, so
 * nothing was sent; `busy`: the engine did not start the request; `rejected`: the engine found the request invalid;
 * `broken`: the request may have run in part; `stopped`: this host stopped the attempt.
 */
export type AttemptOutcome =
  | { kind: 'finished', finishReason: string, usage: EngineUsage | undefined }
  | { kind: 'refused', reason: string }
  | { kind: 'busy', failure: Failure }
  | { kind: 'rejected', failure: Failure }
  | { kind: 'broken', reason: string }
  | { kind: 'stopped' }

/** Receives the tokens in order. The attempt reads no further until the promise resolves. */
export type TokenHandler = (text: string, position: number) => Promise<void>

/** Maximum number of bytes that are read of an error response of an engine. */
const maxErrorBytes = 65_536

/** Time to wait for bytes in transit when the engine reports more tokens than have arrived. */
const inTransitGraceMilliseconds = 200

/** Consecutive progress queries without a valid response after which the connection is abandoned. */
const maxUnansweredProgressQueries = 2

/** Sends a request to one engine, reads the stream and monitors the connection. */
export class EngineAttempt {
  private readonly sequencer: TokenSequencer
  private readonly abandonController = new AbortController()
  private abandonReason = ''
  private lastReceivedAt = 0
  private gapStartedAt: number | undefined
  private sawDone = false
  private isAwaitingBytes = true
  private unansweredProgressQueries = 0
  private finishReason: string | undefined
  private usage: EngineUsage | undefined
  /** Number of dropped chunks, by reason. */
  readonly droppedChunks = { foreign: 0, duplicate: 0 }

  constructor (
    private readonly upstream: Upstream,
    private readonly call: EngineCall,
    private readonly clock: Clock,
    private readonly limits: AttemptLimits,
    private readonly onToken: TokenHandler
  ) {
    this.sequencer = new TokenSequencer(call.attemptId, call.resumeFrom, limits.maxOutOfOrderChunks)
  }

  /** Runs the attempt to its end. An error of the engine or the network is returned as the outcome, not thrown. */
  async run (signal: AbortSignal): Promise<AttemptOutcome> {
    this.lastReceivedAt = this.clock.monotonic()
    const monitorStop = new AbortController()
    const monitor = this.monitorStream(monitorStop.signal)
    try {
      return await this.exchange(AbortSignal.any([signal, this.abandonController.signal]))
    } catch (caught) {
      if (this.finishReason !== undefined) return this.finishedOutcome(this.finishReason)
      if (signal.aborted) return { kind: 'stopped' }
      const reason = this.abandonReason === '' ? (caught as Error).message : this.abandonReason
      return isNotSent(caught) ? { kind: 'refused', reason } : { kind: 'broken', reason }
    } finally {
      monitorStop.abort()
      this.abandonController.abort()
      await monitor
    }
  }

  private async exchange (signal: AbortSignal): Promise<AttemptOutcome> {
    const response = await this.upstream.request({
      method: 'POST',
      path: this.call.path,
      headers: { 'content-type': 'application/json', accept: 'text/event-stream', 'x-request-id': this.call.requestId },
      body: engineBodyOf(this.call),
      signal
    })
    this.markReceived()
    if (response.statusCode !== 200) return await this.readError(response)
    return await this.readStream(response.body)
  }

  private async readStream (body: AsyncIterable<Buffer>): Promise<AttemptOutcome> {
    const events: string[] = []
    const parser = createEventParser(data => { events.push(data) })
    const decoder = new TextDecoder()
    for await (const bytes of body) {
      this.markReceived()
      parser.feed(decoder.decode(bytes, { stream: true }))
      this.isAwaitingBytes = false
      for (const data of events.splice(0)) {
        if (data === '[DONE]') {
          if (this.finishReason !== undefined) return this.outcomeAtStreamEnd()
          // Chunks that the engine sent before `[DONE]` may still arrive after it.
          this.sawDone = true
          this.startGapTimer()
          continue
        }
        const outcome = await this.handleEvent(data)
        if (outcome !== undefined) return outcome
      }
      this.isAwaitingBytes = true
      this.markReceived()
    }
    return this.outcomeAtStreamEnd()
  }

  /** Handles one event. Returns the outcome if the event ends the attempt. */
  private async handleEvent (data: string): Promise<AttemptOutcome | undefined> {
    const parsed = parseChunk(data)
    if (parsed.isErr) return this.outcomeOfFailure(parsed.error)
    const chunk = parsed.value
    if (chunk.attempt_id === this.call.attemptId) this.usage = chunk.usage ?? this.usage
    const sequenced = sequencedChunkOf(chunk)
    if (sequenced === undefined || this.finishReason !== undefined) return undefined
    const ready: SequencedChunk[] = []
    const result = this.sequencer.accept(sequenced, ready)
    if (result === 'overflow') return { kind: 'broken', reason: `token ${this.sequencer.position} is missing and too many later chunks are held` }
    if (result === 'foreign' || result === 'duplicate') this.droppedChunks[result] += 1
    if (this.sequencer.hasGap) this.startGapTimer()
    else if (!this.sawDone) this.gapStartedAt = undefined
    for (const item of ready) {
      if (item.text !== undefined) await this.onToken(item.text, item.position)
      this.finishReason = item.finishReason ?? this.finishReason
    }
    return undefined
  }

  /** Starts the timeout for missing chunks unless it is running. */
  private startGapTimer (): void {
    this.gapStartedAt ??= this.clock.monotonic()
  }

  /**
   * An engine that drops a request before starting it counts as busy, since no work is lost by sending the request
   * elsewhere.
   */
  private outcomeOfFailure (cause: Failure): AttemptOutcome {
    if (this.finishReason !== undefined) return this.finishedOutcome(this.finishReason)
    if (errorResponses[cause.kind].notRun) return { kind: 'busy', failure: cause }
    return { kind: 'broken', reason: cause.message }
  }

  private outcomeAtStreamEnd (): AttemptOutcome {
    if (this.finishReason !== undefined) return this.finishedOutcome(this.finishReason)
    return { kind: 'broken', reason: `the stream ended at token ${this.sequencer.position} without a finish reason` }
  }

  private finishedOutcome (finishReason: string): AttemptOutcome {
    return { kind: 'finished', finishReason, usage: this.usage }
  }

  private async readError (response: Dispatcher.ResponseData): Promise<AttemptOutcome> {
    const text = await readLimited(response.body, maxErrorBytes)
    const reason = `the engine answered with status ${response.statusCode}`
    const engineFailure = failureFromBody(parseJson(text))
    if (response.statusCode === 429 || response.statusCode === 503) {
      return { kind: 'busy', failure: failure('overloaded', reason) }
    }
    if (response.statusCode >= 400 && response.statusCode < 500) {
      const kind = response.statusCode === 404 ? 'unknown_model' : 'bad_request'
      return { kind: 'rejected', failure: failure(kind, engineFailure?.message ?? reason) }
    }
    return { kind: 'broken', reason }
  }

  private markReceived (): void {
    this.lastReceivedAt = this.clock.monotonic()
    this.unansweredProgressQueries = 0
  }

  /**
   * Checks the connection until the attempt ends. Abandons the connection if tokens were lost, or if the engine does
   * not know the request or does not respond to progress queries.
   */
  private async monitorStream (signal: AbortSignal): Promise<void> {
    const { progressCheckMilliseconds, gapTimeoutMilliseconds } = this.limits
    let checkedAt = this.lastReceivedAt
    while (!signal.aborted) {
      const now = this.clock.monotonic()
      const gapDue = (this.gapStartedAt ?? now) + gapTimeoutMilliseconds
      const silenceDue = Math.max(this.lastReceivedAt, checkedAt) + progressCheckMilliseconds
      if (this.isAwaitingBytes && now >= gapDue) return this.abandonConnection(`token ${this.sequencer.position} did not arrive in time`)
      if (this.isAwaitingBytes && now >= silenceDue) {
        const reason = await this.reasonToAbandon(signal)
        if (reason !== undefined && !signal.aborted) return this.abandonConnection(reason)
        checkedAt = this.clock.monotonic()
        continue
      }
      const wait = Math.min(gapDue, silenceDue) - now
      await this.clock.sleep(wait > 0 ? wait : Math.min(gapTimeoutMilliseconds, progressCheckMilliseconds), signal)
    }
  }

  private abandonConnection (reason: string): void {
    this.abandonReason = reason
    this.abandonController.abort()
  }

  private async reasonToAbandon (signal: AbortSignal): Promise<string | undefined> {
    const receivedBefore = this.lastReceivedAt
    const progress = await queryProgress(this.upstream.origin, this.call.requestId, signal)
    if (this.lastReceivedAt !== receivedBefore) return undefined
    if (progress === 'unknown') return 'the engine does not know the request'
    if (progress === 'no_answer') {
      this.unansweredProgressQueries += 1
      return this.unansweredProgressQueries >= maxUnansweredProgressQueries ? 'the engine does not answer progress queries' : undefined
    }
    this.unansweredProgressQueries = 0
    if (progress <= this.sequencer.position) return undefined
    await this.clock.sleep(inTransitGraceMilliseconds, signal)
    if (this.lastReceivedAt !== receivedBefore) return undefined
    return `no bytes arrive after ${this.sequencer.position} tokens although the engine has generated ${progress}`
  }
}

function sequencedChunkOf (chunk: EngineChunk): SequencedChunk | undefined {
  const choice = chunk.choices[0]
  if (choice === undefined) return undefined
  const text = choice.text ?? choice.delta?.content ?? undefined
  const finishReason = choice.finish_reason ?? undefined
  const isToken = text !== undefined && (text !== '' || finishReason === undefined)
  if (!isToken && finishReason === undefined) return undefined
  return {
    attemptId: chunk.attempt_id,
    position: chunk.position,
    ...(isToken ? { text } : {}),
    ...(finishReason === undefined ? {} : { finishReason })
  }
}

async function readLimited (body: AsyncIterable<Buffer>, maxBytes: number): Promise<string> {
  const parts: Buffer[] = []
  let size = 0
  for await (const bytes of body) {
    parts.push(bytes)
    size += bytes.length
    if (size > maxBytes) break
  }
  return Buffer.concat(parts).toString('utf8')
}

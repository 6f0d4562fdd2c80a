/**
 * One try of a request on one engine. Reads the engine's stream, passes its tokens on in order, and watches
 * the connection: after silence it asks the engine over a new connection whether tokens got lost.
 */
import { createParser } from 'eventsource-parser'
import type { Dispatcher } from 'undici'
import { type Clock, errorAnswers, type Failure, failure, failureFromBody, parseJson } from '../common/index.js'
import { isNotSent } from '../clients/HttpClient.js'
import type { Upstream } from '../upstreams/index.js'
import { queryProgress } from './EngineConnection.js'
import { type EngineCall, engineBodyOf, type EngineChunk, type EngineUsage, parseChunk } from './engineProtocol.js'
import { type SequencedChunk, TokenSequencer } from './TokenSequencer.js'

/** Limits of the checks on an engine's stream. */
export interface AttemptLimits {
  /** A connection without bytes for this long is checked. */
  progressCheckMilliseconds: number
  /** A missing token that did not arrive this long after a later one ends the attempt. */
  gapMilliseconds: number
  /** Early chunks that are held at most. */
  maxHeldChunks: number
}

/** Default limits. A gap is filled within one round trip or not at all, hence the short wait. */
export const defaultAttemptLimits: AttemptLimits = {
  progressCheckMilliseconds: 2000,
  gapMilliseconds: 1000,
  maxHeldChunks: 64
}

/**
 * How an attempt ended. `refused`: no connection, nothing was sent; `busy`: the engine did not start it;
 * `rejected`: the request itself is at fault; `broken`: it may have run in part; `stopped` by this host.
 */
export type AttemptOutcome =
  | { kind: 'finished', finishReason: string, usage: EngineUsage | undefined }
  | { kind: 'refused', reason: string }
  | { kind: 'busy', failure: Failure }
  | { kind: 'rejected', failure: Failure }
  | { kind: 'broken', reason: string }
  | { kind: 'stopped' }

/** Receives the tokens in order. The attempt reads on when the promise resolves. */
export type TokenReceiver = (text: string, position: number) => Promise<void>

/** Largest error answer of an engine that is read, in bytes. */
const maxErrorBytes = 65_536

/** Time for bytes that are on their way when the engine says that it is ahead. */
const graceMilliseconds = 200

/** Progress queries without an answer in a row after which the connection is abandoned. */
const maxUnansweredChecks = 2

/** One try on one engine. */
export class EngineAttempt {
  private readonly sequencer: TokenSequencer
  private readonly abandon = new AbortController()
  private abandonReason = ''
  private heardAt = 0
  private gapSince: number | undefined
  private sawLast = false
  private reading = true
  private unansweredChecks = 0
  private finishReason: string | undefined
  private usage: EngineUsage | undefined
  /** Chunks that were dropped, by cause. */
  readonly dropped = { foreign: 0, duplicate: 0 }

  constructor (
    private readonly upstream: Upstream,
    private readonly call: EngineCall,
    private readonly clock: Clock,
    private readonly limits: AttemptLimits,
    private readonly receive: TokenReceiver
  ) {
    this.sequencer = new TokenSequencer(call.attemptId, call.resumeFrom, limits.maxHeldChunks)
  }

  /** Runs the attempt to its end. Never rejects for reasons of the engine or the network. */
  async run (signal: AbortSignal): Promise<AttemptOutcome> {
    this.heardAt = this.clock.monotonic()
    const watch = new AbortController()
    const watching = this.watchSilence(watch.signal)
    try {
      return await this.exchange(AbortSignal.any([signal, this.abandon.signal]))
    } catch (caught) {
      if (this.finishReason !== undefined) return this.finished(this.finishReason)
      if (signal.aborted) return { kind: 'stopped' }
      const reason = this.abandonReason === '' ? (caught as Error).message : this.abandonReason
      return isNotSent(caught) ? { kind: 'refused', reason } : { kind: 'broken', reason }
    } finally {
      watch.abort()
      this.abandon.abort()
      await watching
    }
  }

  private async exchange (signal: AbortSignal): Promise<AttemptOutcome> {
    const answer = await this.upstream.http.request({
      method: 'POST',
      path: this.call.path,
      headers: { 'content-type': 'application/json', accept: 'text/event-stream', 'x-request-id': this.call.requestId },
      body: engineBodyOf(this.call),
      signal
    })
    this.heard()
    if (answer.statusCode !== 200) return await this.readError(answer)
    return await this.readStream(answer.body)
  }

  private async readStream (body: AsyncIterable<Buffer>): Promise<AttemptOutcome> {
    const events: string[] = []
    const parser = createParser({ onEvent: event => { events.push(event.data) } })
    const decoder = new TextDecoder()
    for await (const bytes of body) {
      this.heard()
      parser.feed(decoder.decode(bytes, { stream: true }))
      this.reading = false
      for (const data of events.splice(0)) {
        if (data === '[DONE]') {
          if (this.finishReason !== undefined) return this.endOfStream()
          // Late chunks may still follow the engine's last event.
          this.sawLast = true
          this.markMissing()
          continue
        }
        const problem = await this.takeEvent(data)
        if (problem !== undefined) return problem
      }
      this.reading = true
      this.heard()
    }
    return this.endOfStream()
  }

  /** Handles one event. Returns what ends the attempt, if anything does. */
  private async takeEvent (data: string): Promise<AttemptOutcome | undefined> {
    const parsed = parseChunk(data)
    if (parsed.isErr) return this.problemOf(parsed.error)
    const chunk = parsed.value
    if (chunk.attempt_id === this.call.attemptId) this.usage = chunk.usage ?? this.usage
    const sequenced = sequencedChunkOf(chunk)
    if (sequenced === undefined || this.finishReason !== undefined) return undefined
    const ready: SequencedChunk[] = []
    const verdict = this.sequencer.take(sequenced, ready)
    if (verdict === 'overflow') return { kind: 'broken', reason: `token ${this.sequencer.position} is missing` }
    if (verdict === 'foreign' || verdict === 'duplicate') this.dropped[verdict] += 1
    if (this.sequencer.hasGap) this.markMissing()
    else if (!this.sawLast) this.gapSince = undefined
    for (const item of ready) {
      if (item.text !== undefined) await this.receive(item.text, item.position)
      this.finishReason = item.finishReason ?? this.finishReason
    }
    return undefined
  }

  /** Starts the wait for chunks that must come before one that arrived. */
  private markMissing (): void {
    this.gapSince ??= this.clock.monotonic()
  }

  /** An engine may give up a request that it has not begun, which costs nothing to send elsewhere. */
  private problemOf (failed: Failure): AttemptOutcome {
    if (this.finishReason !== undefined) return this.finished(this.finishReason)
    if (errorAnswers[failed.kind].notRun) return { kind: 'busy', failure: failed }
    return { kind: 'broken', reason: failed.message }
  }

  private endOfStream (): AttemptOutcome {
    if (this.finishReason !== undefined) return this.finished(this.finishReason)
    return { kind: 'broken', reason: `the stream ended at token ${this.sequencer.position} without an end mark` }
  }

  private finished (finishReason: string): AttemptOutcome {
    return { kind: 'finished', finishReason, usage: this.usage }
  }

  private async readError (answer: Dispatcher.ResponseData): Promise<AttemptOutcome> {
    const text = await readLimited(answer.body, maxErrorBytes)
    const reason = `the engine answered with status ${answer.statusCode}`
    const stated = failureFromBody(parseJson(text))
    if (answer.statusCode === 429 || answer.statusCode === 503) {
      return { kind: 'busy', failure: failure('overloaded', reason) }
    }
    if (answer.statusCode >= 400 && answer.statusCode < 500) {
      const kind = answer.statusCode === 404 ? 'unknown_model' : 'bad_request'
      return { kind: 'rejected', failure: failure(kind, stated?.message ?? reason) }
    }
    return { kind: 'broken', reason }
  }

  private heard (): void {
    this.heardAt = this.clock.monotonic()
    this.unansweredChecks = 0
  }

  /** Looks at the connection until the attempt ends; abandons it when tokens are lost or the engine is gone. */
  private async watchSilence (signal: AbortSignal): Promise<void> {
    const { progressCheckMilliseconds, gapMilliseconds } = this.limits
    let checkedAt = this.heardAt
    while (!signal.aborted) {
      const now = this.clock.monotonic()
      const gapDue = (this.gapSince ?? now) + gapMilliseconds
      const silenceDue = Math.max(this.heardAt, checkedAt) + progressCheckMilliseconds
      if (this.reading && now >= gapDue) return this.giveUp(`token ${this.sequencer.position} did not arrive`)
      if (this.reading && now >= silenceDue) {
        const reason = await this.reasonToAbandon(signal)
        if (reason !== undefined && !signal.aborted) return this.giveUp(reason)
        checkedAt = this.clock.monotonic()
        continue
      }
      const wait = Math.min(gapDue, silenceDue) - now
      await this.clock.sleep(wait > 0 ? wait : Math.min(gapMilliseconds, progressCheckMilliseconds), signal)
    }
  }

  private giveUp (reason: string): void {
    this.abandonReason = reason
    this.abandon.abort()
  }

  private async reasonToAbandon (signal: AbortSignal): Promise<string | undefined> {
    const heardBefore = this.heardAt
    const progress = await queryProgress(this.upstream.origin, this.call.requestId, signal)
    if (this.heardAt !== heardBefore) return undefined
    if (progress === 'unknown') return 'the engine does not know the request'
    if (progress === 'no_answer') {
      this.unansweredChecks += 1
      return this.unansweredChecks >= maxUnansweredChecks ? 'the engine does not answer progress queries' : undefined
    }
    this.unansweredChecks = 0
    if (progress <= this.sequencer.position) return undefined
    await this.clock.sleep(graceMilliseconds, signal)
    if (this.heardAt !== heardBefore) return undefined
    return `the connection is silent at token ${this.sequencer.position} while the engine is at ${progress}`
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

/**
 * Sends a trace to entry hosts with an open loop: each request is sent at its time, whether or not earlier
 * ones have been answered, and latencies count from the intended time, so that a slow system cannot hide
 * its delays (no coordinated omission).
 */
import { createParser } from 'eventsource-parser'
import { Agent, type Dispatcher, request } from 'undici'
import { match } from 'ts-pattern'
import { type Clock, type ErrorKind, failureFromBody, type Team } from '../common/index.js'
import type { ReplayOutcome } from './ReplayReport.js'
import { type ModelArrival, promptOf, type ServiceArrival, type Trace, type TraceEntry } from './Trace.js'

/** Options of a replay. */
export interface ReplayOptions {
  trace: Trace
  /** `http://ip:port` of each entry host; requests go to them in turn. */
  origins: string[]
  /** Token of each team. */
  tokens: Record<string, string>
  clock: Clock
  /** Time of the trace passes this many times faster than real time. */
  speed?: number
  /** Called after each ended request. */
  onProgress?: (ended: number, all: number) => void
  /** Carries out planned changes of the fleet. Without it they are passed over. */
  onFleetEvent?: (action: 'drain' | 'withdraw' | 'return', worker: string) => Promise<void>
}

/** Longest time that the replay waits for an answer beyond the request's own deadline. */
const graceMilliseconds = 5000

interface Reception {
  result: 'complete' | ErrorKind
  firstTokenAt?: number
  lastTokenAt?: number
  tokens: number
}

/** Replays one trace. */
export class ReplayRunner {
  private readonly agent = new Agent({ connections: null, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
  private readonly outcomes: ReplayOutcome[] = []
  private nextOrigin = 0

  constructor (private readonly options: ReplayOptions) {}

  /** Sends everything and waits for all answers. */
  async run (): Promise<ReplayOutcome[]> {
    const { clock, trace, speed = 1 } = this.options
    const start = clock.monotonic()
    const open: Promise<void>[] = []
    for (const [number, entry] of trace.entries.entries()) {
      const due = start + entry.at / speed
      const wait = due - clock.monotonic()
      if (wait > 0) await clock.sleep(wait)
      open.push(this.sendEntry(entry, number, due))
    }
    await Promise.all(open)
    await this.agent.destroy()
    return this.outcomes
  }

  private async sendEntry (entry: TraceEntry, number: number, due: number): Promise<void> {
    await match(entry)
      .with({ kind: 'fleet' }, async event => { await this.options.onFleetEvent?.(event.action, event.worker) })
      .with({ kind: 'model' }, async arrival => { await this.sendArrival(arrival, due, origin => this.sendModelRequest(arrival, number, origin)) })
      .with({ kind: 'service' }, async arrival => { await this.sendArrival(arrival, due, origin => this.sendServiceCall(arrival, origin)) })
      .exhaustive()
  }

  private async sendArrival (
    arrival: ModelArrival | ServiceArrival,
    due: number,
    send: (origin: string) => Promise<Reception>
  ): Promise<void> {
    const { clock } = this.options
    const sendDelayMilliseconds = Math.max(0, clock.monotonic() - due)
    const received = await send(this.chooseOrigin()).catch((): Reception => ({ result: 'upstream_failed', tokens: 0 }))
    const totalMilliseconds = clock.monotonic() - due
    const between = received.tokens > 1 && received.firstTokenAt !== undefined && received.lastTokenAt !== undefined
      ? (received.lastTokenAt - received.firstTokenAt) / (received.tokens - 1)
      : undefined
    this.outcomes.push({
      kind: arrival.kind,
      team: arrival.team,
      at: arrival.at,
      result: received.result,
      sendDelayMilliseconds,
      ...(received.firstTokenAt === undefined ? {} : { firstTokenMilliseconds: received.firstTokenAt - due }),
      ...(between === undefined ? {} : { betweenTokensMilliseconds: between }),
      totalMilliseconds,
      inTime: totalMilliseconds <= arrival.timeoutMilliseconds,
      tokens: received.tokens,
      wantedTokens: arrival.kind === 'model' ? arrival.outputTokens : 0
    })
    this.options.onProgress?.(this.outcomes.length, this.options.trace.entries.length)
  }

  private chooseOrigin (): string {
    const origin = this.options.origins[this.nextOrigin % this.options.origins.length]
    this.nextOrigin += 1
    if (origin === undefined) throw new Error('a replay needs at least one origin')
    return origin
  }

  private headersOf (team: Team, timeoutMilliseconds: number): Record<string, string> {
    return {
      authorization: `Bearer ${this.options.tokens[team] ?? ''}`,
      'content-type': 'application/json',
      'x-timeout-ms': String(timeoutMilliseconds)
    }
  }

  private async sendModelRequest (arrival: ModelArrival, number: number, origin: string): Promise<Reception> {
    const answer = await request(`${origin}/v1/completions`, {
      method: 'POST',
      dispatcher: this.agent,
      signal: AbortSignal.timeout(arrival.timeoutMilliseconds + graceMilliseconds),
      headers: { ...this.headersOf(arrival.team, arrival.timeoutMilliseconds), 'x-priority': arrival.priority },
      body: JSON.stringify({
        model: arrival.model,
        prompt: promptOf(arrival, number),
        max_tokens: arrival.outputTokens,
        stream: true
      })
    })
    if (answer.statusCode !== 200) return { result: await this.errorKindOf(answer), tokens: 0 }
    return await this.receiveStream(answer)
  }

  private async receiveStream (answer: Dispatcher.ResponseData): Promise<Reception> {
    const { clock } = this.options
    const reception: Reception = { result: 'stream_interrupted', tokens: 0 }
    const parser = createParser({
      onEvent: event => {
        if (event.data === '[DONE]') {
          reception.result = 'complete'
          return
        }
        const body = JSON.parse(event.data) as { choices?: Array<{ text?: string }> }
        const failed = failureFromBody(body)
        if (failed !== undefined) {
          reception.result = failed.kind
          return
        }
        const text = body.choices?.[0]?.text
        if (text === undefined || text === '') return
        reception.tokens += text.trim().split(/\s+/).length
        reception.firstTokenAt ??= clock.monotonic()
        reception.lastTokenAt = clock.monotonic()
      }
    })
    const decoder = new TextDecoder()
    for await (const chunk of answer.body) parser.feed(decoder.decode(chunk as Buffer, { stream: true }))
    return reception
  }

  private async sendServiceCall (arrival: ServiceArrival, origin: string): Promise<Reception> {
    const answer = await request(`${origin}/services/${arrival.pool}${arrival.path}`, {
      method: arrival.method,
      dispatcher: this.agent,
      signal: AbortSignal.timeout(arrival.timeoutMilliseconds + graceMilliseconds),
      headers: this.headersOf(arrival.team, arrival.timeoutMilliseconds),
      ...(arrival.method === 'POST' ? { body: '{}' } : {})
    })
    if (answer.statusCode >= 400) return { result: await this.errorKindOf(answer), tokens: 0 }
    await answer.body.dump()
    return { result: 'complete', tokens: 0 }
  }

  private async errorKindOf (answer: Dispatcher.ResponseData): Promise<ErrorKind> {
    const body: unknown = await answer.body.json().catch(() => undefined)
    return failureFromBody(body)?.kind ?? 'internal'
  }
}

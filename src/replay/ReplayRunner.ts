/**
 * Replays a trace against entry hosts as an open loop: each request is sent at its intended time, whether or
 * not earlier requests have been answered. Latencies count from the intended send time, which avoids coordinated
 * omission: a slow system cannot hide its delays by slowing the load.
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
  /** `http://ip:port` of each entry host; requests are distributed round-robin. */
  origins: string[]
  /** Bearer token of each team, by the name of the team. */
  tokens: Record<string, string>
  clock: Clock
  /** Factor by which the replay runs faster than the times in the trace. Default: 1. */
  speed?: number
  /** Called after each request that ended, with the number of ended requests and of all trace entries. */
  onProgress?: (ended: number, total: number) => void
  /** Executes the fleet events of the trace. Without it, the replay skips them. */
  onFleetEvent?: (action: 'drain' | 'withdraw' | 'return', worker: string) => Promise<void>
}

/** Time after the timeout of a request at which the replay aborts the request if it has not ended. */
const responseGraceMilliseconds = 5000

/** What the replay received for one request. Times are of the monotonic clock. */
interface ReceivedResponse {
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

  /** Sends all entries of the trace, waits until every request has ended, and returns their outcomes. */
  async run (): Promise<ReplayOutcome[]> {
    const { clock, trace, speed = 1 } = this.options
    const startedAt = clock.monotonic()
    const pending: Promise<void>[] = []
    for (const [index, entry] of trace.entries.entries()) {
      const intendedAt = startedAt + entry.at / speed
      const waitMilliseconds = intendedAt - clock.monotonic()
      if (waitMilliseconds > 0) await clock.sleep(waitMilliseconds)
      pending.push(this.sendEntry(entry, index, intendedAt))
    }
    await Promise.all(pending)
    await this.agent.destroy()
    return this.outcomes
  }

  private async sendEntry (entry: TraceEntry, requestNumber: number, intendedAt: number): Promise<void> {
    await match(entry)
      .with({ kind: 'fleet' }, async event => { await this.options.onFleetEvent?.(event.action, event.worker) })
      .with({ kind: 'model' }, async arrival => { await this.sendArrival(arrival, intendedAt, origin => this.sendModelRequest(arrival, requestNumber, origin)) })
      .with({ kind: 'service' }, async arrival => { await this.sendArrival(arrival, intendedAt, origin => this.sendServiceCall(arrival, origin)) })
      .exhaustive()
  }

  private async sendArrival (
    arrival: ModelArrival | ServiceArrival,
    intendedAt: number,
    send: (origin: string) => Promise<ReceivedResponse>
  ): Promise<void> {
    const { clock } = this.options
    const sendDelayMilliseconds = Math.max(0, clock.monotonic() - intendedAt)
    const received = await send(this.chooseOrigin()).catch((): ReceivedResponse => ({ result: 'upstream_failed', tokens: 0 }))
    const totalMilliseconds = clock.monotonic() - intendedAt
    const tokenIntervalMilliseconds = received.tokens > 1 &&
      received.firstTokenAt !== undefined && received.lastTokenAt !== undefined
      ? (received.lastTokenAt - received.firstTokenAt) / (received.tokens - 1)
      : undefined
    this.outcomes.push({
      kind: arrival.kind,
      team: arrival.team,
      at: arrival.at,
      result: received.result,
      sendDelayMilliseconds,
      ...(received.firstTokenAt === undefined ? {} : { firstTokenMilliseconds: received.firstTokenAt - intendedAt }),
      ...(tokenIntervalMilliseconds === undefined ? {} : { betweenTokensMilliseconds: tokenIntervalMilliseconds }),
      totalMilliseconds,
      isWithinDeadline: totalMilliseconds <= arrival.timeoutMilliseconds,
      tokens: received.tokens,
      requestedTokens: arrival.kind === 'model' ? arrival.outputTokens : 0
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

  private async sendModelRequest (arrival: ModelArrival, requestNumber: number, origin: string): Promise<ReceivedResponse> {
    const response = await request(`${origin}/v1/completions`, {
      method: 'POST',
      dispatcher: this.agent,
      signal: AbortSignal.timeout(arrival.timeoutMilliseconds + responseGraceMilliseconds),
      headers: { ...this.headersOf(arrival.team, arrival.timeoutMilliseconds), 'x-priority': arrival.priority },
      body: JSON.stringify({
        model: arrival.model,
        prompt: promptOf(arrival, requestNumber),
        max_tokens: arrival.outputTokens,
        stream: true
      })
    })
    if (response.statusCode !== 200) return { result: await this.errorKindOf(response), tokens: 0 }
    return await this.receiveStream(response)
  }

  private async receiveStream (response: Dispatcher.ResponseData): Promise<ReceivedResponse> {
    const { clock } = this.options
    const received: ReceivedResponse = { result: 'stream_interrupted', tokens: 0 }
    const parser = createParser({
      onEvent: event => {
        if (event.data === '[DONE]') {
          received.result = 'complete'
          return
        }
        const body = JSON.parse(event.data) as { choices?: Array<{ text?: string }> }
        const failed = failureFromBody(body)
        if (failed !== undefined) {
          received.result = failed.kind
          return
        }
        const text = body.choices?.[0]?.text
        if (text === undefined || text === '') return
        received.tokens += text.trim().split(/\s+/).length
        received.firstTokenAt ??= clock.monotonic()
        received.lastTokenAt = clock.monotonic()
      }
    })
    const decoder = new TextDecoder()
    for await (const chunk of response.body) parser.feed(decoder.decode(chunk as Buffer, { stream: true }))
    return received
  }

  private async sendServiceCall (arrival: ServiceArrival, origin: string): Promise<ReceivedResponse> {
    const response = await request(`${origin}/services/${arrival.pool}${arrival.path}`, {
      method: arrival.method,
      dispatcher: this.agent,
      signal: AbortSignal.timeout(arrival.timeoutMilliseconds + responseGraceMilliseconds),
      headers: this.headersOf(arrival.team, arrival.timeoutMilliseconds),
      ...(arrival.method === 'POST' ? { body: '{}' } : {})
    })
    if (response.statusCode >= 400) return { result: await this.errorKindOf(response), tokens: 0 }
    await response.body.dump()
    return { result: 'complete', tokens: 0 }
  }

  private async errorKindOf (response: Dispatcher.ResponseData): Promise<ErrorKind> {
    const body: unknown = await response.body.json().catch(() => undefined)
    return failureFromBody(body)?.kind ?? 'internal'
  }
}

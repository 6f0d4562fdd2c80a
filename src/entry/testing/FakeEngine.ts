/**
 * A fake engine for tests of the request path. By default it generates the tokens `t0 t1 t2 ...`; a test can replace
 * `script` to write the stream of an attempt itself.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** The body of a generation request as the engine receives it. */
export interface EngineRequestBody {
  request_id: string
  attempt_id: string
  resume_from?: number
  max_tokens?: number
  priority: string
  [field: string]: unknown
}

/** Writes the response to one attempt. */
export type EngineScript = (request: EngineRequestBody, response: ServerResponse, path: string) => void | Promise<void>

/** Text of the token at a position. */
export function tokenText (position: number): string {
  return ` t${position}`
}

/** Text of the first `count` tokens. */
export function textOf (count: number): string {
  return Array.from({ length: count }, (_, position) => tokenText(position)).join('')
}

/** The server-sent event of one token. */
export function tokenEvent (request: EngineRequestBody, position: number, attemptId = request.attempt_id): string {
  const choice = { index: 0, text: tokenText(position), finish_reason: null }
  return `data: ${JSON.stringify({ attempt_id: attemptId, position, choices: [choice] })}\n\n`
}

/** The event with the finish reason and token counts, followed by `[DONE]`. */
export function endEvents (request: EngineRequestBody, position: number): string {
  const usage = { prompt_tokens: 11, completion_tokens: position, prompt_tokens_details: { cached_tokens: 3 } }
  const choice = { index: 0, text: '', finish_reason: 'length' }
  return `data: ${JSON.stringify({ attempt_id: request.attempt_id, position, choices: [choice], usage })}\n\ndata: [DONE]\n\n`
}

/** Sends the headers of a streaming response. */
export function startStream (response: ServerResponse): void {
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  response.flushHeaders()
}

/** The complete stream of an attempt, from the position at which the attempt resumes. */
export function streamOf (request: EngineRequestBody): string {
  const count = request.max_tokens ?? 4
  const events: string[] = []
  for (let position = request.resume_from ?? 0; position < count; position += 1) events.push(tokenEvent(request, position))
  return events.join('') + endEvents(request, count)
}

/** Generates all tokens at once. */
export const completeStreamScript: EngineScript = (request, response) => {
  startStream(response)
  response.end(streamOf(request))
}

/** A fake engine that listens on a local port and records its requests. */
export class FakeEngine {
  readonly requests: EngineRequestBody[] = []
  readonly cancelled: Array<{ requestId: string, attemptId: unknown }> = []
  /** Headers of the generation requests, in the order of `requests`. */
  readonly headers: Array<IncomingMessage['headers']> = []
  /** Body of the response to `GET /load`, which replaces `at` by the current time; undefined: status 500. */
  load: Record<string, unknown> | undefined = { at: 0, models: ['carassius'], role: 'mixed' }
  /** Position in the response to `GET /requests/<id>`; undefined: status 404. */
  progress: number | undefined
  progressQueries = 0
  script: EngineScript = completeStreamScript
  /** Answers requests to all other paths. Default: status 404. */
  other: (request: IncomingMessage, response: ServerResponse, body: string) => void = (_request, response) => {
    response.writeHead(404).end('{}')
  }

  private readonly sockets = new Set<Socket>()
  private readonly waiters: Array<() => void> = []

  /** `ip:port` */
  readonly address: string

  private constructor (private readonly server: Server) {
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('close', () => { this.sockets.delete(socket) })
    })
  }

  static async start (): Promise<FakeEngine> {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const engine = new FakeEngine(server)
    server.on('request', (request, response) => {
      engine.handle(request, response).catch(() => { response.destroy() })
    })
    return engine
  }

  /** Resolves when the condition holds. The condition is checked at once and after each request to the engine. */
  async waitUntil (condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise<void>(resolve => { this.waiters.push(resolve) })
  }

  async stop (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const parts: Buffer[] = []
    for await (const part of request) parts.push(part as Buffer)
    const body = Buffer.concat(parts).toString()
    this.answer(request, response, body)
    for (const wake of this.waiters.splice(0)) wake()
  }

  private answer (request: IncomingMessage, response: ServerResponse, body: string): void {
    const path = request.url ?? ''
    if (path === '/load') return this.answerLoad(response)
    const cancelled = /^\/requests\/([^/]+)\/cancel$/.exec(path)
    if (cancelled !== null) {
      this.cancelled.push({ requestId: cancelled[1]!, attemptId: (JSON.parse(body) as { attempt_id: unknown }).attempt_id })
      response.end('{}')
      return
    }
    if (path.startsWith('/requests/')) {
      this.progressQueries += 1
      response.writeHead(this.progress === undefined ? 404 : 200).end(JSON.stringify({ position: this.progress }))
      return
    }
    if (!path.startsWith('/v1/')) return this.other(request, response, body)
    const parsed = JSON.parse(body) as EngineRequestBody
    this.requests.push(parsed)
    this.headers.push(request.headers)
    Promise.resolve(this.script(parsed, response, path)).catch(() => { response.destroy() })
  }

  private answerLoad (response: ServerResponse): void {
    response.writeHead(this.load === undefined ? 500 : 200).end(JSON.stringify({ ...this.load, at: Date.now() }))
  }
}

/**
 * A fake service for tests of the request path. It records each call that it runs.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** One call that the service ran. */
export interface FakeRun { method: string, path: string, headers: IncomingMessage['headers'], body: string }

/** A fake service that listens on a local port. */
export class FakeService {
  readonly runs: FakeRun[] = []
  /** Answers a call. Default: status 200 with the number of calls so far. */
  answer: (run: FakeRun, response: ServerResponse) => void | Promise<void> = (_run, response) => {
    response.writeHead(200, { 'content-type': 'application/json', 'set-cookie': 'a=b' }).end(JSON.stringify({ run: this.runs.length }))
  }

  private readonly waiters: Array<() => void> = []

  /** `ip:port` */
  readonly address: string

  private constructor (private readonly server: Server) {
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  static async start (): Promise<FakeService> {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const service = new FakeService(server)
    server.on('request', (request, response) => {
      service.handle(request, response).catch(() => { response.destroy() })
    })
    return service
  }

  /** Resolves when the service has received at least `count` calls. */
  async waitForRuns (count: number): Promise<void> {
    while (this.runs.length < count) await new Promise<void>(resolve => { this.waiters.push(resolve) })
  }

  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const parts: Buffer[] = []
    for await (const part of request) parts.push(part as Buffer)
    if (request.url === '/load') {
      response.end(JSON.stringify({ at: Date.now() }))
      return
    }
    const run = {
      method: request.method ?? '', path: request.url ?? '', headers: request.headers, body: Buffer.concat(parts).toString()
    }
    this.runs.push(run)
    for (const wake of this.waiters.splice(0)) wake()
    await this.answer(run, response)
  }
}

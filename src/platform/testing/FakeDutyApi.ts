/**
 * Fake of the platform's interface for duties. It executes what it accepts, refuses outdated tokens, and can lose responses.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** A call as it was received. */
export interface ReceivedCall { path: string, holder: string, token: number, body: Record<string, unknown> }

/** Serves `POST /usage-reports` and `POST /replicas` from memory. */
export class FakeDutyApi {
  /** `ip:port` */
  readonly address: string
  /** All calls, also refused ones. */
  readonly calls: ReceivedCall[] = []
  /** The different contents that were accepted for each window, as JSON. */
  readonly contents = new Map<number, Set<string>>()
  /** Status and body of the responses to calls that are not outdated; `lost`: executed, but without a response. */
  answer: { status: number, body?: string } | 'lost' = { status: 200 }
  private greatestToken = -1

  private constructor (private readonly server: Server) {
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  static async start (): Promise<FakeDutyApi> {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const api = new FakeDutyApi(server)
    server.on('request', (request, response) => {
      api.handle(request, response).catch(() => { response.destroy() })
    })
    return api
  }

  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    const body = JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>
    const { 'dogwooddale-duty-holder': holder, 'dogwooddale-fence-token': token } = request.headers
    const call = { path: `${request.method} ${request.url}`, holder: String(holder), token: Number(token), body }
    this.calls.push(call)
    if (call.token < this.greatestToken) {
      response.writeHead(409).end()
      return
    }
    this.greatestToken = call.token
    const isAccepted = this.answer === 'lost' || this.answer.status === 200
    if (isAccepted && request.url === '/usage-reports') this.accept(body)
    if (this.answer === 'lost') request.socket.destroy()
    else response.writeHead(this.answer.status).end(this.answer.body)
  }

  private accept ({ 'window-id': window, counts }: Record<string, unknown>): void {
    const known = this.contents.get(Number(window)) ?? new Set()
    this.contents.set(Number(window), known.add(JSON.stringify(counts)))
  }
}

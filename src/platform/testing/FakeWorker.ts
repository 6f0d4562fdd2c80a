/**
 * Fake of a worker of the platform. It writes to TCP sockets directly, so that it can also send what no HTTP library
 * would: second responses, responses without an end, and bytes that are not HTTP.
 */
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'

/** A request as the worker received it. */
export interface ReceivedRequest {
  method: string
  path: string
  headers: Record<string, string>
  body: string
  socket: Socket
}

/** Differences from the default response; a header field that is undefined is omitted. */
export interface ResponseOverrides { status?: number, headers?: Record<string, string | undefined> }

/** A worker that records its requests and answers them as the test decides. */
export class FakeWorker {
  readonly requests: ReceivedRequest[] = []
  /** Answers a request; by default with status 200 and the worker's id as the body. */
  onRequest: (request: ReceivedRequest) => void = request => { request.socket.write(this.responseTo(request, this.id)) }
  readonly address: string
  connections = 0
  private readonly sockets = new Set<Socket>()
  private waiters: Array<() => void> = []

  private constructor (readonly id: string, private readonly server: Server) {
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  static async start (id: string): Promise<FakeWorker> {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const worker = new FakeWorker(id, server)
    server.on('connection', socket => worker.handleConnection(socket))
    return worker
  }

  /** The entry that the worker writes about itself to the store. */
  createEntry (service: string, overrides: Record<string, unknown> = {}): Record<string, unknown> {
    const self = { address: this.address, zone: 'zone-a', version: 'v1', slots: 8, 'cold-left-ms': 0 }
    return { service, ...self, state: 'ready', sequence: 1, ...overrides }
  }

  /** A complete response to a request, as text. */
  responseTo (request: ReceivedRequest, body: string, overrides: ResponseOverrides = {}): string {
    const headers: Record<string, string | undefined> = {
      'content-length': String(body.length),
      'dogwooddale-request-id': request.headers['dogwooddale-request-id'] ?? '',
      'dogwooddale-server-stamp': `signed-by-${this.id}`,
      ...overrides.headers
    }
    const lines = Object.entries(headers).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}: ${value}\r\n`)
    return `HTTP/1.1 ${overrides.status ?? 200} X\r\n${lines.join('')}\r\n${body}`
  }

  async waitForRequests (count: number): Promise<void> {
    while (this.requests.length < count) await new Promise<void>(resolve => { this.waiters.push(resolve) })
  }

  /** Stops like a process that ends: accepts no connection any more, and closes all but the given one, which the test ends. */
  crash (exceptFor: Socket): void {
    this.server.close()
    for (const socket of this.sockets) if (socket !== exceptFor) socket.destroy()
  }

  async stop (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
  }

  private handleConnection (socket: Socket): void {
    this.connections += 1
    this.sockets.add(socket)
    let received = ''
    socket.on('error', () => {})
    socket.on('close', () => { this.sockets.delete(socket) })
    socket.on('data', bytes => {
      received += bytes.toString('latin1')
      for (;;) {
        const end = received.indexOf('\r\n\r\n')
        if (end < 0) return
        const [requestLine = '', ...lines] = received.slice(0, end).split('\r\n')
        const headers = parseHeaders(lines)
        const length = Number(headers['content-length'] ?? 0)
        if (received.length < end + 4 + length) return
        const body = received.slice(end + 4, end + 4 + length)
        received = received.slice(end + 4 + length)
        const [method = '', path = ''] = requestLine.split(' ')
        const request = { method, path, headers, body, socket }
        this.requests.push(request)
        for (const wake of this.waiters.splice(0)) wake()
        this.onRequest(request)
      }
    })
  }
}

/** Header fields by lower-case name. */
export function parseHeaders (lines: string[]): Record<string, string> {
  return Object.fromEntries(lines.map(line => {
    const colon = line.indexOf(':')
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
  }))
}

/**
 * Stand-in of a worker of an application service, as PROTOCOL.md describes it. It records each request that reaches it.
 */
import { createServer } from 'node:http'

export class Worker {
  arrivals = []
  isLeaving = false
  sequence = 0
  born = Date.now()

  constructor (options) {
    Object.assign(this, options)
  }

  /** `store`: where it registers; `workMilliseconds`: time that a request takes. */
  static async start (options) {
    const worker = new Worker(options)
    worker.server = createServer((request, response) => { worker.handle(request, response) })
    worker.server.keepAliveTimeout = 15_000
    await new Promise(resolve => worker.server.listen(0, '127.0.0.1', resolve))
    worker.address = `127.0.0.1:${worker.server.address().port}`
    worker.report('ready')
    return worker
  }

  /** Writes the entry; returns the time of the store's acknowledgement. */
  report (state) {
    this.sequence += 1
    const { service, address, zone, sequence, born } = this
    return this.store.write('keyed.servers', this.id, {
      service, address, zone, version: 'v1', slots: 6, state, 'cold-left-ms': 0, sequence, born
    })
  }

  /** Leaves without having reported `draining`: its entry is removed, and all its answers say that it leaves. */
  leave () {
    this.isLeaving = true
    this.leftAt = this.store.write('keyed.servers', this.id, undefined)
    return this.leftAt
  }

  /** The process ends; what it works on is cut. */
  exit () {
    this.exitedAt = performance.now()
    this.server.close()
    this.server.closeAllConnections()
  }

  handle (request, response) {
    request.resume()
    const id = request.headers['dogwooddale-request-id']
    const notice = this.isLeaving ? { 'server-leaving': '1' } : {}
    const head = { 'dogwooddale-request-id': id ?? '', 'dogwooddale-server-load': '1,0,6', ...notice }
    if (id === undefined) return response.writeHead(400, { ...head, 'dogwooddale-not-run': '1' }).end()
    if (request.headers['dogwooddale-expect-instance'] !== this.id) return response.writeHead(421, head).end()
    const arrival = { id, at: performance.now(), method: request.method, isComplete: false }
    this.arrivals.push(arrival)
    setTimeout(() => {
      if (response.destroyed) return
      arrival.isComplete = true
      response.writeHead(200, { ...head, 'dogwooddale-server-stamp': `stamp.${this.id}` }).end(`${this.id} ran ${id}`)
    }, this.workMilliseconds())
  }
}

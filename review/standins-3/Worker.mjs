/**
 * Stand-in of a worker of a plain service: checks for whom a request is, echoes its id, signs its answers, and registers in
 * the store. `answer` may replace the usual answer.
 */
import { createServer } from 'node:http'

const beatMilliseconds = 1200

export class Worker {
  /** Requests that reached the worker: id, time, remote port. */
  arrivals = []
  runs = []
  report = 0

  static async start (store, { id, service, zone = 'guayaquil-a', slots = 6, workMilliseconds = 21, answer, headers = () => ({}), stage }) {
    const worker = new Worker()
    Object.assign(worker, { store, id, service, zone, slots, workMilliseconds, answer, headers, stage, state: 'ready', born: Date.now() })
    worker.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => { worker.handle(request, response) })
    await new Promise(resolve => worker.server.listen(0, '127.0.0.1', resolve))
    worker.address = `127.0.0.1:${worker.server.address().port}`
    worker.register()
    return worker
  }

  register () {
    this.beat()
    this.timer = setInterval(() => this.beat(), beatMilliseconds)
  }

  beat () {
    this.report += 1
    this.store.write('keyed.servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: '1',
      slots: this.slots,
      state: this.state,
      'cold-left-ms': 0,
      born: this.born,
      sequence: this.report,
      ...(this.stage === undefined ? {} : { stage: this.stage })
    })
  }

  /** Sends no more reports, and has its entry removed, as the store does after three missing ones. */
  lapse () {
    clearInterval(this.timer)
    this.store.write('keyed.servers', this.id, undefined)
  }

  stop () {
    clearInterval(this.timer)
    this.server.closeAllConnections()
    this.server.close()
  }

  handle (request, response) {
    const id = request.headers['dogwooddale-request-id']
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      const expected = request.headers['dogwooddale-expect-instance']
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { 'dogwooddale-request-id': id ?? '', 'dogwooddale-not-run': '1' }).end()
        return
      }
      const arrival = { id, at: Date.now(), path: request.url, deadline: Number(request.headers['dogwooddale-deadline-ms']) }
      this.arrivals.push(arrival)
      const head = {
        'dogwooddale-request-id': id ?? '',
        'dogwooddale-server-stamp': `stamp.${this.id}.${id}`,
        'dogwooddale-server-load': `${this.arrivals.length % this.slots},0,${this.slots}`,
        ...this.headers()
      }
      if (this.answer?.({ request, response, id, head, arrival, body: Buffer.concat(chunks) }) === true) return
      this.runs.push(arrival)
      setTimeout(() => response.writeHead(200, { 'content-type': 'application/octet-stream', ...head }).end(Buffer.alloc(800, 'x')), this.workMilliseconds)
    })
    request.on('error', () => {})
    response.on('error', () => {})
  }
}

/**
 * A worker over plain sockets whose answers keep their channels. While it stutters, it breaks a part of its answers off shortly
 * before their end and writes the answer before, on the same channel, once more; the packet with the rest of that copy comes
 * late, as one that was lost and is sent again.
 */
import { createServer } from 'node:net'

const bodyBytes = 800
/** Bytes of an answer before the copy, if it is broken off. */
const ownBytes = 680

export class StutteringWorker {
  /** Complete bodies as the worker meant them, by request id. */
  bodies = new Map()
  runs = []
  stutters = []
  share = 0
  answers = 0

  static async start (store, { id, service, zone, restMilliseconds }) {
    const worker = new StutteringWorker()
    Object.assign(worker, { id, restMilliseconds })
    worker.sockets = new Set()
    worker.server = createServer({ noDelay: true }, socket => worker.serve(socket))
    await new Promise(resolve => worker.server.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${worker.server.address().port}`
    const born = Date.now()
    let sequence = 0
    const beat = () => {
      sequence += 1
      store.write('keyed.servers', id, { service, address, zone, version: '1', slots: 6, state: 'ready', 'cold-left-ms': 0, born, sequence })
    }
    beat()
    worker.timer = setInterval(beat, 1200)
    return worker
  }

  stop () {
    clearInterval(this.timer)
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }

  serve (socket) {
    this.sockets.add(socket)
    let received = ''
    let before
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('data', bytes => {
      received += bytes.toString('latin1')
      const headEnd = received.indexOf('\r\n\r\n')
      if (headEnd < 0) return
      const field = name => new RegExp(`^${name}: *(.*)$`, 'im').exec(received)?.[1]?.trim()
      const length = Number(field('content-length') ?? 0)
      if (received.length < headEnd + 4 + length) return
      const id = field('dogwooddale-request-id')
      received = received.slice(headEnd + 4 + length)
      this.runs.push(id)
      setTimeout(() => { before = this.respond(socket, id, before) }, 21)
    })
  }

  /** Answers a request; returns the answer, or undefined after a broken one. */
  respond (socket, id, before) {
    if (socket.destroyed) return undefined
    const body = `page of ${id} `.padEnd(bodyBytes, `${id} `)
    this.bodies.set(id, body)
    const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n' +
      `Content-Length: ${bodyBytes}\r\nDogwooddale-Server-Load: 1,0,6\r\nDogwooddale-Server-Stamp: stamp.${this.id}.${id}\r\nDogwooddale-Request-Id: ${id}\r\n\r\n`
    this.answers += 1
    const stutters = before !== undefined && Math.floor(this.answers * this.share) > Math.floor((this.answers - 1) * this.share)
    if (!stutters) {
      socket.write(head + body)
      return head + body
    }
    this.stutters.push(id)
    const written = `${body.slice(0, ownBytes)}${before}`
    socket.write(head + written.slice(0, bodyBytes))
    setTimeout(() => { if (!socket.destroyed) socket.write(written.slice(bodyBytes)) }, this.restMilliseconds)
    return undefined
  }
}

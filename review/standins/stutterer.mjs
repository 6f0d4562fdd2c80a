/**
 * Stand-in of a worker of an application service whose answers have many short header fields, the id of the request last.
 * While it stutters, it breaks some answers off in their body and writes the answer before, on the same channel, once more.
 */
import { createServer } from 'node:net'

/** The body of the answer to a request: 600 to 1,400 bytes that name it. */
export function bodyOf (worker, id) {
  const length = 600 + Number.parseInt(id.slice(-4), 16) % 800
  return `${worker} ran ${id} `.repeat(100).slice(0, length)
}

export class Stutterer {
  /** Share of the answers that are broken off and followed by the answer before. */
  share = 0
  copies = 0

  constructor (options) {
    Object.assign(this, options)
  }

  static async start (options) {
    const worker = new Stutterer(options)
    worker.sockets = new Set()
    worker.fields = Array.from({ length: worker.fieldCount }, (_, index) => `x-${index}: 0\r\n`).join('')
    worker.server = createServer(socket => { worker.serve(socket) })
    await new Promise(resolve => worker.server.listen(0, '127.0.0.1', resolve))
    const { id, service, zone, store } = worker
    store.write('keyed.servers', id, {
      service, address: `127.0.0.1:${worker.server.address().port}`, zone, version: 'v1', slots: 6, state: 'ready', 'cold-left-ms': 0, sequence: 1, born: Date.now()
    })
    return worker
  }

  stop () {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  serve (socket) {
    const channel = { socket, received: Buffer.alloc(0), before: undefined }
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('data', bytes => {
      channel.received = Buffer.concat([channel.received, bytes])
      this.readRequests(channel)
    })
  }

  readRequests (channel) {
    for (;;) {
      const end = channel.received.indexOf('\r\n\r\n')
      if (end < 0) return
      const head = channel.received.toString('latin1', 0, end)
      const length = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? 0)
      if (channel.received.length < end + 4 + length) return
      channel.received = channel.received.subarray(end + 4 + length)
      setTimeout(() => { this.answer(channel, head) }, 10 + Math.random() * 23)
    }
  }

  answer (channel, requestHead) {
    const { socket, before } = channel
    if (socket.destroyed) return
    const id = /\r\ndogwooddale-request-id: (\S+)/i.exec(requestHead)?.[1] ?? ''
    if (/\r\ndogwooddale-expect-instance: (\S+)/i.exec(requestHead)?.[1] !== this.id) {
      socket.write(`HTTP/1.1 421 Misdirected\r\ndogwooddale-request-id: ${id}\r\ncontent-length: 0\r\n\r\n`)
      return
    }
    const body = bodyOf(this.id, id)
    const head = `HTTP/1.1 200 OK\r\n${this.fields}content-length: ${body.length}\r\ndogwooddale-server-stamp: stamp.${this.id}\r\ndogwooddale-request-id: ${id}\r\n\r\n`
    channel.before = head + body
    if (before === undefined || Math.random() >= this.share) {
      socket.write(head + body)
      return
    }
    const sentLength = Math.floor(Math.random() * body.length)
    this.copies += 1
    this.onCopy?.(id, sentLength, body.length)
    socket.write(head + body.slice(0, sentLength))
    socket.write(before)
  }
}

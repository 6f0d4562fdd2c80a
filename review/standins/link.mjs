/**
 * TCP proxy between one host and the store. `silenceOpen` makes the channels that are open now silent for good, without a
 * close or a reset, while new ones work.
 */
import { connect, createServer } from 'node:net'

export class Link {
  sockets = new Set()
  silent = new WeakSet()

  static async start (target) {
    const link = new Link()
    const [host, port] = target.split(':')
    link.server = createServer(client => {
      const upstream = connect({ host, port: Number(port) })
      link.forward(client, upstream)
      link.forward(upstream, client)
    })
    await new Promise(resolve => link.server.listen(0, '127.0.0.1', resolve))
    link.address = `127.0.0.1:${link.server.address().port}`
    return link
  }

  silenceOpen () {
    for (const socket of this.sockets) this.silent.add(socket)
  }

  stop () {
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }

  forward (from, to) {
    this.sockets.add(from)
    from.setNoDelay(true)
    from.on('data', bytes => { if (!this.silent.has(from)) to.write(bytes) })
    from.on('end', () => { if (!this.silent.has(from)) to.end() })
    from.on('error', () => to.destroy())
    from.on('close', () => {
      this.sockets.delete(from)
      to.destroy()
    })
  }
}

// TCP proxy for one address. While it is cut, it delivers no byte in either direction and closes nothing, as a partition does;
// connections that lost bytes stay silent afterwards.
import { connect, createServer } from 'node:net'

export class Proxy {
  isCut = false
  #sockets = new Set()

  async start (target, host = '127.0.0.1') {
    const [targetHost, targetPort] = target.split(':')
    this.server = createServer(client => {
      const upstream = connect({ host: targetHost, port: Number(targetPort) })
      const state = { isSilent: this.isCut }
      this.#forward(client, upstream, state)
      this.#forward(upstream, client, state)
    })
    await new Promise(resolve => this.server.listen(0, host, resolve))
    this.address = `${host}:${this.server.address().port}`
  }

  stop () {
    this.server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #forward (from, to, state) {
    this.#sockets.add(from)
    from.on('data', bytes => {
      if (this.isCut) state.isSilent = true
      if (!state.isSilent) to.write(bytes)
    })
    from.on('end', () => { if (!state.isSilent && !this.isCut) to.end() })
    from.on('error', () => { if (!state.isSilent && !this.isCut) to.destroy() })
    from.on('close', () => {
      this.#sockets.delete(from)
      if (!state.isSilent && !this.isCut) to.destroySoon()
    })
  }
}

/**
 * Finds out whether the process of an upstream still listens, after a connection to it has ended.
 */
import { connect } from 'node:net'

/** Time after which an address that does not answer counts as one without a listener, in milliseconds. */
const connectTimeoutMilliseconds = 500

/** True if a process accepts connections at the address (`ip:port`). Sends nothing. */
export async function acceptsConnections (address: string): Promise<boolean> {
  const separator = address.lastIndexOf(':')
  const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) })
  socket.setTimeout(connectTimeoutMilliseconds)
  return await new Promise(resolve => {
    const settle = (isAccepted: boolean): void => {
      resolve(isAccepted)
      socket.destroy()
    }
    socket.once('connect', () => settle(true))
    socket.once('timeout', () => settle(false))
    // A listener that is full may reset a connection right after accepting it.
    socket.on('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNRESET'))
  })
}

/**
 * Finds out whether the process of an upstream still listens, after a connection to it has ended.
 */
import { connect } from 'node:net'

/** Time after which an address that does not answer counts as one without a listener, in milliseconds. */
const connectTimeoutMilliseconds = 500

/**
 * True if a process accepts connections at the address (`ip:port`), or if the signal aborts before this is known. Sends
 * nothing. Takes up to 500 ms.
 */
export async function acceptsConnections (address: string, signal?: AbortSignal): Promise<boolean> {
  if (signal?.aborted) return true
  const separator = address.lastIndexOf(':')
  const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) })
  socket.setTimeout(connectTimeoutMilliseconds)
  return await new Promise(resolve => {
    const giveUp = (): void => settle(true)
    const settle = (isAccepted: boolean): void => {
      signal?.removeEventListener('abort', giveUp)
      resolve(isAccepted)
      socket.destroy()
    }
    signal?.addEventListener('abort', giveUp, { once: true })
    socket.once('connect', () => settle(true))
    socket.once('timeout', () => settle(false))
    // A listener that is full may reset a connection right after accepting it.
    socket.on('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNRESET'))
  })
}

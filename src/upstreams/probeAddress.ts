/**
 * Finds out whether the process of an upstream still listens, after a connection to it has ended.
 */
import { connect } from 'node:net'

/** Time limit for an answer, in milliseconds. */
const connectTimeoutMilliseconds = 500

/**
 * `accepts`: a process accepts connections; `refuses`: the machine runs, but no process listens; `silent`: nothing is known,
 * since the machine is gone or cut off, or the process is too busy to accept a connection in time.
 */
export type AddressState = 'accepts' | 'refuses' | 'silent'

/**
 * Opens a connection to the address (`ip:port`) and closes it; sends nothing. Takes up to 500 ms, and resolves to `silent` if
 * the signal aborts before.
 */
export async function probeAddress (address: string, signal?: AbortSignal): Promise<AddressState> {
  if (signal?.aborted) return 'silent'
  const separator = address.lastIndexOf(':')
  const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) })
  socket.setTimeout(connectTimeoutMilliseconds)
  return await new Promise(resolve => {
    const giveUp = (): void => settle('silent')
    const settle = (state: AddressState): void => {
      signal?.removeEventListener('abort', giveUp)
      resolve(state)
      socket.destroy()
    }
    signal?.addEventListener('abort', giveUp, { once: true })
    socket.once('connect', () => settle('accepts'))
    socket.once('timeout', giveUp)
    socket.on('error', (error: NodeJS.ErrnoException) => settle(stateOfError(error)))
  })
}

function stateOfError ({ code }: NodeJS.ErrnoException): AddressState {
  // A listener that is full may reset a connection right after accepting it.
  if (code === 'ECONNRESET') return 'accepts'
  return code === 'ECONNREFUSED' ? 'refuses' : 'silent'
}

/** True if a process accepts connections at the address (`ip:port`). */
export async function acceptsConnections (address: string): Promise<boolean> {
  return await probeAddress(address) === 'accepts'
}

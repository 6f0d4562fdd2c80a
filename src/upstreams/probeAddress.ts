/**
 * Finds out whether the process of an upstream still listens, after a connection to it has ended.
 */
import { connect } from 'node:net'

/** Time limit for the opening of a connection, in milliseconds. */
const connectTimeoutMilliseconds = 500

/**
 * Time for which an open connection is watched until its peer closes it, in milliseconds. While a process ends, the operating
 * system may open connections for it and reset them when it closes the listener.
 */
const watchMilliseconds = 50

/** Number of connections that are reset in a row before the listener counts as full. */
const maxResets = 3

/**
 * `accepts`: a process accepts connections; `refuses`: the machine runs, but no process listens; `silent`: nothing is known,
 * since the machine is gone or cut off, or the process is too busy to accept a connection in time.
 */
export type AddressState = 'accepts' | 'refuses' | 'silent'

/**
 * Opens a connection to the address (`ip:port`) and closes it; sends nothing. Takes up to 550 ms for each of at most three
 * connections, and resolves to `silent` at once if the signal aborts.
 */
export async function probeAddress (address: string, signal?: AbortSignal): Promise<AddressState> {
  for (let resets = 0; resets < maxResets; resets += 1) {
    const state = await probeOnce(address, signal)
    if (state !== 'reset') return state
  }
  return 'accepts'
}

async function probeOnce (address: string, signal?: AbortSignal): Promise<AddressState | 'reset'> {
  if (signal?.aborted) return 'silent'
  const separator = address.lastIndexOf(':')
  const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) })
  let stateAtTimeout: AddressState = 'silent'
  socket.setTimeout(connectTimeoutMilliseconds)
  return await new Promise(resolve => {
    const giveUp = (): void => settle('silent')
    const settle = (state: AddressState | 'reset'): void => {
      signal?.removeEventListener('abort', giveUp)
      resolve(state)
      socket.destroy()
    }
    signal?.addEventListener('abort', giveUp, { once: true })
    socket.once('connect', () => {
      stateAtTimeout = 'accepts'
      socket.setTimeout(watchMilliseconds)
      // A process that has accepted the connection closes it too.
      socket.resume().end()
    })
    socket.once('end', () => settle('accepts'))
    // After a delay of the event loop, timers run before the events of the socket that are already due.
    socket.once('timeout', () => { setImmediate(() => settle(stateAtTimeout)) })
    socket.on('error', (error: NodeJS.ErrnoException) => settle(stateOfError(error)))
  })
}

function stateOfError ({ code }: NodeJS.ErrnoException): AddressState | 'reset' {
  if (code === 'ECONNRESET') return 'reset'
  return code === 'ECONNREFUSED' ? 'refuses' : 'silent'
}

/** True if a process accepts connections at the address (`ip:port`). */
export async function acceptsConnections (address: string): Promise<boolean> {
  return await probeAddress(address) === 'accepts'
}

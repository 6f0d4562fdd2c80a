/**
 * Serves an HTTP application, the one for callers or the one for operators, on its addresses.
 */
import type { AddressInfo } from 'node:net'
import { getRequestListener } from '@hono/node-server'
import type { ClientIntake } from '../intake/index.js'
import { GracefulServer } from './GracefulServer.js'

/** Options of `serve`. */
export interface ServeOptions {
  application: { fetch: (request: Request, ...rest: any[]) => Response | Promise<Response> }
  /** Each as `ip:port`; with port 0 the operating system chooses a free port. */
  addresses: readonly string[]
  /** Headers up to twice this size reach the application, which rejects those above the size; Node rejects larger ones. */
  maxHeaderBytes: number
  /** Limits on what the callers may take of the host. Default: none. */
  intake?: ClientIntake
}

/** The servers that `serve` started, one for each address. */
export interface ListeningServer {
  /** The addresses as `ip:port`, with the ports that are in use. */
  addresses: string[]
  /** Stops accepting connections, closes each open one after its open requests, and resolves when all have closed. */
  close: () => Promise<void>
}

/** Idle time after which TCP keep-alive probes a connection, to detect callers that vanished without closing it. */
const tcpKeepAliveDelayMilliseconds = 15_000

/** Time limit for a caller to send its headers. */
const headersTimeoutMilliseconds = 10_000

/** Time limit for a caller to send headers and body. */
const requestTimeoutMilliseconds = 60_000

/** Time after which an idle HTTP connection is closed. */
const keepAliveTimeoutMilliseconds = 65_000

/** Listens on all addresses. Throws the listen error, and listens on none, if one address cannot be used. */
export async function serve (options: ServeOptions): Promise<ListeningServer> {
  const servers: GracefulServer[] = []
  const close = async (): Promise<void> => {
    await Promise.all(servers.map(server => server.closeGracefully()))
  }
  try {
    for (const address of options.addresses) servers.push(await listen(options, address))
  } catch (caught) {
    await close()
    throw caught
  }
  return { addresses: servers.map(addressOf), close }
}

async function listen (options: ServeOptions, address: string): Promise<GracefulServer> {
  const separator = address.lastIndexOf(':')
  const handler = getRequestListener(options.application.fetch, { overrideGlobalObjects: false })
  const server = new GracefulServer({
    maxHeaderSize: options.maxHeaderBytes * 2,
    keepAlive: true,
    keepAliveInitialDelay: tcpKeepAliveDelayMilliseconds,
    noDelay: true,
    headersTimeout: headersTimeoutMilliseconds,
    keepAliveTimeout: keepAliveTimeoutMilliseconds,
    requestTimeout: requestTimeoutMilliseconds
  }, options.intake === undefined ? handler : undefined)
  options.intake?.serve(server, (message, response) => { handler(message, response) })
  options.intake?.configure(server, keepAliveTimeoutMilliseconds)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(separator + 1)), address.slice(0, separator).replace(/^\[|\]$/g, ''), () => {
      server.off('error', reject)
      resolve()
    })
  })
  return server
}

function addressOf (server: GracefulServer): string {
  const { address, family, port } = server.address() as AddressInfo
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`
}

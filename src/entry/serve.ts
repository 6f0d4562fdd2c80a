/**
 * Serves an HTTP application, the one for callers or the one for operators, on its addresses.
 */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createAdaptorServer } from '@hono/node-server'

/** Options of `serve`. */
export interface ServeOptions {
  application: { fetch: (request: Request, ...rest: any[]) => Response | Promise<Response> }
  /** Each as `ip:port`; with port 0 the operating system chooses a free port. */
  addresses: readonly string[]
  /** Headers up to twice this size reach the application, which rejects those above the size; Node rejects larger ones. */
  maxHeaderBytes: number
}

/** The servers that `serve` started, one for each address. */
export interface ListeningServer {
  /** The addresses as `ip:port`, with the ports that are in use. */
  addresses: string[]
  /** Stops accepting connections, closes idle ones and resolves when all connections have closed. */
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
  const servers: Server[] = []
  const closingServers = new Set<Server>()
  const close = async (): Promise<void> => {
    await Promise.all(servers.map(server => new Promise<void>(resolve => {
      server.close(() => { resolve() })
      server.closeIdleConnections()
      // A response whose headers were sent before has no `connection: close`, so its connection is closed when it ends.
      closingServers.add(server)
    })))
  }
  try {
    for (const address of options.addresses) {
      const server = await listen(options, address)
      servers.push(server)
      server.on('request', (_request, response) => {
        response.once('close', () => { if (closingServers.has(server)) server.closeIdleConnections() })
      })
    }
  } catch (caught) {
    await close()
    throw caught
  }
  return { addresses: servers.map(addressOf), close }
}

async function listen (options: ServeOptions, address: string): Promise<Server> {
  const separator = address.lastIndexOf(':')
  const server = createAdaptorServer({
    fetch: options.application.fetch,
    createServer,
    overrideGlobalObjects: false,
    serverOptions: {
      maxHeaderSize: options.maxHeaderBytes * 2,
      keepAlive: true,
      keepAliveInitialDelay: tcpKeepAliveDelayMilliseconds,
      noDelay: true,
      headersTimeout: headersTimeoutMilliseconds,
      keepAliveTimeout: keepAliveTimeoutMilliseconds,
      requestTimeout: requestTimeoutMilliseconds
    }
  }) as Server
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(separator + 1)), address.slice(0, separator).replace(/^\[|\]$/g, ''), () => {
      server.off('error', reject)
      resolve()
    })
  })
  return server
}

function addressOf (server: Server): string {
  const { address, family, port } = server.address() as AddressInfo
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`
}

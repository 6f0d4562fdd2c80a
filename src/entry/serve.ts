/**
 * Listens on the addresses of an HTTP application: the callers' one and the operators' one.
 */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createAdaptorServer } from '@hono/node-server'

/** Options of `serve`. */
export interface ServeOptions {
  application: { fetch: (request: Request, ...rest: any[]) => Response | Promise<Response> }
  /** `ip:port` each; port 0 lets the system choose. */
  addresses: readonly string[]
  /** Headers above this size are answered by the application, those above twice of it by Node. */
  maxHeaderBytes: number
}

/** A listening server. */
export interface ListeningServer {
  /** The actual addresses. */
  addresses: string[]
  /** Stops accepting connections and resolves when the open ones have ended. */
  close: () => Promise<void>
}

/** Idle time after which the system probes a connection, to notice callers that are gone. */
const probeAfterMilliseconds = 15_000

/** Time for a caller to send its headers. */
const headersTimeoutMilliseconds = 10_000

/** Time for a caller to send headers and body. */
const requestTimeoutMilliseconds = 60_000

/** Idle connections are closed after this time. */
const keepAliveMilliseconds = 65_000

/** Listens on all addresses, or on none if one of them cannot be used. */
export async function serve (options: ServeOptions): Promise<ListeningServer> {
  const servers: Server[] = []
  const closing = new Set<Server>()
  const close = async (): Promise<void> => {
    await Promise.all(servers.map(server => new Promise<void>(resolve => {
      server.close(() => { resolve() })
      server.closeIdleConnections()
      // Heads that were sent before cannot say that the connection is not kept.
      closing.add(server)
    })))
  }
  try {
    for (const address of options.addresses) {
      const server = await listen(options, address)
      servers.push(server)
      server.on('request', (_request, response) => {
        response.once('close', () => { if (closing.has(server)) server.closeIdleConnections() })
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
      keepAliveInitialDelay: probeAfterMilliseconds,
      noDelay: true,
      headersTimeout: headersTimeoutMilliseconds,
      keepAliveTimeout: keepAliveMilliseconds,
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

/**
 * Runs a platform host with a fake store and fake workers, for tests.
 */
import { type AddressInfo, connect, createServer, type Socket } from 'node:net'
import type { Clock } from '../../common/index.js'
import { PlatformHost } from '../PlatformHost.js'
import { type PlatformSettings, platformSettingsSchema } from '../PlatformSettings.js'
import { FakeStore } from './FakeStore.js'
import { FakeWorker, parseHeaders } from './FakeWorker.js'

interface ConfigurationOverrides { routes?: unknown[], limits?: Record<string, number>, tenants?: unknown }

/** The operators' configuration of the tests. */
export function configurationDocument (version: number, overrides: ConfigurationOverrides = {}) {
  const route = (name: string, prefix: string, kind: string, fields: Record<string, unknown> = {}) => ({
    name,
    host: 'forum.example',
    'path-prefix': prefix,
    kind,
    'timeout-ms': 5000,
    'target-latency-ms': 500,
    service: 'app',
    'max-attempts': 2,
    ...fields
  })
  return {
    version,
    routes: [
      route('reads', '/reads/', 'safe'),
      route('votes', '/votes/', 'non_idempotent', { 'max-attempts': 1 }),
      route('answers', '/answers/', 'streaming', { resumable: true, service: 'llm' }),
      route('tags', '/tags/', 'streaming', { resumable: false, service: 'llm', 'max-attempts': 1 }),
      ...overrides.routes ?? []
    ],
    services: [{ name: 'app' }, { name: 'llm', engine: { models: [{ name: 'm' }] } }],
    limits: {
      'max-header-bytes': 4096, 'max-body-bytes': 10_000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000, ...overrides.limits
    },
    ...(overrides.tenants === undefined ? {} : { tenants: overrides.tenants })
  }
}

/** Options of `startPlatform`. */
export interface PlatformTestOptions {
  clock?: Clock
  /** Number of workers of the service without models. */
  appWorkers?: number
  /** Number of workers of the service with a model. */
  modelWorkers?: number
  /** The operators' configuration; `null`: none, so that the host does not become ready. */
  configuration?: unknown
  /** Slack of the retry budget; by default more than a test uses up. */
  retrySlack?: number
  /** True if the host listens for other hosts, schedules prompts and grants permits. */
  hasPeers?: boolean
  /** Time from the start of a stop until the platform kills the process. */
  graceSeconds?: number
}

/** A host with its store and workers. */
export interface PlatformTest {
  host: PlatformHost
  store: FakeStore
  /** Workers of the service without models. */
  app: FakeWorker[]
  /** Workers of the service with a model. */
  models: FakeWorker[]
  stop: () => Promise<void>
}

/** Starts the store, the workers and a host, and waits until the host is ready. */
export async function startPlatform (options: PlatformTestOptions = {}): Promise<PlatformTest> {
  const store = await FakeStore.start()
  const startWorkers = async (prefix: string, count: number): Promise<FakeWorker[]> =>
    await Promise.all(Array.from({ length: count }, (_, index) => FakeWorker.start(`${prefix}-${index}`)))
  const app = await startWorkers('app', options.appWorkers ?? 2)
  const models = await startWorkers('llm', options.modelWorkers ?? 2)
  for (const worker of app) store.write('keyed.servers', worker.id, worker.createEntry('app'))
  for (const worker of models) store.write('keyed.servers', worker.id, worker.createEntry('llm', { stage: 'colocated' }))
  if (options.configuration !== null) store.write('keyed.op', 'config', options.configuration ?? configurationDocument(1))
  const host = await startHost(store, options)
  if (options.configuration !== null) await waitUntil(() => host.isReady)
  const stop = async (): Promise<void> => {
    await host.close()
    await Promise.all([...app, ...models].map(async worker => await worker.stop()))
    await store.stop()
  }
  return { host, store, app, models, stop }
}

/** Settings of a host on a store. */
export function testSettings (
  store: FakeStore,
  { name = 'host-1', retrySlack = 1000, graceSeconds = 8 }: { name?: string } & Partial<PlatformTestOptions> = {},
  peers: { peers?: string } = {}
): PlatformSettings {
  return platformSettingsSchema.parse({
    host: { id: name, zone: 'zone-a', region: 'coast' },
    listen: { callers: '127.0.0.1:0', readiness: '127.0.0.1:0', ...peers },
    store: { address: store.address },
    bounds: { graceSeconds, retryRatio: 0.2, retrySlack, stableWindowMilliseconds: 3000, leaseMilliseconds: 3000 },
    log: { level: 'error' }
  })
}

/** Starts a host on a store. */
export async function startHost (
  store: FakeStore,
  options: { name?: string } & Partial<PlatformTestOptions> = {}
): Promise<PlatformHost> {
  const peers = options.hasPeers === true ? { peers: await unusedAddress() } : {}
  const host = await PlatformHost.create(testSettings(store, options, peers), options.clock)
  await host.start()
  return host
}

/** An address with a port that nothing listens on. Other hosts have to know it before its host listens. */
export async function unusedAddress (): Promise<string> {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise<void>(resolve => { server.close(() => { resolve() }) })
  return `127.0.0.1:${port}`
}

/** Polls until the condition holds. */
export async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}

/** A response as parsed from the bytes received. */
export interface RawResponse { status: number, headers: Record<string, string>, body: string }

/** A caller's connection that gives tests access to the bytes received. */
export class RawCaller {
  received = ''
  closed = false
  private constructor (readonly socket: Socket) {
    socket.on('data', bytes => { this.received += bytes.toString('latin1') })
    socket.on('close', () => { this.closed = true })
    socket.on('error', () => {})
  }

  static async connect (address: string): Promise<RawCaller> {
    const separator = address.lastIndexOf(':')
    const socket = connect(Number(address.slice(separator + 1)), address.slice(0, separator))
    await new Promise<void>((resolve, reject) => {
      socket.once('connect', resolve)
      socket.once('error', reject)
    })
    return new RawCaller(socket)
  }

  /** Sends a request. */
  send (method: string, path: string, headers: Record<string, string> = {}, body?: string): void {
    const fields = { host: 'forum.example', ...headers, ...(body === undefined ? {} : { 'content-length': String(body.length) }) }
    const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    this.socket.write(`${method} ${path} HTTP/1.1\r\n${lines}\r\n${body ?? ''}`)
  }

  /**
   * Waits for the next complete response and removes it from the received bytes. Throws if the connection closes first.
   */
  async readResponse (): Promise<RawResponse> {
    for (;;) {
      const end = this.received.indexOf('\r\n\r\n')
      const [statusLine = '', ...lines] = this.received.slice(0, Math.max(0, end)).split('\r\n')
      const headers = parseHeaders(lines)
      if (headers['transfer-encoding'] === 'chunked' && this.received.endsWith('0\r\n\r\n')) {
        const chunks = this.received.slice(end + 4)
        this.received = ''
        return { status: Number(statusLine.split(' ')[1]), headers, body: chunks.replace(/(^|\r\n)[0-9a-f]+\r\n/g, '').trimEnd() }
      }
      const length = headers['transfer-encoding'] === 'chunked' ? Infinity : Number(headers['content-length'] ?? 0)
      if (end >= 0 && this.received.length >= end + 4 + length) {
        const body = this.received.slice(end + 4, end + 4 + length)
        this.received = this.received.slice(end + 4 + length)
        return { status: Number(statusLine.split(' ')[1]), headers, body }
      }
      if (this.closed) throw new Error(`the connection was closed before a complete response; received ${JSON.stringify(this.received)}`)
      await new Promise(resolve => setTimeout(resolve, 2))
    }
  }
}

/** Header fields of a request with the given id and a deadline. */
export function requestHeaders (id: string, overrides: Record<string, string> = {}): Record<string, string> {
  return { 'dogwooddale-request-id': id, 'dogwooddale-deadline-ms': '4000', ...overrides }
}

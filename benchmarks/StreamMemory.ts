/**
 * Measures the memory of a host while it serves many open streams.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Deployment } from '../src/testing/index.js'
import { tokenOf } from '../src/testing/index.js'
import { readBytesOf, residentBytesOf } from './ProcessUse.js'

/** The streams that a measurement opens. */
export interface StreamOptions {
  team: string
  streams: number
  maxTokens: number
  /** True if the callers read nothing. The measurement then ends as soon as the host waits for all callers. */
  silent: boolean
  /** Upper bound of the number of memory samples, one every 750 ms. */
  maxSamples: number
}

/** Result of a measurement: resident memory of the host, and bytes that it read. */
export interface StreamMemory {
  streams: number
  /** Memory before the streams were opened. */
  idleBytes: number
  /** Memory samples while the streams were open, in the order of time. */
  openBytes: number[]
  /** Memory after all callers disconnected. */
  afterBytes: number
  /** Bytes that the host read while the streams were open. */
  readBytes: number
  /** Read rate during the last sample; near 0 when every stream waits for its caller. */
  lastReadBytesPerSecond: number
}

const sampleMilliseconds = 750
/** Read rate below which a host transfers no tokens; the remaining bytes come from polling. */
const idleReadBytesPerSecond = 100_000
const settleMilliseconds = 1500

/**
 * Opens one stream on a connection of its own. Resolves when the first bytes of the response arrive; for a silent caller,
 * when the request is written.
 */
async function openStream (deployment: Deployment, options: StreamOptions, index: number): Promise<Socket> {
  const body = JSON.stringify({
    model: deployment.options.model,
    prompt: `why is the water of tank ${index} cloudy`,
    max_tokens: options.maxTokens,
    stream: true
  })
  const [host] = deployment.hosts.values()
  const [address = '', port] = host!.address('callers').split(':')
  const socket = connect(Number(port), address)
  socket.on('error', () => {})
  const head = [
    'POST /v1/completions HTTP/1.1', `host: ${address}`, `authorization: Bearer ${tokenOf(options.team)}`,
    'x-timeout-ms: 120000', 'content-type: application/json', `content-length: ${Buffer.byteLength(body)}`, '', ''
  ]
  // Node.js does not read from a socket without a listener for data, so the buffers of the kernel fill up.
  await new Promise<void>(resolve => socket.write(head.join('\r\n') + body, () => resolve()))
  if (options.silent) return socket
  const [firstChunk] = await once(socket, 'data') as [Buffer]
  if (!firstChunk.toString('latin1').startsWith('HTTP/1.1 200')) throw new Error(`a stream was not opened: ${firstChunk.toString('utf8')}`)
  return socket.resume()
}

/** Opens the streams, samples the host's memory, and closes the streams. */
export async function measureStreams (deployment: Deployment, options: StreamOptions): Promise<StreamMemory> {
  const [host] = deployment.hosts.values()
  const pid = host!.pid
  await sleep(settleMilliseconds)
  const idleBytes = residentBytesOf(pid)
  const sockets = await Promise.all(Array.from({ length: options.streams }, (_, index) => openStream(deployment, options, index)))
  const openBytes: number[] = []
  const initialReadBytes = readBytesOf(pid)
  let previousReadBytes = initialReadBytes
  let lastReadBytesPerSecond = Infinity
  while (openBytes.length < options.maxSamples && !(options.silent && lastReadBytesPerSecond < idleReadBytesPerSecond)) {
    await sleep(sampleMilliseconds)
    openBytes.push(residentBytesOf(pid))
    const currentReadBytes = readBytesOf(pid)
    lastReadBytesPerSecond = (currentReadBytes - previousReadBytes) / sampleMilliseconds * 1000
    previousReadBytes = currentReadBytes
  }
  for (const socket of sockets) socket.destroy()
  await sleep(settleMilliseconds)
  const afterBytes = residentBytesOf(pid)
  return {
    streams: options.streams,
    idleBytes,
    openBytes,
    afterBytes,
    readBytes: previousReadBytes - initialReadBytes,
    lastReadBytesPerSecond
  }
}

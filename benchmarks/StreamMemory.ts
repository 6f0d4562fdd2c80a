/**
 * Memory of a host that has many open streams.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Deployment } from '../src/testing/index.js'
import { tokenOf } from '../src/testing/index.js'
import { readBytesOf, residentBytesOf } from './ProcessUse.js'

/** Streams to open. */
export interface StreamOptions {
  team: string
  streams: number
  maxTokens: number
  /** True if the callers read nothing; the measurement then ends early when the host waits for all of them. */
  silent: boolean
  /** Samples of the memory, one every 750 ms. */
  maxSamples: number
}

/** Memory of the host in bytes. */
export interface StreamMemory {
  streams: number
  idleBytes: number
  /** While the streams were open, in the order of time. */
  openBytes: number[]
  /** After all callers left. */
  afterBytes: number
  /** Bytes that the host read while the streams were open. */
  readBytes: number
  /** Bytes per second that it read in the last sample; near 0 when all streams wait for their callers. */
  lastReadRate: number
}

const sampleMilliseconds = 750
/** A host that reads less than this, in bytes per second, only polls. */
const idleReadRate = 100_000
const settleMilliseconds = 1500

/** Opens one stream on a connection of its own. Resolves when the request was written, or with the first bytes of the answer. */
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
  // A socket without a reader is never read from, so the system's buffers fill up.
  await new Promise<void>(resolve => socket.write(head.join('\r\n') + body, () => resolve()))
  if (options.silent) return socket
  const [first] = await once(socket, 'data') as [Buffer]
  if (!first.toString('latin1').startsWith('HTTP/1.1 200')) throw new Error(`a stream was not opened: ${first.toString('utf8')}`)
  return socket.resume()
}

/** Opens the streams, watches the host's memory and closes them. */
export async function measureStreams (deployment: Deployment, options: StreamOptions): Promise<StreamMemory> {
  const [host] = deployment.hosts.values()
  const pid = host!.pid
  await sleep(settleMilliseconds)
  const idleBytes = residentBytesOf(pid)
  const sockets = await Promise.all(Array.from({ length: options.streams }, (_, index) => openStream(deployment, options, index)))
  const openBytes: number[] = []
  const readBefore = readBytesOf(pid)
  let readSoFar = readBefore
  let lastReadRate = Infinity
  while (openBytes.length < options.maxSamples && !(options.silent && lastReadRate < idleReadRate)) {
    await sleep(sampleMilliseconds)
    openBytes.push(residentBytesOf(pid))
    const read = readBytesOf(pid)
    lastReadRate = (read - readSoFar) / sampleMilliseconds * 1000
    readSoFar = read
  }
  for (const socket of sockets) socket.destroy()
  await sleep(settleMilliseconds)
  const afterBytes = residentBytesOf(pid)
  return { streams: options.streams, idleBytes, openBytes, afterBytes, readBytes: readSoFar - readBefore, lastReadRate }
}

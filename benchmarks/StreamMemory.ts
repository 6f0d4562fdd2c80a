/**
 * Memory of a host that has many open streams.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Deployment } from '../src/testing/index.js'
import { tokenOf } from '../src/testing/index.js'
import { residentBytesOf } from './ProcessUse.js'

/** Streams to open. */
export interface StreamOptions {
  team: string
  streams: number
  maxTokens: number
  /** True if the callers read nothing. */
  silent: boolean
}

/** Memory of the host in bytes. */
export interface StreamMemory {
  streams: number
  idleBytes: number
  /** While the streams were open, in the order of time. */
  openBytes: number[]
  /** After all callers left. */
  afterBytes: number
  /** Tokens that the engines generated, summed over the streams. */
  generatedTokens: number
}

const samples = 8
const sampleMilliseconds = 750
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

async function generatedTokensOf (deployment: Deployment): Promise<number> {
  const lists = await Promise.all([...deployment.engines.values()].map(async engine => {
    const answer = await fetch(`${engine.origin()}/requests`)
    return (await answer.json() as { requests: Array<{ position: number }> }).requests
  }))
  return lists.flat().reduce((sum, { position }) => sum + position, 0)
}

/** Opens the streams, watches the host's memory and closes them. */
export async function measureStreams (deployment: Deployment, options: StreamOptions): Promise<StreamMemory> {
  const [host] = deployment.hosts.values()
  const pid = host!.pid
  await sleep(settleMilliseconds)
  const idleBytes = residentBytesOf(pid)
  const tokensBefore = await generatedTokensOf(deployment)
  const sockets = await Promise.all(Array.from({ length: options.streams }, (_, index) => openStream(deployment, options, index)))
  const openBytes: number[] = []
  for (let sample = 0; sample < samples; sample += 1) {
    await sleep(sampleMilliseconds)
    openBytes.push(residentBytesOf(pid))
  }
  const generatedTokens = await generatedTokensOf(deployment) - tokensBefore
  for (const socket of sockets) socket.destroy()
  await sleep(settleMilliseconds)
  return { streams: options.streams, idleBytes, openBytes, afterBytes: residentBytesOf(pid), generatedTokens }
}

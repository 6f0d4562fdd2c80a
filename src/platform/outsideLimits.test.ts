/**
 * Guards against clients outside the limits that end a host, take the memory of its machine or its descriptors, or keep
 * it from serving others. The host is a process of its own. The crowds and bounds were determined on the code without
 * limits, where each of the cases failed.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { descriptorsOf, FloodClient, type FloodClientOptions, peakMegabytesOf } from '../testing/index.js'
import { FakeStore } from './testing/FakeStore.js'
import { FakeWorker } from './testing/FakeWorker.js'
import { HostProcess } from './testing/HostProcess.js'
import { configurationDocument, RawCaller, requestHeaders } from './testing/platformTestSupport.js'

/** Memory of the machine in the host's settings, that of the smallest machines; also the bound on its resident memory. */
const memoryMegabytes = 202

/** Limit of descriptors in the host's settings, and the bound on what it may have open. */
const descriptors = 256

const maxBodyBytes = 4_194_304

let store: FakeStore
let worker: FakeWorker
let host: HostProcess
let crowd: FloodClient[] = []

beforeEach(async () => {
  store = await FakeStore.start()
  worker = await FakeWorker.start('app-0')
  store.write('keyed.servers', worker.id, worker.createEntry('app'))
  store.write('keyed.op', 'config', configurationDocument(1, { limits: { 'max-body-bytes': maxBodyBytes, 'idle-timeout-ms': 2000 } }))
  host = await HostProcess.start({ storeAddress: store.address, limits: { memoryMegabytes, descriptors } })
  await expectServes()
})

afterEach(async () => {
  for (const client of crowd) client.close()
  await host.stop()
  await worker.stop()
  await store.stop()
})

const head = (id: string, fields: string, request = 'POST /votes/1'): string =>
  `${request} HTTP/1.1\r\nhost: forum.example\r\ndogwooddale-request-id: ${id}\r\ndogwooddale-deadline-ms: 4000\r\n${fields}\r\n`

const chunked = 'transfer-encoding: chunked\r\n'

/** The given number of bytes in chunks of a chunked body, which does not end. */
function * chunks (chunkBytes: number, totalBytes: number): Generator<Buffer> {
  const chunk = Buffer.from(`${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`)
  const perPiece = Math.max(1, Math.floor(65_536 / chunk.length))
  const piece = Buffer.concat(Array.from({ length: perPiece }, () => chunk))
  for (let sent = 0; sent < totalBytes; sent += perPiece * chunkBytes) yield piece
}

function * unfinishedBody (index: number, chunkBytes: number, totalBytes: number): Generator<Buffer | string> {
  yield head(`body-${index}`, chunked)
  yield * chunks(chunkBytes, totalBytes)
}

/** A body far over the limit, announced and sent or sent without its length, with or without a question before it. */
function * oversizedBody (index: number): Generator<Buffer | string> {
  const isAnnounced = index % 2 === 0
  const expects = index % 4 < 2 ? 'expect: 100-continue\r\n' : ''
  yield head(`large-${index}`, `${expects}${isAnnounced ? `content-length: ${20 * maxBodyBytes}\r\n` : chunked}`)
  yield * isAnnounced ? Array.from({ length: 20 * 64 }, () => Buffer.alloc(65_536, 'x')) : chunks(65_536, 20 * maxBodyBytes)
}

function * pipelinedRequests (index: number, count: number): Generator<string> {
  for (let sent = 0; sent < count; sent += 1) yield head(`ahead-${index}-${sent}`, '', `GET /reads/${sent}`)
}

/** Sends ordinary requests until the host answers one; the host may refuse some while it still handles the crowd. */
async function expectServes (): Promise<void> {
  for (let count = 0; ; count += 1) {
    const caller = await RawCaller.connect(host.address)
    caller.send('POST', '/votes/1', requestHeaders(`ordinary-${count}`), 'yes')
    const response = await caller.readResponse().catch(() => undefined)
    caller.socket.destroy()
    if (response?.status === 200) return
    expect(host.isRunning).toBe(true)
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}

const cases: Array<[string, number, (index: number) => Omit<FloodClientOptions, 'address'>]> = [
  ['bodies in large chunks that stop short of their end', 60, index => ({ pieces: unfinishedBody(index, 32_768, 4_100_000), reads: false })],
  ['bodies in chunks of one byte that stop short of their end', 8, index => ({ pieces: unfinishedBody(index, 1, 200_000), reads: false })],
  ['bodies far over the limit', 200, index => ({ pieces: oversizedBody(index), reads: true })],
  ['requests sent ahead whose responses are not read', 60, index => ({ pieces: pipelinedRequests(index, 1000), reads: false })]
]

test.each(cases)('a host stays within its memory and serves others after %s', async (_name, count, optionsOf) => {
  const body = 'y'.repeat(10_000)
  worker.onRequest = request => { request.socket.write(worker.responseTo(request, body)) }
  crowd = Array.from({ length: count }, (_, index) => new FloodClient({ address: host.address, ...optionsOf(index) }))
  await Promise.all(crowd.map(async client => await client.ended))
  await expectServes()
  const use = { running: host.isRunning, megabytes: peakMegabytesOf(host.pid), descriptors: descriptorsOf(host.pid) }
  expect(use.running).toBe(true)
  expect(use.megabytes).toBeLessThan(memoryMegabytes)
  expect(use.descriptors).toBeLessThan(descriptors)
})

/**
 * Guards against work that continues after the caller disconnected, headers without a size limit, a shutdown that does
 * not wait for open requests, and truncated responses of services that look complete. The tests use real connections.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { request as httpRequest, type IncomingMessage } from 'node:http'
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { FakeEngine, startStream, textOf, tokenEvent } from './testing/FakeEngine.js'
import { FakeService } from './testing/FakeService.js'
import { startServer, flushUsageRecords, reefToken, type TestHost, createTestHost } from './testing/TestHost.js'
import { serve } from './serve.js'

let engine: FakeEngine
let service: FakeService
let host: TestHost
let server: Awaited<ReturnType<typeof startServer>>

beforeEach(async () => {
  engine = await FakeEngine.start()
  service = await FakeService.start()
  host = await createTestHost({ engines: [engine.address], services: [service.address], generation: { maxBufferedBytes: 1000 } })
  server = await startServer(host)
})

afterEach(async () => {
  await server.close()
  await host.upstreams.stop()
  await engine.stop()
  await service.stop()
})

interface Call { response: Promise<IncomingMessage>, disconnect: () => void }

function call (method: string, path: string, body = ''): Call {
  const request = httpRequest(`${server.origin}${path}`, { method, headers: { authorization: `Bearer ${reefToken}` }, agent: false })
  const response = new Promise<IncomingMessage>((resolve, reject) => {
    request.once('response', resolve)
    request.once('error', reject)
  })
  response.catch(() => {})
  request.end(body)
  return { response, disconnect: () => request.destroy() }
}

async function readText (response: IncomingMessage): Promise<string> {
  let text = ''
  for await (const part of response) text += String(part)
  return text
}

function completion (stream: boolean): string {
  return JSON.stringify({ model: 'carassius', prompt: 'which fish', max_tokens: 50, stream })
}

describe('when the caller disconnects', () => {
  test.each([['a streaming', true], ['a non-streaming', false]])('the attempt for %s response is cancelled on the engine, recorded once and released from admission', async (_name, streamed) => {
    engine.script = (request, response) => {
      startStream(response)
      response.write(tokenEvent(request, 0) + tokenEvent(request, 1))
    }
    const open = call('POST', '/v1/completions', completion(streamed))
    await engine.waitUntil(() => engine.requests.length === 1)
    if (streamed) await new Promise(resolve => open.response.then(response => response.once('data', resolve), () => {}))
    open.disconnect()
    await engine.waitUntil(() => engine.cancelled.length === 1)
    expect(engine.cancelled[0]).toEqual({ requestId: engine.requests[0]!.request_id, attemptId: engine.requests[0]!.attempt_id })
    expect(await flushUsageRecords(host)).toHaveLength(1)
    expect(host.requests.view()).toEqual([])
    expect(host.admission.runningCount).toBe(0)
  })

  test('a service call with an idempotency key still runs to its end, and a second call with the key receives the same response', async () => {
    const { key } = JSON.parse(await readText(await call('POST', '/keys').response)) as { key: string }
    let finish = (): void => {}
    service.answer = (_run, response) => { finish = () => response.end('done') }
    const headers = { authorization: `Bearer ${reefToken}`, 'idempotency-key': key, 'content-type': 'text/plain' }
    const vote = () => host.application.request('/services/votes/vote', {
      method: 'POST', body: 'yes', headers
    })
    const firstRequest = httpRequest(`${server.origin}/services/votes/vote`, { method: 'POST', headers, agent: false })
    firstRequest.on('error', () => {})
    firstRequest.end('yes')
    await service.waitForRuns(1)
    firstRequest.destroy()
    const secondResponse = vote()
    finish()
    expect(await (await secondResponse).text()).toBe('done')
    expect(service.runs).toHaveLength(1)
  })
})

test('a streaming response arrives with all tokens in order and ends with [DONE]', async () => {
  const response = await call('POST', '/v1/completions', completion(true)).response
  const text = await readText(response)
  expect([...text.matchAll(/"text":"( t\d+)"/g)].map(found => found[1]).join('')).toBe(textOf(50))
  expect(text.endsWith('data: [DONE]\n\n')).toBe(true)
})

test('if a service fails while it sends a long response, the connection of the caller is aborted', async () => {
  service.answer = (_run, response) => {
    response.writeHead(200, { 'content-length': '5000' })
    response.write('x'.repeat(4000), () => response.destroy())
  }
  await expect(call('GET', '/services/votes/tally').response.then(readText)).rejects.toThrow(/aborted|hang up/)
})

test('a service response larger than the buffer limit arrives completely and is recorded once', async () => {
  service.answer = (_run, response) => { response.end('x'.repeat(50_000)) }
  expect(await readText(await call('GET', '/services/votes/tally').response)).toHaveLength(50_000)
  expect(await flushUsageRecords(host)).toHaveLength(1)
})

test('the server rejects headers above twice the limit with status 431', async () => {
  const socket = connect(Number(new URL(server.origin).port), '127.0.0.1')
  socket.write(`GET /v1/models HTTP/1.1\r\nhost: x\r\nx-fill: ${'x'.repeat(20_000)}\r\n\r\n`)
  let response = ''
  for await (const part of socket) response += String(part)
  expect(response).toContain('431')
})

test('close resolves only after the open requests have ended', async () => {
  let finish = (): void => {}
  service.answer = (_run, response) => { finish = () => response.end('done') }
  const open = call('GET', '/services/votes/tally')
  await service.waitForRuns(1)
  const order: string[] = []
  const closed = server.close().then(() => order.push('closed'))
  const drained = host.requests.drain().then(() => order.push('drained'))
  const responseRead = open.response.then(readText).then(text => order.push(text))
  finish()
  await Promise.all([closed, drained, responseRead])
  expect(order[0]).not.toBe('closed')
  expect(order.sort()).toEqual(['closed', 'done', 'drained'])
  server.close = async () => {}
})

describe('close', () => {
  let finishStream = (): void => {}

  /** An application with an endless stream, which `finishStream` ends, and a body that fills the buffers of a connection. */
  const application = {
    fetch: (request: Request): Response => {
      const { pathname } = new URL(request.url)
      if (pathname === '/large') return new Response('x'.repeat(largeBodyBytes))
      if (pathname !== '/stream') return new Response('fine')
      return new Response(new ReadableStream({
        start: controller => {
          controller.enqueue(new TextEncoder().encode('piece'))
          finishStream = () => controller.close()
        }
      }))
    }
  }

  const largeBodyBytes = 40_000_000

  interface OpenConnection { socket: Socket, received: () => number, closed: Promise<void> }

  /** Opens a connection, sends a request unless the path is empty, and counts the bytes that are received. */
  async function open (address: string, path: string): Promise<OpenConnection> {
    const socket = connect(Number(address.split(':').at(-1)), '127.0.0.1')
    await once(socket, 'connect')
    const closed = new Promise<void>(resolve => socket.once('close', () => resolve()))
    socket.on('error', () => {})
    let received = 0
    if (path !== '') socket.write(`GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`)
    if (path !== '') received += (await once(socket, 'data') as [Buffer])[0].length
    socket.on('data', bytes => { received += bytes.length })
    return { socket, received: () => received, closed }
  }

  // Guards against connections that stay usable after the close, so that their requests are cut by the exit.
  test.each([
    ['was never used', ''],
    ['carries a response whose head was sent before', '/stream']
  ])('lets a connection that %s take no further request', async (_name, path) => {
    const { addresses: [address = ''], close } = await serve({ application, addresses: ['127.0.0.1:0'], maxHeaderBytes: 1000 })
    const idle = await open(address, '/idle')
    const connection = await open(address, path)
    const closing = close()
    await idle.closed
    if (path === '/stream') {
      finishStream()
      await connection.closed
    }
    const receivedBefore = connection.received()
    connection.socket.write('GET /late HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n')
    await connection.closed
    expect(connection.received()).toBe(receivedBefore)
    await closing
  })

  // Guards against responses that are cut because they had been ended, but not sent completely.
  test.each([
    ['the server closes', ''],
    ['another response ends during the close', '/stream']
  ])('sends a response completely to a caller that reads slowly when %s', async (_name, otherPath) => {
    const { addresses: [address = ''], close } = await serve({ application, addresses: ['127.0.0.1:0'], maxHeaderBytes: 1000 })
    const other = await open(address, otherPath)
    const slow = await open(address, '/large')
    slow.socket.pause()
    const closing = close()
    if (otherPath === '/stream') {
      finishStream()
      await other.closed
    }
    slow.socket.resume()
    await slow.closed
    expect(slow.received()).toBeGreaterThan(largeBodyBytes)
    other.socket.destroy()
    await closing
  })
})

// Stand-in for a worker of the platform, as a process of its own. It registers through its parent process, which writes its
// entry to the store, and reports to it what it runs. Settings: JSON in the first argument.
import { createServer } from 'node:http'

const settings = JSON.parse(process.argv[2])
const { id, service, zone, host, slots = 64, heartbeatMilliseconds = 1200 } = settings
const born = Date.now()
let { stage } = settings
let state = 'ready'
let report = 0
let orders = 0
let greatestFence = -1
let handles = 0
let perSecond
const open = new Set()

const sleep = async milliseconds => await new Promise(resolve => setTimeout(resolve, milliseconds))
const tell = message => { if (process.connected) process.send(message) }

function beat () {
  if (!server.listening) return
  report += 1
  const { address, port } = server.address()
  const stageFields = stage === undefined ? {} : { stage, models: [{ name: 'm', version: 1, adapters: [] }] }
  const entry = { service, address: `${address}:${port}`, zone, version: 'v1', slots, state, 'cold-left-ms': 0, born, sequence: report, ...stageFields }
  tell({ kind: 'beat', id, entry })
}

function headersOf (request) {
  return {
    'dogwooddale-request-id': request.headers['dogwooddale-request-id'],
    'dogwooddale-server-stamp': `stamp.${id}`,
    ...(perSecond === undefined ? {} : { 'server-limit': String(perSecond) }),
    ...(state === 'draining' ? { 'server-leaving': '1' } : {})
  }
}

function refuse (request, response, status) {
  response.writeHead(status, { ...headersOf(request), 'dogwooddale-not-run': '1', 'content-length': 0 }).end()
}

async function run (request, response, url) {
  const requestId = request.headers['dogwooddale-request-id']
  const events = Number(url.searchParams.get('events') ?? 0)
  const pause = Number(url.searchParams.get('pause') ?? 20)
  const isFramed = url.searchParams.get('framed') !== 'no'
  open.add(response)
  response.once('close', () => open.delete(response))
  tell({ kind: 'run', id, requestId, events, at: Date.now() })
  if (events === 0) {
    await sleep(pause)
    const body = Buffer.from(JSON.stringify({ id: requestId, text: 'x'.repeat(760) }))
    response.writeHead(200, { ...headersOf(request), 'content-type': 'application/json', 'content-length': body.length })
    response.end(body)
    tell({ kind: 'end', id, requestId, at: Date.now() })
    return
  }
  // Without a length and without chunks, the answer ends with its channel.
  if (!isFramed) response.useChunkedEncodingByDefault = false
  if (!isFramed) response.shouldKeepAlive = false
  await sleep(pause)
  response.writeHead(200, { ...headersOf(request), 'content-type': 'text/event-stream' })
  for (let event = 1; event <= events; event += 1) {
    response.write(`id: ${event}\ndata: ${requestId} piece ${event} of ${events}\n\n`)
    if (event < events) await sleep(pause)
    if (response.destroyed) return
  }
  response.end()
  tell({ kind: 'end', id, requestId, at: Date.now() })
}

async function handle (request, response) {
  const url = new URL(request.url, 'http://worker')
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  if (url.pathname === '/v1/report') {
    const body = { stage, models: [{ name: 'm', version: 1, adapters: [] }], busy: false, sequence: orders, 'queue-depth': 0, 'in-flight': open.size, 'kv-used': 0, 'kv-total': 90000, 'kv-handles': 0 }
    return json(response, 200, body)
  }
  if (url.pathname === '/v1/order') {
    const order = JSON.parse(Buffer.concat(chunks))
    tell({ kind: 'order', id, order, at: Date.now() })
    if (order['fencing-token'] < greatestFence) return json(response, 412, {})
    if (order.expect !== undefined && order.expect !== orders) return json(response, 409, {})
    greatestFence = order['fencing-token']
    orders += 1
    stage = order.stage
    beat()
    return json(response, 202, {})
  }
  if (url.pathname === '/v1/kv-events') {
    await sleep(Math.min(1000, Number(request.headers['wait-ms'] ?? 200)))
    return json(response, 200, { epoch: String(born), 'next-token': 0, lost: false, events: [] })
  }
  if (request.method === 'DELETE') return json(response, 200, {})
  if (url.pathname === '/healthz') return response.writeHead(state === 'ready' ? 200 : 503, { 'dogwooddale-instance-id': id }).end()
  const expected = request.headers['dogwooddale-expect-instance']
  if (expected !== undefined && expected !== id) return refuse(request, response, 421)
  const isPrompt = request.headers['dogwooddale-stage'] === 'prefill'
  if (stage !== undefined && isPrompt !== (stage === 'prefill')) return refuse(request, response, 421)
  tell({ kind: 'arrival', id, requestId: request.headers['dogwooddale-request-id'], isPrompt, at: Date.now() })
  if (!isPrompt) return await run(request, response, url)
  await sleep(20)
  handles += 1
  response.writeHead(200, { ...headersOf(request), 'content-type': 'application/json' })
  response.end(JSON.stringify({ 'kv-handle': `${born.toString(16)}${handles.toString(16).padStart(6, '0')}`, tokens: 100, version: 1 }))
}

function json (response, status, body) {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

const server = createServer((request, response) => { handle(request, response).catch(() => response.destroy()) })
server.keepAliveTimeout = 60_000
server.listen(settings.port ?? 0, host, () => {
  beat()
  setInterval(beat, heartbeatMilliseconds).unref()
})

process.on('message', message => {
  if (message.kind === 'limit') perSecond = message.perSecond
  if (message.kind !== 'drain') return
  state = 'draining'
  beat()
  // Serves for the time that the platform guarantees, then until its last answer has been written, and ends.
  setTimeout(async () => {
    while (open.size > 0) await sleep(20)
    tell({ kind: 'leave', id })
    server.close()
    setTimeout(() => process.exit(0), 100)
  }, message.milliseconds)
})
process.on('disconnect', () => process.exit(0))

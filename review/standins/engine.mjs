/**
 * Stand-in of a model worker, as PROTOCOL.md describes it, in a process of its own. Its parent gets its entry and each
 * request that reaches it. With `crashes`, it ends by SIGKILL when it has begun to write an answer on a prompt with the deadly
 * part; `framing` says whether its streams come in chunks or end with their channel.
 */
import { createServer } from 'node:http'

const { id, service, zone, framing, crashes, deadlyPart } = JSON.parse(process.argv[2])
const orderMilliseconds = 3000
const firstEventMilliseconds = 60
const eventMilliseconds = 60
const crashMilliseconds = 30

let stage = 'decode'
let isBusy = false
let orders = 0
let reports = 0
let fence = -1
let handles = 0
const born = Date.now()

function tell (message) {
  return new Promise(resolve => process.send(message, () => resolve()))
}

function report () {
  reports += 1
  const { port } = server.address()
  const models = [{ name: 'm', version: 1, adapters: [] }]
  tell({
    kind: 'entry',
    entry: { service, address: `127.0.0.1:${port}`, zone, version: 'v1', slots: 64, state: 'ready', 'cold-left-ms': 0, stage, models, sequence: reports, born }
  })
}

function sleep (milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

function answer (response, status, body, headers = {}) {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers }).end(text)
}

function takeOrder (response, order) {
  if (order['fencing-token'] < fence) return answer(response, 412, {})
  if (isBusy || order.expect !== orders) return answer(response, 409, {})
  fence = order['fencing-token']
  if (order.stage === stage) return answer(response, 200, {})
  orders += 1
  isBusy = true
  setTimeout(() => {
    stage = order.stage
    isBusy = false
    report()
  }, orderMilliseconds)
  answer(response, 202, {})
}

async function stream (request, response, head) {
  const events = 5 + Number.parseInt(request.headers['dogwooddale-request-id'].slice(-2), 16) % 13
  if (framing === 'channel') response.useChunkedEncodingByDefault = false
  response.writeHead(200, { ...head, 'content-type': 'text/event-stream', 'dogwooddale-server-stamp': `stamp.${id}` })
  await sleep(firstEventMilliseconds)
  for (let event = 1; event <= events && !response.destroyed; event += 1) {
    response.write(`id: ${event}\ndata: ${event}/${events}\n\n`)
    if (crashes && isDeadly(request)) {
      await sleep(crashMilliseconds)
      process.kill(process.pid, 'SIGKILL')
    }
    await sleep(eventMilliseconds)
  }
  response.end()
}

function isDeadly ({ headers }) {
  return (headers['dogwooddale-prompt-prefix'] ?? '').split(',').some(part => part.startsWith(`${deadlyPart}:`))
}

const server = createServer(async (request, response) => {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  const url = new URL(request.url, 'http://worker')
  if (url.pathname === '/v1/report') {
    return answer(response, 200, { stage, models: [{ name: 'm', version: 1, adapters: [] }], busy: isBusy, sequence: orders, 'queue-depth': 0, 'in-flight': 0, 'kv-used': 0, 'kv-total': 533193, 'kv-handles': 0 })
  }
  if (url.pathname === '/v1/order') return takeOrder(response, JSON.parse(Buffer.concat(chunks).toString('utf8')))
  if (url.pathname === '/v1/kv-events') {
    await sleep(Math.min(1000, Number(request.headers['wait-ms'] ?? url.searchParams.get('wait-ms') ?? 0)))
    return answer(response, 200, { epoch: 1, 'next-token': 0, lost: false, events: [] })
  }
  if (request.method === 'DELETE') return answer(response, 200, {})
  const requestId = request.headers['dogwooddale-request-id']
  const head = { 'dogwooddale-request-id': requestId ?? '' }
  if (requestId === undefined) return answer(response, 400, {}, { 'dogwooddale-not-run': '1' })
  const asked = request.headers['dogwooddale-stage'] === 'prefill' ? 'prefill' : 'decode'
  await tell({ kind: 'arrival', id: requestId, stage: asked, isDeadly: isDeadly(request) })
  if (request.headers['dogwooddale-expect-instance'] !== id || asked !== stage) return answer(response, 421, {}, head)
  if (isBusy) return answer(response, 503, {}, { ...head, 'dogwooddale-not-run': '1' })
  if (asked === 'decode') return await stream(request, response, head)
  await sleep(40)
  handles += 1
  answer(response, 200, { 'kv-handle': `${id}${born.toString(16)}${handles.toString(16)}`, tokens: 1460, version: 1 }, head)
})
server.keepAliveTimeout = 15_000
server.listen(0, '127.0.0.1', report)
process.on('disconnect', () => process.exit())

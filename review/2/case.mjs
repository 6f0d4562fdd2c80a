/**
 * One part of some prompts crashes each worker that begins to write an answer on it. The workers' streams have neither a
 * length nor chunks, and each event is written as a whole, so a killed worker's stream ends with a close behind an event.
 * With FRAMING=chunks the workers send chunks instead, for comparison.
 */
import { fork } from 'node:child_process'
import { request as startRequest } from 'node:http'
import { join } from 'node:path'
import { bounds, hasTrouble, Record, runCase, sleep, zones } from '../standins/common.mjs'
import { allReady, Host } from '../standins/hosts.mjs'
import { Store } from '../standins/store.mjs'

const service = 'modelos-foro'
const hostCount = 6
const workerCount = 8
const deadlyPart = 'dead0001'
const sharedPart = 'f00d0001'
/** Requests a second of all callers, and the share of them with the deadly part. */
const perSecond = 30
const deadlyShare = 0.04
const settleMilliseconds = 14_000
const playMilliseconds = 45_000
/** A crashed worker is back after some seconds; its entry goes after three heartbeats of 1.2 s. */
const backMilliseconds = 3000
const entryMilliseconds = 3600
const stableWindowMilliseconds = 3000
const allowedRequests = 3
const framing = process.env.FRAMING ?? 'channel'

const configuration = {
  version: 2,
  routes: [{
    name: 'tag', host: 'forum.example', 'path-prefix': '/tags/', kind: 'streaming', 'timeout-ms': 8000, 'target-latency-ms': 400, priority: 0, service, 'max-attempts': 1, sticky: true, resumable: false, 'gap-aim-ms': 200
  }],
  services: [{
    name: service,
    'health-path': '/healthz',
    'max-conns': 720,
    protocol: 'h1',
    tls: false,
    engine: { slots: 64, 'kv-capacity-tokens': 533193, 'kv-token-bytes': 163840, 'link-mbps': 1600000, stride: 7, most: 12, 'kv-hold-s': 5, 'reconfig-s': 3, 'pin-ms': 4000, 'hold-ms': 2000, models: [{ name: 'm' }] }
  }],
  limits: { 'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }
}

/** Sends a prompt; resolves with the number of its events and whether the answer ended regularly. */
function ask (host, id, parts) {
  return new Promise(resolve => {
    const result = { id, host: host.name, sentAt: performance.now(), status: 'no answer', events: 0, planned: undefined }
    const end = status => { result.status = status; resolve(result) }
    const call = startRequest({
      host: host.ip,
      port: host.front,
      method: 'POST',
      path: `/tags/${id}`,
      agent: false,
      headers: { host: 'forum.example', 'dogwooddale-request-id': id, 'dogwooddale-deadline-ms': '8003', 'dogwooddale-model': 'm', 'dogwooddale-token-counts': '1460,25', 'dogwooddale-prompt-prefix': parts, 'content-length': '2' }
    }, response => {
      let text = ''
      response.on('data', bytes => { text += bytes })
      response.on('end', () => {
        const events = [...text.matchAll(/^data: (\d+)\/(\d+)$/gm)]
        result.events = events.length
        result.planned = events[0] === undefined ? undefined : Number(events[0][2])
        end(response.statusCode)
      })
      response.on('error', () => end('cut'))
    })
    call.on('error', () => end('cut'))
    call.setTimeout(9000, () => call.destroy())
    call.end('{}')
  })
}

await runCase(async ({ directory, defer }) => {
  const record = new Record(join(import.meta.dirname, 'record.txt'))
  record.line(`${hasTrouble ? 'prompts with the deadly part crash workers' : 'the same prompts, none crashes workers'}; streams ${framing === 'channel' ? 'end with their channel' : 'come in chunks'}`)
  const store = await Store.start()
  defer(() => store.stop())
  store.write('keyed.op', 'config', configuration)

  const crashes = []
  const deadlyArrivals = []
  let started = 0
  let isOver = false
  const running = new Set()
  const startWorker = zone => {
    started += 1
    const id = `i-${started.toString(16).padStart(8, '0')}`
    const child = fork(join(import.meta.dirname, '..', 'standins', 'engine.mjs'), [JSON.stringify({ id, service, zone, framing, crashes: hasTrouble, deadlyPart })])
    running.add(child)
    child.on('message', message => {
      if (message.kind === 'entry') store.write('keyed.servers', id, message.entry)
      else if (message.isDeadly) {
        deadlyArrivals.push({ ...message, worker: id, at: performance.now() })
        record.line(`request ${message.id} with the deadly part reaches ${id} (${message.stage})`)
      }
    })
    child.once('exit', async () => {
      running.delete(child)
      if (isOver) return
      crashes.push(performance.now())
      record.line(`crash ${crashes.length}: ${id}`)
      setTimeout(() => { if (!isOver) store.write('keyed.servers', id, undefined) }, entryMilliseconds)
      await sleep(backMilliseconds)
      if (!isOver) startWorker(zone)
    })
  }
  defer(() => {
    isOver = true
    for (const child of running) child.kill('SIGKILL')
  })
  for (let index = 0; index < workerCount; index += 1) startWorker(zones[index % zones.length])
  await sleep(1000)

  const hosts = []
  for (let index = 0; index < hostCount; index += 1) {
    hosts.push(await Host.create({
      name: `edge-${index + 1}`, ip: `127.22.0.${index + 1}`, zone: zones[index % zones.length], region: 'costa', storeAddress: store.address, directory, bounds
    }))
  }
  for (const host of hosts) {
    host.start()
    defer(() => host.stop())
  }
  if (!await allReady(hosts, 15_000)) throw new Error('the hosts are not ready')
  record.line('all hosts are ready')
  await sleep(settleMilliseconds)

  const calls = []
  const results = []
  const end = performance.now() + playMilliseconds
  for (let count = 1; performance.now() < end; count += 1) {
    await sleep(-Math.log(1 - Math.random()) / perSecond * 1000)
    const id = count.toString(16).padStart(16, '0')
    const isDeadly = Math.random() < deadlyShare
    const second = isDeadly ? deadlyPart : `5e5510${(count % 20).toString(16).padStart(2, '0')}`
    const host = hosts[Math.floor(Math.random() * hosts.length)]
    calls.push(ask(host, id, `${sharedPart}:210,${second}:140,${id}:1110`).then(result => { results.push({ ...result, isDeadly }) }))
  }
  await Promise.all(calls)

  const fifth = crashes[4]
  const late = new Set(deadlyArrivals.filter(({ at }) => fifth !== undefined && at > fifth + stableWindowMilliseconds).map(({ id }) => id))
  const lateSent = results.filter(({ id, sentAt }) => late.has(id) && sentAt > fifth + stableWindowMilliseconds)
  const sound = results.filter(({ isDeadly }) => !isDeadly)
  const short = sound.filter(({ status, events, planned }) => status === 200 && planned !== undefined && events < planned)
  const failed = sound.filter(({ status }) => status !== 200)
  record.line(`${results.length} requests, ${results.length - sound.length} with the deadly part; ${crashes.length} crashes`)
  record.line(`${sound.length} sound requests: ${failed.length} refused or failed, ${short.length} answered with fewer events than their worker meant to send`)
  record.line(`BUDGET: ${lateSent.length} requests with the deadly part, sent over ${stableWindowMilliseconds} ms after the fifth crash, reached workers (allowed: ${allowedRequests})`)
  console.log(`crashes: ${crashes.length}, deadly requests that reached workers too late: ${lateSent.length}, sound: ${sound.length}, failed: ${failed.length}, short: ${short.length}`)
  return lateSent.length > allowedRequests
})

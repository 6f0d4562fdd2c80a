/**
 * Workers are replaced one after the other while the open channels to the store go silent once at each replacement. The
 * leaving worker does not report `draining`: its entry is removed, and it serves on for `drain-ms` and a little longer.
 */
import { join } from 'node:path'
import { bounds, configuration, hasTrouble, Record, runCase, send, service, sleep, zones } from '../standins/common.mjs'
import { allReady, Host } from '../standins/hosts.mjs'
import { Link } from '../standins/link.mjs'
import { Store } from '../standins/store.mjs'
import { Worker } from '../standins/worker.mjs'

const hostCount = 12
const replacements = 11
const cycleMilliseconds = 8500
/** Requests a second of all callers, as the sheet of guayas-foro has them. */
const votesPerSecond = 9.55
const readsPerSecond = 7.01
const drainMilliseconds = 2000
const stableWindowMilliseconds = 3000

await runCase(async ({ directory, defer }) => {
  const record = new Record(join(import.meta.dirname, 'record.txt'))
  record.line(hasTrouble ? 'with the disruption' : 'without the disruption')
  const store = await Store.start()
  defer(() => store.stop())
  store.write('keyed.op', 'config', configuration())

  let workerCount = 0
  const workers = []
  const startWorker = async zone => {
    workerCount += 1
    const worker = await Worker.start({
      id: `i-${String(workerCount).padStart(4, '0')}`, service, zone, store, workMilliseconds: () => 10 + Math.random() * 23
    })
    workers.push(worker)
    record.line(`${worker.id} starts in ${zone}`)
  }
  defer(() => { for (const worker of workers) if (worker.exitedAt === undefined) worker.exit() })
  for (const zone of zones) await startWorker(zone)

  const links = []
  const hosts = []
  for (let index = 0; index < hostCount; index += 1) {
    const link = await Link.start(store.address)
    links.push(link)
    defer(() => link.stop())
    hosts.push(await Host.create({
      name: `edge-${index + 1}`,
      ip: `127.20.0.${index + 1}`,
      zone: zones[index % zones.length],
      region: 'costa',
      storeAddress: link.address,
      directory,
      bounds
    }))
  }
  for (const host of hosts) {
    host.start()
    defer(() => host.stop())
  }
  if (!await allReady(hosts, 15_000)) throw new Error('the hosts are not ready')
  record.line('all hosts are ready')

  const sent = new Map()
  const open = new Set()
  const play = { isOver: false }
  const traffic = async (perSecond, method, prefix) => {
    for (let count = 0; !play.isOver; count += 1) {
      await sleep(-Math.log(1 - Math.random()) / perSecond * 1000)
      const host = hosts[Math.floor(Math.random() * hosts.length)]
      const id = `${prefix.slice(1, 2)}${count.toString(16).padStart(15, '0')}`
      const call = send(host, { id, method, path: `${prefix}${count}` }).then(outcome => { sent.set(id, outcome); open.delete(call) })
      open.add(call)
    }
  }
  const callers = [traffic(votesPerSecond, 'POST', '/votes/'), traffic(readsPerSecond, 'GET', '/reads/')]
  await sleep(4000)

  const silences = []
  for (let count = 0; count < replacements; count += 1) {
    const cycleEnd = performance.now() + cycleMilliseconds
    const leaver = workers.find(({ leftAt }) => leftAt === undefined)
    await startWorker(leaver.zone)
    await sleep(1000)
    if (hasTrouble) {
      for (const link of links) link.silenceOpen()
      record.line('the open channels between the hosts and the store go silent; new ones work')
    }
    silences.push(performance.now())
    await sleep(1000)
    record.line(`the store acknowledges that ${leaver.id} is gone`, leaver.leave())
    await sleep(drainMilliseconds + 500 + Math.random() * 1500)
    leaver.exit()
    record.line(`${leaver.id} exits`)
    await sleep(cycleEnd - performance.now())
  }
  play.isOver = true
  await Promise.all([...callers, ...open])

  let late = 0
  let lost = 0
  for (const { id: workerId, leftAt, arrivals } of workers) {
    if (leftAt === undefined) continue
    for (const arrival of arrivals) {
      const request = sent.get(arrival.id)
      if (arrival.at - leftAt <= drainMilliseconds) continue
      // In touch: no channel of the machine was reset for the whole window before.
      const isInTouch = !hasTrouble || silences.every(at => at > arrival.at || request.sentAt - at > stableWindowMilliseconds)
      if (!isInTouch) continue
      late += 1
      if (!arrival.isComplete) lost += 1
      record.line(`${request.method} ${arrival.id}, sent to ${request.host} ${Math.round(request.sentAt - leftAt)} ms after the acknowledgement, reaches ${workerId} ${Math.round(arrival.at - leftAt)} ms after it; the caller gets ${request.status}`, arrival.at)
    }
  }
  const statuses = new Map()
  for (const { status } of sent.values()) statuses.set(status, (statuses.get(status) ?? 0) + 1)
  record.line(`${sent.size} requests: ${[...statuses].map(([status, count]) => `${count} ended with ${status}`).join(', ')}`)
  record.line(`DRAIN: ${late} requests reached a worker over ${drainMilliseconds} ms after the store had acknowledged that it is gone, from machines in touch; ${lost} of them were cut by its exit`)
  console.log(`late: ${late}, cut: ${lost}, requests: ${sent.size}`)
  return late > 0
})

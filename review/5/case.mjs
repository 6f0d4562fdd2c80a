/**
 * Hosts are stopped and started in turn, three times. The settings file of a host changes while the host starts, and the
 * platform says so with SIGHUP. A process that ends is started again after a short delay, as the pages say.
 */
import { join } from 'node:path'
import { bounds, configuration, hasTrouble, Record, runCase, send, service, sleep } from '../standins/common.mjs'
import { allReady, Host } from '../standins/hosts.mjs'
import { Store } from '../standins/store.mjs'
import { Worker } from '../standins/worker.mjs'

const hostCount = 13
const rounds = 3
const zones = ['pl-north-a', 'pl-north-b', 'pl-north-c']
/** Pause between the stops of two hosts, and until an ended process is started again. */
const gapMilliseconds = 1000
const restartMilliseconds = 300
/** Time from the start of a process to the change of its settings. */
const changeMilliseconds = 50
/** A tenth of the machines, two at least, and three ends on each. */
const machinesOfFault = Math.max(2, Math.ceil(hostCount / 10))
const endsOfFault = 3

await runCase(async ({ directory, defer }) => {
  const record = new Record(join(import.meta.dirname, 'record.txt'))
  record.line(hasTrouble ? 'with SIGHUP at each change of settings' : 'the same changes of settings without SIGHUP')
  const store = await Store.start()
  defer(() => store.stop())
  store.write('keyed.op', 'config', configuration())
  for (const zone of zones) {
    const worker = await Worker.start({ id: `i-${zone}`, service, zone, store, workMilliseconds: () => 20 })
    defer(() => worker.exit())
  }
  const hosts = []
  for (let index = 0; index < hostCount; index += 1) {
    hosts.push(await Host.create({
      name: `edge-${index + 1}`,
      ip: `127.21.0.${index + 1}`,
      zone: zones[index % zones.length],
      region: 'pl-north',
      storeAddress: store.address,
      directory,
      bounds: { ...bounds, 'retry-budget-slack': 113 }
    }))
  }
  let isOver = false
  /** Starts a process, and another one whenever it ends without having been told to stop. */
  const keepRunning = host => {
    const child = host.start()
    host.isStopping = false
    host.exited.then(async ({ code, signal }) => {
      if (isOver) return
      if (!host.isStopping) {
        host.ownEnds = (host.ownEnds ?? 0) + 1
        record.line(`${host.name} ends by itself ${Math.round(performance.now() - host.startedAt)} ms after its start, code ${code}, signal ${signal}`)
      }
      await sleep(restartMilliseconds)
      if (!isOver) keepRunning(host)
    })
    return child
  }
  defer(async () => {
    isOver = true
    await Promise.all(hosts.map(host => host.stop()))
  })
  for (const host of hosts) keepRunning(host)
  if (!await allReady(hosts, 15_000)) throw new Error('the hosts are not ready')
  record.line('all hosts are ready')

  const changeWhileStarting = async (host, round) => {
    const former = host.child
    host.isStopping = true
    record.line(`SIGTERM to ${host.name}`)
    former.kill('SIGTERM')
    while (host.child === former) await sleep(5)
    await sleep(changeMilliseconds - (performance.now() - host.startedAt))
    host.fields.bounds['retry-budget-slack'] = 113 + round
    host.writeSettings()
    if (hasTrouble && host.isRunning) host.child.kill('SIGHUP')
    record.line(`${host.name} has started, and its settings change${hasTrouble ? ': SIGHUP' : ''}`)
  }
  for (let round = 1; round <= rounds; round += 1) {
    const changes = []
    for (const host of hosts) {
      changes.push(changeWhileStarting(host, round))
      await sleep(gapMilliseconds)
    }
    await Promise.all(changes)
    if (!await allReady(hosts, 15_000)) throw new Error('the hosts are not ready')
    const served = await Promise.all(hosts.map((host, index) => send(host, { id: `${round}-${index}`, method: 'GET', path: '/reads/1' })))
    record.line(`round ${round} is over, reads end with ${served.map(({ status }) => status).join(',')}`)
  }
  const ended = hosts.filter(({ ownEnds = 0 }) => ownEnds >= endsOfFault)
  record.line(`Fault: processes ended by themselves ${endsOfFault} times or more on ${ended.length} of ${hostCount} machines (allowed: under ${machinesOfFault}); ends: ${hosts.map(({ ownEnds = 0 }) => ownEnds).join(',')}`)
  console.log(`machines with ${endsOfFault} ends: ${ended.length}, all ends: ${hosts.reduce((sum, { ownEnds = 0 }) => sum + ownEnds, 0)}`)
  return ended.length >= machinesOfFault
})

// Entries of another writer, whose service is not in the configuration, lie in the topic of the workers when all processes are
// killed. The hosts that start again never read the workers.
import { configurationOf, hasTrouble, plainRoute, runCase, sleep } from '../standins-2/deployment.mjs'

/** Number and size of the entries of the other writer; a record may have 262,144 bytes, a partition 200 MB. */
const entryCount = 70
const entryBytes = 250_000

const downMilliseconds = 1500
const recoverMilliseconds = 12_000
const measureMilliseconds = 10_000
const intervalMilliseconds = 100

await runCase(import.meta.url, async deployment => {
  deployment.configure(configurationOf(1, [
    plainRoute('trueque-voto', '/votes/', 'non_idempotent'), plainRoute('lectura-pagina', '/reads/', 'safe')
  ]))
  const zones = ['zone-a', 'zone-b', 'zone-c']
  for (const [index, zone] of zones.entries()) await deployment.startWorker({ id: `i-app-${index}`, service: 'app-foro', zone, slots: 6 })
  const hosts = []
  for (const [index, zone] of zones.entries()) hosts.push(await deployment.startHost({ name: `edge-${index}`, zone }))
  await sleep(2000)

  const answers = []
  const progress = { isOver: false }
  const load = async () => {
    for (let number = 1; !progress.isOver; number += 1) {
      const isRead = number % 2 === 0
      const sentAt = performance.now()
      answers.push(deployment.send(hosts[number % hosts.length], {
        id: String(number).padStart(16, '0'),
        method: isRead ? 'GET' : 'POST',
        path: `${isRead ? '/reads/' : '/votes/'}x?pause=21`,
        ...(isRead ? {} : { body: 'vote' }),
        deadlineMilliseconds: 1001
      }).then(({ status }) => ({ sentAt, isServed: status === 200 })))
      await sleep(intervalMilliseconds)
    }
  }
  const loaded = load()
  await sleep(2000)
  if (hasTrouble) {
    deployment.record(`another writer writes ${entryCount} entries of ${entryBytes} bytes`)
    for (let index = 0; index < entryCount; index += 1) {
      deployment.store.write('keyed.servers', `x-${index}`, {
        service: 'another-service', address: '127.0.0.1:9', zone: 'zone-a', version: 'v1', slots: 1, state: 'ready', 'cold-left-ms': 0, born: 1700000000000, sequence: 1, notes: 'x'.repeat(entryBytes)
      })
    }
  }
  await sleep(3000)

  const killedAt = performance.now()
  deployment.record('all hosts are killed')
  for (const { child } of hosts) child.kill('SIGKILL')
  await sleep(downMilliseconds)
  for (const host of hosts) deployment.launch(host)
  const backAt = performance.now()
  deployment.record('all hosts are started again')
  await sleep(recoverMilliseconds + measureMilliseconds)
  progress.isOver = true
  await loaded

  const ended = await Promise.all(answers)
  const shareOf = selected => selected.filter(({ isServed }) => isServed).length / selected.length
  const before = shareOf(ended.filter(({ sentAt }) => sentAt < killedAt - 500))
  const after = shareOf(ended.filter(({ sentAt }) => sentAt > backAt + recoverMilliseconds))
  const summary = `${Math.round(before * 100)}% of the requests are served before the kill, ${Math.round(after * 100)}% later than ${recoverMilliseconds / 1000} s after the start`
  deployment.record(summary)
  for (const { name, log } of hosts) deployment.record(`${name}: ${log.filter(line => line.includes('store_lost')).at(-1) ?? 'no read of the store failed'}`)
  return before >= 0.25 && after < 0.25 ? [`RECOVER: ${summary}`] : []
})

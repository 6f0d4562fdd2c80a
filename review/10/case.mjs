// The host that grants the permits of limited workers does not reach the store, which gives its partition to another host. Both
// grant permits from then on, and the workers get more than they state that they take.
import { configurationOf, hasTrouble, plainRoute, runCase, sleep } from '../standins-2/deployment.mjs'

/** Requests a second that each worker states that it takes, and the number of workers. */
const perSecond = 6
const workerCount = 2

/** Requests a second of the callers of each host: the holder has few callers, since a hash selects the host of a caller. */
const ratesPerSecond = [2, 13, 13]

/** Time for which the store turns the holder away. */
const awayMilliseconds = 9000

const windowMilliseconds = 4000
const stableWindowMilliseconds = 3000

await runCase(import.meta.url, async deployment => {
  deployment.configure(configurationOf(1, [plainRoute('trueque-voto', '/votes/', 'non_idempotent')]))
  const zones = ['zone-a', 'zone-b', 'zone-c']
  for (let index = 0; index < workerCount; index += 1) {
    await deployment.startWorker({ id: `i-app-${index}`, service: 'app-foro', zone: zones[index], slots: 6 })
  }
  const hosts = []
  for (const [index, zone] of zones.entries()) hosts.push(await deployment.startHost({ name: `edge-${index}`, zone }))
  await sleep(4500)

  const hostOf = new Map()
  /** Time at which a host first passed on the limit of a worker. */
  const passedOnAt = new Map()
  const answers = []
  const progress = { isOver: false }
  let requests = 0
  const send = async host => {
    const id = String(++requests).padStart(16, '0')
    hostOf.set(id, host)
    const { headers } = await deployment.send(host, { id, path: '/votes/x?pause=21', body: 'vote', deadlineMilliseconds: 1001 })
    const key = `${host.name} ${/^stamp\.(.*)$/.exec(headers['dogwooddale-server-stamp'] ?? '')?.[1]}`
    if (headers['server-limit'] !== undefined && !passedOnAt.has(key)) passedOnAt.set(key, Date.now())
  }
  const load = async (host, rate) => {
    while (!progress.isOver) {
      answers.push(send(host))
      await sleep(1000 / rate * (0.5 + Math.random()))
    }
  }
  const loads = hosts.map((host, index) => load(host, ratesPerSecond[index]))

  await sleep(1000)
  const limitedAt = Date.now()
  deployment.record(`each worker states that it takes ${perSecond} requests a second`)
  for (const { child } of deployment.workers.values()) child.send({ kind: 'limit', perSecond })
  await sleep(6000)

  const holderOf = () => hosts.find(({ name }) => deployment.store.ownerOf('placement', 0)?.startsWith(`${name}.`))
  const holder = holderOf()
  deployment.record(`${holder.name} holds the partition of the permits`)
  if (hasTrouble) {
    deployment.record(`the store does not answer ${holder.name}`)
    holder.proxy.isCut = true
  }
  await sleep(awayMilliseconds)
  deployment.record(`${holderOf()?.name} holds the partition of the permits`)
  holder.proxy.isCut = false
  await sleep(3000)
  progress.isOver = true
  await Promise.all([...loads, ...answers])

  // The holder is cut off, which excuses it, so that its own requests are not counted.
  const bound = 1.5 * perSecond * windowMilliseconds / 1000 + 5
  return [...deployment.workers.keys()].flatMap(worker => {
    const times = deployment.reports.filter(({ kind, id, requestId, at }) => {
      const host = hostOf.get(requestId)
      const isCounted = at >= (passedOnAt.get(`${host?.name} ${worker}`) ?? Infinity) + 500
      return kind === 'arrival' && id === worker && host !== holder && isCounted && at >= limitedAt + stableWindowMilliseconds
    }).map(({ at }) => at)
    const counts = times.map(start => times.filter(at => at >= start && at <= start + windowMilliseconds).length)
    const most = Math.max(0, ...counts)
    deployment.record(`worker ${worker} gets at most ${most} requests in 4 s; the bound is ${bound}`)
    return most > bound ? [`LIMIT: worker ${worker} gets ${most} requests in 4 s, more than ${bound}`] : []
  })
})

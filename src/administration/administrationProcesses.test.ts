/**
 * Guards against hosts that decide a race of operators differently, changes that are lost, doubled or reported
 * wrongly when the log loses an answer or is out, and watches that miss changes made at another host. Runs
 * entry hosts and the platform's stand-ins as processes.
 */
import { afterAll, beforeAll, expect, test } from '@jest/globals'
import { z } from 'zod'
import { AdministrationClient, type WatchedChange } from '../commands/AdministrationClient.js'
import { newRecordId } from '../common/index.js'
import { HttpClient } from '../clients/index.js'
import { Deployment, operatorTeam, tokenOf } from '../testing/index.js'

const document = z.object({ version: z.number(), value: z.unknown() })
const accepted = z.object({ changeId: z.string(), version: z.number() })
const shares = '/fleet/shares'

let deployment: Deployment
let clients: AdministrationClient[]

beforeAll(async () => {
  deployment = await Deployment.start({
    region: 'costa',
    zones: ['guayaquil-a', 'duran-c'],
    hostsPerZone: 1,
    enginesPerZone: 1,
    servicesPerZone: 1,
    model: 'carassius',
    enginePool: 'modelos-foro',
    servicePool: 'app-foro',
    teams: { forum: 'acuarios', harbour: 'acuarios' }
  })
  clients = [...deployment.hosts.values()].map(host =>
    new AdministrationClient({ servers: [host.address('administration')], token: tokenOf(operatorTeam) }))
})

afterAll(async () => {
  await Promise.all(clients.map(async client => { await client.close() }))
  await deployment.stop()
})

function clientOf (host: number): AdministrationClient {
  return clients[host] as AdministrationClient
}

async function read (host: number): Promise<z.infer<typeof document>> {
  return (await clientOf(host).send({ method: 'GET', path: `/settings${shares}`, answer: document })).unwrapOrElse(failed => {
    throw new Error(failed.message)
  })
}

async function put (host: number, share: number, version: number, changeId: string = newRecordId()) {
  return await clientOf(host).send({
    method: 'PUT',
    path: `/settings${shares}`,
    body: { forum: share },
    headers: { 'if-match': `"${version}"`, 'x-change-id': changeId },
    answer: accepted
  })
}

async function setFault (method: 'POST' | 'DELETE', fault?: unknown): Promise<void> {
  const log = new HttpClient(deployment.platform('log').origin())
  const sent = await log.send({ method, path: '/faults', body: fault, timeoutMilliseconds: 5000 })
  await log.close()
  expect(sent.isOk && sent.value.status).toBeLessThan(300)
}

test('of two operators who race at two hosts one wins; the other learns who won; a watch sees winners only', async () => {
  const start = await read(0)
  const seen: WatchedChange[] = []
  const stopping = new AbortController()
  const rounds = 15
  const lastShare = 99
  const watched = clientOf(1).watch(shares, start.version, change => {
    seen.push(change)
    if ((change.value as { forum: number }).forum === lastShare) stopping.abort()
  }, stopping.signal)
  const winners = new Map<number, unknown>()
  let { version } = start
  for (let round = 0; round < rounds; round += 1) {
    const values = [round, 50 + round]
    const results = await Promise.all(values.map((value, host) => put(host, value, version)))
    const winner = results.findIndex(result => result.isOk)
    const loser = results[1 - winner]
    const won = results[winner]
    version = won?.isOk === true ? won.value.version : 0
    winners.set(version, { forum: values[winner] })
    expect(loser?.isErr === true && loser.error).toMatchObject({
      kind: 'conflict', detail: { conflicts: [{ version, author: operatorTeam, value: { forum: values[winner] } }] }
    })
  }
  const last = await put(0, lastShare, version)
  expect(last.isOk && (await watched).isOk).toBe(true)
  // A reader that is slow may see the latest winner only, but each in order.
  const expected = [...winners].filter(([winning]) => seen.some(change => change.version === winning))
  expect(seen.slice(0, -1).map(change => [change.version, change.value])).toEqual(expected)
  expect(await read(0)).toEqual(await read(1))
})

test('a change whose append loses its answer takes effect once and is reported as accepted', async () => {
  const { version } = await read(0)
  await setFault('POST', { kind: 'lose_answer', method: 'POST', path: '/streams/configuration/records', count: 1 })
  const changed = await put(0, 42, version, 'lost')
  await setFault('DELETE')
  expect(changed.isOk && changed.value.changeId).toBe('lost')
  const repeated = await put(1, 42, version, 'lost')
  expect(repeated.isOk && repeated.value).toEqual(changed.isOk && changed.value)
  expect(await read(1)).toMatchObject({ version: changed.isOk && changed.value.version, value: { forum: 42 } })
})

test('an outage of the log refuses a change, and the configuration stays readable', async () => {
  const before = await read(0)
  await setFault('POST', { kind: 'outage' })
  const refused = await put(0, 43, before.version)
  expect(refused.isErr && refused.error.kind).toBe('platform_unavailable')
  expect(await read(0)).toEqual(before)
  await setFault('DELETE')
  const changed = await put(0, 43, before.version)
  expect(changed.isOk).toBe(true)
})

/**
 * Guards against hosts that disagree on which of two concurrent changes is accepted, changes that are lost, applied twice
 * or reported wrongly when a response of the log is lost or the log has an outage, and watches that miss changes made
 * through another host. Runs entry hosts and the stand-ins of the platform as processes.
 */
import { afterAll, beforeAll, expect, test } from '@jest/globals'
import { z } from 'zod'
import { AdministrationClient, type WatchedChange } from '../commands/AdministrationClient.js'
import { newRecordId } from '../common/index.js'
import { HttpClient } from '../clients/index.js'
import { Deployment, operatorTeam, tokenOf } from '../testing/index.js'

const documentSchema = z.object({ version: z.number(), value: z.unknown() })
const acceptedSchema = z.object({ changeId: z.string(), version: z.number() })
const sharesPath = '/fleet/shares'

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

async function readShares (host: number): Promise<z.infer<typeof documentSchema>> {
  return (await clientOf(host).send({ method: 'GET', path: `/settings${sharesPath}`, responseSchema: documentSchema })).unwrapOrElse(failed => {
    throw new Error(failed.message)
  })
}

async function putShares (host: number, share: number, version: number, changeId: string = newRecordId()) {
  return await clientOf(host).send({
    method: 'PUT',
    path: `/settings${sharesPath}`,
    body: { forum: share },
    headers: { 'if-match': `"${version}"`, 'x-change-id': changeId },
    responseSchema: acceptedSchema
  })
}

async function setLogFault (method: 'POST' | 'DELETE', fault?: unknown): Promise<void> {
  const log = new HttpClient(deployment.platform('log').origin())
  const sent = await log.send({ method, path: '/faults', body: fault, timeoutMilliseconds: 5000 })
  await log.close()
  expect(sent.isOk && sent.value.status).toBeLessThan(300)
}

test('of two concurrent changes at two hosts one is accepted, the other fails with a conflict that names the accepted one, and a watch sends only accepted changes', async () => {
  const initial = await readShares(0)
  const watchedChanges: WatchedChange[] = []
  const stopWatch = new AbortController()
  const rounds = 15
  const lastShare = 99
  const watched = clientOf(1).watch(sharesPath, initial.version, change => {
    watchedChanges.push(change)
    if ((change.value as { forum: number }).forum === lastShare) stopWatch.abort()
  }, stopWatch.signal)
  const acceptedValues = new Map<number, unknown>()
  let { version } = initial
  for (let round = 0; round < rounds; round += 1) {
    const values = [round, 50 + round]
    const results = await Promise.all(values.map((value, host) => putShares(host, value, version)))
    const acceptedHost = results.findIndex(result => result.isOk)
    const conflictingResult = results[1 - acceptedHost]
    const acceptedResult = results[acceptedHost]
    version = acceptedResult?.isOk === true ? acceptedResult.value.version : 0
    acceptedValues.set(version, { forum: values[acceptedHost] })
    expect(conflictingResult?.isErr === true && conflictingResult.error).toMatchObject({
      kind: 'conflict', detail: { conflicts: [{ version, author: operatorTeam, value: { forum: values[acceptedHost] } }] }
    })
  }
  const last = await putShares(0, lastShare, version)
  expect(last.isOk && (await watched).isOk).toBe(true)
  // A slow reader may skip to the latest accepted change, but the changes that it receives are in order.
  const expected = [...acceptedValues].filter(([accepted]) => watchedChanges.some(change => change.version === accepted))
  expect(watchedChanges.slice(0, -1).map(change => [change.version, change.value])).toEqual(expected)
  expect(await readShares(0)).toEqual(await readShares(1))
})

test('a change is applied once although the response of the log to its append is lost and reported as accepted, also when it is sent again', async () => {
  const { version } = await readShares(0)
  await setLogFault('POST', { kind: 'lose_answer', method: 'POST', path: '/streams/configuration/records', count: 1 })
  const changed = await putShares(0, 42, version, 'lost')
  await setLogFault('DELETE')
  expect(changed.isOk && changed.value.changeId).toBe('lost')
  const repeated = await putShares(1, 42, version, 'lost')
  expect(repeated.isOk && repeated.value).toEqual(changed.isOk && changed.value)
  expect(await readShares(1)).toMatchObject({ version: changed.isOk && changed.value.version, value: { forum: 42 } })
})

test('during a log outage a change fails with platform_unavailable and the configuration stays readable; after the outage a change is accepted', async () => {
  const before = await readShares(0)
  await setLogFault('POST', { kind: 'outage' })
  const failed = await putShares(0, 43, before.version)
  expect(failed.isErr && failed.error.kind).toBe('platform_unavailable')
  expect(await readShares(0)).toEqual(before)
  await setLogFault('DELETE')
  const changed = await putShares(0, 43, before.version)
  expect(changed.isOk).toBe(true)
})

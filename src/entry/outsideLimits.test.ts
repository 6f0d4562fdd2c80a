/**
 * Guards against clients of the product's own interfaces, with the key of a team, that end a host or take the memory of its
 * machine. The host, its platform and its services are processes of their own. The crowds and the bound were determined
 * on the code without limits, where the cases failed.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { Deployment, FloodClient, operatorTeam, peakMegabytesOf, type StartedProcess, tokenOf } from '../testing/index.js'

/** Memory of the machine in the host's settings, and the bound on the host's resident memory. */
const memoryMegabytes = 240

let deployment: Deployment
let host: StartedProcess
let crowd: FloodClient[] = []

beforeEach(async () => {
  deployment = await Deployment.start({
    region: 'costa',
    zones: ['duran-c'],
    hostsPerZone: 1,
    enginesPerZone: 1,
    servicesPerZone: 1,
    model: 'carassius',
    enginePool: 'modelos-foro',
    servicePool: 'app-foro',
    teams: { forum: 'acuarios' },
    hostNodeArguments: ['--max-old-space-size=128'],
    hostSettings: { limits: { memoryMegabytes, descriptors: 256 } }
  })
  host = [...deployment.hosts.values()][0]!
})

afterEach(async () => {
  for (const client of crowd) client.close()
  await deployment.stop()
})

/** A body in chunks of the given size that stops short of its end. */
function * unfinishedBody (path: string, team: string, chunkBytes: number, totalBytes: number): Generator<Buffer | string> {
  yield `PUT ${path} HTTP/1.1\r\nhost: forum.example\r\nauthorization: Bearer ${tokenOf(team)}\r\nif-match: "1"\r\ntransfer-encoding: chunked\r\n\r\n`
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`
  const perPiece = Math.max(1, Math.floor(65_536 / chunk.length))
  const piece = Buffer.from(chunk.repeat(perPiece))
  for (let sent = 0; sent < totalBytes; sent += perPiece * chunkBytes) yield piece
}

test.each([
  ['large chunks for a service', 'callers', '/services/app-foro/posts', 'forum', 60, 32_768, 4_100_000],
  ['chunks of one byte for a service', 'callers', '/services/app-foro/posts', 'forum', 8, 1, 200_000],
  ['large chunks for operators', 'administration', '/settings/fleet/shares', operatorTeam, 60, 32_768, 4_100_000]
])('a host stays within its memory and serves others after bodies in %s that stop short of their end', async (_name, server, path, team, count, chunkBytes, totalBytes) => {
  crowd = Array.from({ length: count }, () => new FloodClient({
    address: host.address(server), pieces: unfinishedBody(path, team, chunkBytes, totalBytes), reads: false
  }))
  await Promise.all(crowd.map(async client => await client.ended))
  for (let status = 0; status !== 200;) {
    const response = await fetch(`${host.origin('callers')}/v1/models`, { headers: { authorization: `Bearer ${tokenOf('forum')}` } })
    await response.arrayBuffer()
    status = response.status
  }
  expect(host.isRunning).toBe(true)
  expect(peakMegabytesOf(host.pid)).toBeLessThan(memoryMegabytes)
})

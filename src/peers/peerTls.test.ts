/**
 * Guards against hosts that accept a peer with a wrong, expired or missing certificate, against refusals that
 * do not say why, and against renewed certificates that take a restart or cut open calls.
 */
import { Client, credentials, Metadata, type ServiceError } from '@grpc/grpc-js'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Result } from 'true-myth'
import { ManualClock, toOffset } from '../common/index.js'
import { PeerService } from './generated/peer.js'
import { PeerCertificates, type PeerHandlers, type PeerPool, type PeerServer } from './index.js'
import { type CertificatePair, makeAuthority, makeHostCertificate, type Validity } from './makeCertificates.js'
import { Cleanup, GrowingSource, identityOf, makePool, recordedLog, startServer, TcpForwarder } from './peerTestSupport.js'

const cleanup = new Cleanup()
let directory: string
beforeEach(() => { directory = mkdtempSync(join(tmpdir(), 'dogwooddale-')) })
afterEach(async () => {
  await cleanup.run()
  rmSync(directory, { recursive: true })
})

const day = 86_400_000
const valid: Validity = { notBefore: new Date(Date.now() - day), notAfter: new Date(Date.now() + day) }
const past: Validity = { notBefore: new Date(Date.now() - 2 * day), notAfter: new Date(Date.now() - day) }

const identity = identityOf('b')
const answer = { responder: identity, ready: true, draining: false }
const heartbeat: PeerHandlers['heartbeat'] = async () => Result.ok(answer)

/** A host with its own files. */
class TlsHost {
  readonly recorded
  readonly clock = new ManualClock()

  constructor (readonly name: string) {
    this.recorded = recordedLog(name)
  }

  write (pair: CertificatePair, authority: CertificatePair): void {
    writeFileSync(this.file('pem'), pair.certificate)
    writeFileSync(this.file('key'), pair.key)
    writeFileSync(this.file('authority'), authority.certificate)
  }

  file (suffix: string): string {
    return join(directory, `${this.name}.${suffix}`)
  }

  async certificates (): Promise<PeerCertificates> {
    const files = { certificateFile: this.file('pem'), keyFile: this.file('key'), authorityFile: this.file('authority') }
    const loading = await PeerCertificates.load({ files, clock: this.clock, log: this.recorded.log })
    const loaded = loading.unwrapOrElse(failed => { throw new Error(failed.message) })
    cleanup.add(() => loaded.stop())
    return loaded
  }

  async serve (handlers: PeerHandlers): Promise<PeerServer> {
    return await startServer(cleanup, { identity, handlers, certificates: await this.certificates(), ...this.recorded })
  }

  async pool (): Promise<PeerPool> {
    return makePool(cleanup, 'a', { certificates: await this.certificates(), ...this.recorded })
  }

  linesOf (event: string): string[] {
    return this.recorded.lines.filter(line => line.includes(`event=${event} `))
  }
}

interface Party { authority?: 'other', validity?: Validity, name?: string }

/** Makes both hosts with files according to the case. Both trust the same authority. */
async function hostsOf (client: Party, server: Party): Promise<{ near: TlsHost, far: TlsHost, authority: CertificatePair }> {
  const authority = await makeAuthority('trusted', valid)
  const other = await makeAuthority('other', valid)
  const [near, far] = [new TlsHost('a'), new TlsHost('b')]
  for (const [host, party] of [[near, client], [far, server]] as const) {
    const issuer = party.authority === 'other' ? other : authority
    host.write(await makeHostCertificate(issuer, party.name ?? host.name, party.validity ?? valid), authority)
  }
  return { near, far, authority }
}

test('hosts with valid certificates talk to each other', async () => {
  const { near, far } = await hostsOf({}, {})
  const { address } = await far.serve({ heartbeat })
  expect(await (await near.pool()).heartbeat({ hostId: identity.hostId, address })).toEqual(Result.ok(answer))
})

const cases: Array<[string, Party, Party, string, RegExp, 'server' | 'client']> = [
  ['client of another authority', { authority: 'other' }, {}, 'unauthenticated', /UNABLE_TO_VERIFY|SELF_SIGNED|UNABLE_TO_GET/, 'server'],
  ['expired client', { validity: past }, {}, 'unauthenticated', /CERT_HAS_EXPIRED/, 'server'],
  ['client with the certificate of another host', { name: 'c' }, {}, 'unauthenticated', /is for DNS:c, not for a/, 'server'],
  ['server of another authority', {}, { authority: 'other' }, 'not_run', /unable to verify|self-signed|issuer/, 'client'],
  ['expired server', {}, { validity: past }, 'not_run', /expired/, 'client'],
  ['server with the certificate of another host', {}, { name: 'c' }, 'not_run', /altnames: DNS:c/, 'client']
]
test.each(cases)('%s: one clear error and one log line', async (_case, client, server, kind, reason, logger) => {
  const { near, far } = await hostsOf(client, server)
  const { address } = await far.serve({ heartbeat })
  const pool = await near.pool()
  for (let call = 0; call < 3; call += 1) {
    const result = await pool.heartbeat({ hostId: identity.hostId, address })
    expect(result.isErr && result.error).toMatchObject({ kind, message: expect.stringMatching(reason) })
  }
  expect(near.linesOf('peer_unreachable')).toEqual([expect.stringMatching(reason)])
  const atServer = far.linesOf('peer_certificate_refused')
  if (logger === 'server') expect(atServer).toEqual([expect.stringMatching(reason)])
})

test('a follower with a wrong certificate gets no records', async () => {
  const { near, far } = await hostsOf({ validity: past }, {})
  const source = new GrowingSource()
  source.append(1)
  const { address } = await far.serve({ follow: source })
  const pool = await near.pool()
  const following = pool.follow({ hostId: identity.hostId, address }, 'leases', toOffset(1), new AbortController().signal)
  await expect(following.next()).rejects.toMatchObject({ failure: { kind: 'unauthenticated' } })
})

test('a client without a certificate is refused', async () => {
  const { far, authority } = await hostsOf({}, {})
  const { address } = await far.serve({ heartbeat })
  const client = new Client(address, credentials.createSsl(Buffer.from(authority.certificate)), {
    'grpc.ssl_target_name_override': 'b', 'grpc.use_local_subchannel_pool': 1
  })
  cleanup.add(() => client.close())
  const { path, requestSerialize, responseDeserialize } = PeerService.heartbeat
  const request = { sender: identityOf('a'), expectedIncarnation: '' }
  const error = await new Promise<ServiceError | null>(resolve => {
    client.makeUnaryRequest(path, requestSerialize, responseDeserialize, request, new Metadata(), {}, resolve)
  })
  expect(error?.details).toContain('no certificate')
  expect(far.linesOf('peer_certificate_refused')).toHaveLength(1)
})

test('a client without TLS gets no answer and is logged', async () => {
  const { far } = await hostsOf({}, {})
  const { address } = await far.serve({ heartbeat })
  const result = await makePool(cleanup, 'a').heartbeat({ hostId: identity.hostId, address })
  expect(result.isErr && result.error.kind).toBe('not_run')
  expect(far.linesOf('peer_certificate_refused').length).toBeGreaterThan(0)
})

test('a refused host is accepted after its files were renewed, without a restart', async () => {
  const { near, far, authority } = await hostsOf({ validity: past }, {})
  const { address } = await far.serve({ heartbeat })
  const certificates = await near.certificates()
  const pool = makePool(cleanup, 'a', { certificates, ...near.recorded })
  const target = { hostId: identity.hostId, address }
  expect((await pool.heartbeat(target)).isErr).toBe(true)
  near.write(await makeHostCertificate(authority, 'a', valid), authority)
  const changed = new Promise(resolve => certificates.onChange(resolve))
  await near.clock.advance(2000)
  await changed
  expect(await pool.heartbeat(target)).toEqual(Result.ok(answer))
})

test('a change of the authority at both ends cuts no open call and binds new connections', async () => {
  const { near, far } = await hostsOf({}, {})
  const source = new GrowingSource()
  const serverCertificates = await far.certificates()
  const server = await startServer(cleanup, {
    identity, handlers: { heartbeat, follow: source }, certificates: serverCertificates, ...far.recorded
  })
  const clientCertificates = await near.certificates()
  const pool = makePool(cleanup, 'a', { certificates: clientCertificates, ...near.recorded })
  const forwarder = await TcpForwarder.start(server.address)
  cleanup.add(() => forwarder.stop())
  const target = { hostId: identity.hostId, address: forwarder.address }
  const following = pool.follow(target, 'leases', toOffset(1), new AbortController().signal)
  await following.next()
  const stale = await near.pool()

  const renewed = await makeAuthority('renewed', valid)
  far.write(await makeHostCertificate(renewed, 'b', valid), renewed)
  near.write(await makeHostCertificate(renewed, 'a', valid), renewed)
  await serverCertificates.refresh()
  await clientCertificates.refresh()

  source.append(1)
  expect((await following.next()).value?.records?.records).toHaveLength(1)
  expect((await following.next()).value?.heartbeat).toBeDefined()
  // The same channel makes its next connection with the renewed files.
  forwarder.reset()
  await expect(following.next()).rejects.toMatchObject({ failure: { kind: 'stream_interrupted' } })
  expect(await pool.heartbeat(target)).toEqual(Result.ok(answer))
  // This pool still has the old authority, so it does not accept the server's new certificate.
  const refused = await stale.heartbeat(target)
  expect(refused.isErr && refused.error.kind).toBe('not_run')
})

test('a half-written set is reported once and the old one stays in use', async () => {
  const { near, authority } = await hostsOf({}, {})
  const certificates = await near.certificates()
  const before = certificates.current
  const renewed = await makeHostCertificate(authority, 'a', valid)
  writeFileSync(near.file('key'), renewed.key)
  await certificates.refresh()
  await certificates.refresh()
  expect(certificates.current).toBe(before)
  expect(near.linesOf('peer_certificates_unusable')).toHaveLength(1)
  writeFileSync(near.file('pem'), renewed.certificate)
  await certificates.refresh()
  expect(certificates.current.certificate.toString()).toBe(renewed.certificate)
})

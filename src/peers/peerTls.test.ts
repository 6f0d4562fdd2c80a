/**
 * Guards against hosts that accept a peer with a wrong, expired or missing certificate, against rejections whose
 * reason is not reported, and against certificate renewals that need a restart or interrupt open calls.
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
import { Cleanup, GrowingSource, identityOf, createPeerPool, createRecordingLog, startServer, TcpForwarder } from './peerTestSupport.js'

const cleanup = new Cleanup()
let directory: string
beforeEach(() => { directory = mkdtempSync(join(tmpdir(), 'dogwooddale-')) })
afterEach(async () => {
  await cleanup.run()
  rmSync(directory, { recursive: true })
})

const dayMilliseconds = 86_400_000
const valid: Validity = { notBefore: new Date(Date.now() - dayMilliseconds), notAfter: new Date(Date.now() + dayMilliseconds) }
const expired: Validity = {
  notBefore: new Date(Date.now() - 2 * dayMilliseconds), notAfter: new Date(Date.now() - dayMilliseconds)
}

const identity = identityOf('b')
const heartbeatResponse = { responder: identity, ready: true, draining: false }
const heartbeat: PeerHandlers['heartbeat'] = async () => Result.ok(heartbeatResponse)

/** A host with its own certificate files, log and clock. */
class TlsHost {
  readonly recorded
  readonly clock = new ManualClock()

  constructor (readonly name: string) {
    this.recorded = createRecordingLog(name)
  }

  writeCertificates (pair: CertificatePair, authority: CertificatePair): void {
    writeFileSync(this.file('pem'), pair.certificate)
    writeFileSync(this.file('key'), pair.key)
    writeFileSync(this.file('authority'), authority.certificate)
  }

  file (suffix: string): string {
    return join(directory, `${this.name}.${suffix}`)
  }

  async loadCertificates (): Promise<PeerCertificates> {
    const files = { certificateFile: this.file('pem'), keyFile: this.file('key'), authorityFile: this.file('authority') }
    const loading = await PeerCertificates.load({ files, clock: this.clock, events: this.recorded.events })
    const loaded = loading.unwrapOrElse(failed => { throw new Error(failed.message) })
    cleanup.add(() => loaded.stop())
    return loaded
  }

  async serve (handlers: PeerHandlers): Promise<PeerServer> {
    return await startServer(cleanup, { identity, handlers, certificates: await this.loadCertificates(), ...this.recorded })
  }

  async createPool (): Promise<PeerPool> {
    return createPeerPool(cleanup, 'a', { certificates: await this.loadCertificates(), ...this.recorded })
  }

  logLinesOf (event: string): string[] {
    return this.recorded.lines.filter(line => line.includes(`event=${event} `))
  }
}

/** How a host's certificate differs from a valid one of the trusted authority. */
interface CertificateOptions { authority?: 'other', validity?: Validity, name?: string }

/** Creates a client host and a server host with the given certificates. Both trust the same authority. */
async function createHosts (
  client: CertificateOptions, server: CertificateOptions
): Promise<{ clientHost: TlsHost, serverHost: TlsHost, authority: CertificatePair }> {
  const authority = await makeAuthority('trusted', valid)
  const untrusted = await makeAuthority('other', valid)
  const [clientHost, serverHost] = [new TlsHost('a'), new TlsHost('b')]
  for (const [host, certificate] of [[clientHost, client], [serverHost, server]] as const) {
    const issuer = certificate.authority === 'other' ? untrusted : authority
    host.writeCertificates(
      await makeHostCertificate(issuer, certificate.name ?? host.name, certificate.validity ?? valid), authority)
  }
  return { clientHost, serverHost, authority }
}

test('a call between hosts with valid certificates succeeds', async () => {
  const { clientHost, serverHost } = await createHosts({}, {})
  const { address } = await serverHost.serve({ heartbeat })
  expect(await (await clientHost.createPool()).heartbeat({ hostId: identity.hostId, address }))
    .toEqual(Result.ok(heartbeatResponse))
})

const cases: Array<[string, CertificateOptions, CertificateOptions, string, RegExp, 'server' | 'client']> = [
  ['a client certificate of an untrusted authority', { authority: 'other' }, {}, 'unauthenticated', /UNABLE_TO_VERIFY|SELF_SIGNED|UNABLE_TO_GET/, 'server'],
  ['an expired client certificate', { validity: expired }, {}, 'unauthenticated', /CERT_HAS_EXPIRED/, 'server'],
  ['a client certificate for another host', { name: 'c' }, {}, 'unauthenticated', /is for DNS:c, not for a/, 'server'],
  ['a server certificate of an untrusted authority', {}, { authority: 'other' }, 'not_run', /unable to verify|self-signed|issuer/, 'client'],
  ['an expired server certificate', {}, { validity: expired }, 'not_run', /expired/, 'client'],
  ['a server certificate for another host', {}, { name: 'c' }, 'not_run', /altnames: DNS:c/, 'client']
]
test.each(cases)('with %s, every call fails with the reason, and the reason is logged once', async (_case, client, server, kind, reason, rejectingSide) => {
  const { clientHost, serverHost } = await createHosts(client, server)
  const { address } = await serverHost.serve({ heartbeat })
  const pool = await clientHost.createPool()
  for (let call = 0; call < 3; call += 1) {
    const result = await pool.heartbeat({ hostId: identity.hostId, address })
    expect(result.isErr && result.error).toMatchObject({ kind, message: expect.stringMatching(reason) })
  }
  expect(clientHost.logLinesOf('peer_unreachable')).toEqual([expect.stringMatching(reason)])
  const serverLogLines = serverHost.logLinesOf('peer_certificate_refused')
  if (rejectingSide === 'server') expect(serverLogLines).toEqual([expect.stringMatching(reason)])
})

test('a follow call with an expired client certificate fails with unauthenticated instead of sending records', async () => {
  const { clientHost, serverHost } = await createHosts({ validity: expired }, {})
  const source = new GrowingSource()
  source.append(1)
  const { address } = await serverHost.serve({ follow: source })
  const pool = await clientHost.createPool()
  const following = pool.follow({ hostId: identity.hostId, address }, 'leases', toOffset(1), new AbortController().signal)
  await expect(following.next()).rejects.toMatchObject({ failure: { kind: 'unauthenticated' } })
})

test('a call without a client certificate fails with the reason, and the server logs the rejection once', async () => {
  const { serverHost, authority } = await createHosts({}, {})
  const { address } = await serverHost.serve({ heartbeat })
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
  expect(serverHost.logLinesOf('peer_certificate_refused')).toHaveLength(1)
})

test('a call without TLS to a server with TLS fails with not_run, and the server logs the failed handshake', async () => {
  const { serverHost } = await createHosts({}, {})
  const { address } = await serverHost.serve({ heartbeat })
  const result = await createPeerPool(cleanup, 'a').heartbeat({ hostId: identity.hostId, address })
  expect(result.isErr && result.error.kind).toBe('not_run')
  expect(serverHost.logLinesOf('peer_certificate_refused').length).toBeGreaterThan(0)
})

test('after the expired certificate of a host is renewed, calls of the host succeed without a restart', async () => {
  const { clientHost, serverHost, authority } = await createHosts({ validity: expired }, {})
  const { address } = await serverHost.serve({ heartbeat })
  const certificates = await clientHost.loadCertificates()
  const pool = createPeerPool(cleanup, 'a', { certificates, ...clientHost.recorded })
  const target = { hostId: identity.hostId, address }
  expect((await pool.heartbeat(target)).isErr).toBe(true)
  clientHost.writeCertificates(await makeHostCertificate(authority, 'a', valid), authority)
  const changed = new Promise(resolve => certificates.onChange(resolve))
  await clientHost.clock.advance(2000)
  await changed
  expect(await pool.heartbeat(target)).toEqual(Result.ok(heartbeatResponse))
})

test('after both hosts change their authority, open calls continue and new connections require the new authority', async () => {
  const { clientHost, serverHost } = await createHosts({}, {})
  const source = new GrowingSource()
  const serverCertificates = await serverHost.loadCertificates()
  const server = await startServer(cleanup, {
    identity, handlers: { heartbeat, follow: source }, certificates: serverCertificates, ...serverHost.recorded
  })
  const clientCertificates = await clientHost.loadCertificates()
  const pool = createPeerPool(cleanup, 'a', { certificates: clientCertificates, ...clientHost.recorded })
  const forwarder = await TcpForwarder.start(server.address)
  cleanup.add(() => forwarder.stop())
  const target = { hostId: identity.hostId, address: forwarder.address }
  const following = pool.follow(target, 'leases', toOffset(1), new AbortController().signal)
  await following.next()
  const poolWithOldAuthority = await clientHost.createPool()

  const renewed = await makeAuthority('renewed', valid)
  serverHost.writeCertificates(await makeHostCertificate(renewed, 'b', valid), renewed)
  clientHost.writeCertificates(await makeHostCertificate(renewed, 'a', valid), renewed)
  await serverCertificates.refresh()
  await clientCertificates.refresh()

  source.append(1)
  expect((await following.next()).value?.records?.records).toHaveLength(1)
  expect((await following.next()).value?.heartbeat).toBeDefined()
  // The channel uses the renewed files for its next connection.
  forwarder.reset()
  await expect(following.next()).rejects.toMatchObject({ failure: { kind: 'stream_interrupted' } })
  expect(await pool.heartbeat(target)).toEqual(Result.ok(heartbeatResponse))
  // This pool still trusts only the old authority, so it rejects the server's new certificate.
  const rejected = await poolWithOldAuthority.heartbeat(target)
  expect(rejected.isErr && rejected.error.kind).toBe('not_run')
})

test('while a renewed key does not match the certificate, one error is logged and the old certificate set stays in use', async () => {
  const { clientHost, authority } = await createHosts({}, {})
  const certificates = await clientHost.loadCertificates()
  const before = certificates.current
  const renewed = await makeHostCertificate(authority, 'a', valid)
  writeFileSync(clientHost.file('key'), renewed.key)
  await certificates.refresh()
  await certificates.refresh()
  expect(certificates.current).toBe(before)
  expect(clientHost.logLinesOf('peer_certificates_unusable')).toHaveLength(1)
  writeFileSync(clientHost.file('pem'), renewed.certificate)
  await certificates.refresh()
  expect(certificates.current.certificate.toString()).toBe(renewed.certificate)
})

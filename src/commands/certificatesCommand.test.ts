/**
 * Guards against trial certificates that the hosts would reject.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { X509Certificate } from 'node:crypto'
import { mkdtempSync, readFileSync, rmSync, statSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { writeCertificates } from './certificatesCommand.js'

let directory: string
beforeEach(() => { directory = mkdtempSync(join(tmpdir(), 'dogwooddale-')) })
afterEach(() => rmSync(directory, { recursive: true }))

function certificateOf (name: string): X509Certificate {
  return new X509Certificate(readFileSync(join(directory, `${name}.pem`)))
}

test('host certificates name their host and are signed by the authority, also for a host that is added later', async () => {
  await writeCertificates(directory, ['guayaquil-a-1', 'duran-c-1'], 30)
  const authority = certificateOf('authority')
  await writeCertificates(directory, ['duran-c-2'], 30)
  for (const host of ['guayaquil-a-1', 'duran-c-1', 'duran-c-2']) {
    const certificate = certificateOf(host)
    expect(certificate.verify(authority.publicKey)).toBe(true)
    expect(certificate.subjectAltName).toBe(`DNS:${host}`)
    expect(new Date(certificate.validTo).getTime()).toBeGreaterThan(Date.now())
    expect(statSync(join(directory, `${host}.key.pem`)).mode & 0o077).toBe(0)
  }
})

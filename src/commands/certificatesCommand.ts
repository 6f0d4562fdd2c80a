/**
 * `dogwooddale certificates`: makes a certificate authority and host certificates for trials of mutual TLS between
 * hosts. An authority that is already in the directory is reused, so that single hosts can be added or renewed.
 */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { CommandModule } from 'yargs'
import { errorResponses, hostIdSchema } from '../common/index.js'
import type { CertificatePair, Validity } from '../peers/makeCertificates.js'

const dayMilliseconds = 86_400_000

/** Time before its creation at which a certificate becomes valid, so that hosts whose clocks are behind accept it. */
const clockToleranceMilliseconds = 3_600_000

function validityOf (days: number): Validity {
  const now = Date.now()
  return { notBefore: new Date(now - clockToleranceMilliseconds), notAfter: new Date(now + days * dayMilliseconds) }
}

function writeCertificatePair (directory: string, name: string, pair: CertificatePair): void {
  writeFileSync(join(directory, `${name}.key.pem`), pair.key, { mode: 0o600 })
  writeFileSync(join(directory, `${name}.pem`), pair.certificate)
}

/** Writes the files `authority.pem` and `<host>.pem` and their keys `*.key.pem`. */
export async function writeCertificates (directory: string, hosts: string[], days: number): Promise<void> {
  // Loaded on demand, since the library takes time and memory and no other command needs it.
  const { makeAuthority, makeHostCertificate } = await import('../peers/makeCertificates.js')
  mkdirSync(directory, { recursive: true })
  const files = { certificate: join(directory, 'authority.pem'), key: join(directory, 'authority.key.pem') }
  const authorityExists = existsSync(files.certificate) && existsSync(files.key)
  const authority = authorityExists
    ? { certificate: readFileSync(files.certificate, 'utf8'), key: readFileSync(files.key, 'utf8') }
    : await makeAuthority('dogwooddale trial authority', validityOf(days))
  if (!authorityExists) writeCertificatePair(directory, 'authority', authority)
  for (const host of hosts) writeCertificatePair(directory, host, await makeHostCertificate(authority, host, validityOf(days)))
}

/** The `certificates` command. */
export const certificatesCommand: CommandModule = {
  command: 'certificates',
  describe: 'Make a certificate authority and host certificates for trials of mutual TLS between hosts',
  builder: parser => parser
    .option('directory', { type: 'string', demandOption: true, describe: 'Directory for the files' })
    .option('hosts', { type: 'string', array: true, demandOption: true, describe: 'Ids of the hosts' })
    .option('days', { type: 'number', default: 30, describe: 'Days for which the certificates are valid' }),
  handler: async args => {
    const hosts = args.hosts as string[]
    const invalidHosts = hosts.filter(host => host === 'authority' || !hostIdSchema.safeParse(host).success)
    if (invalidHosts.length > 0) {
      process.stderr.write(`not a host id: ${invalidHosts.join(', ')}\n`)
      process.exitCode = errorResponses.bad_request.exitStatus
      return
    }
    await writeCertificates(args.directory as string, hosts, args.days as number)
    process.stdout.write(`wrote certificates of ${hosts.length} hosts to ${args.directory as string}\n`)
  }
}

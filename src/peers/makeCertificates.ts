/**
 * Makes an authority and host certificates for trying mutual TLS. A host certificate names the host id as a
 * DNS name: hosts check each other by id, since a replaced host keeps its id and may change its address.
 */
import * as x509 from '@peculiar/x509'
import { randomBytes, webcrypto } from 'node:crypto'

/** A certificate and its private key, PEM. */
export interface CertificatePair {
  certificate: string
  key: string
}

/** Time for which a certificate is valid. */
export interface Validity {
  notBefore: Date
  notAfter: Date
}

const algorithm = { name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256' }

/** Makes the certificate of an authority. */
export async function makeAuthority (name: string, validity: Validity): Promise<CertificatePair> {
  const keys = await newKeys()
  const certificate = await x509.X509CertificateGenerator.createSelfSigned({
    ...validity,
    serialNumber: newSerialNumber(),
    name: `CN=${name}`,
    keys,
    signingAlgorithm: algorithm,
    extensions: [
      new x509.BasicConstraintsExtension(true, 0, true),
      new x509.KeyUsagesExtension(x509.KeyUsageFlags.keyCertSign | x509.KeyUsageFlags.cRLSign, true)
    ]
  }, webcrypto)
  return { certificate: certificate.toString('pem'), key: await pemOf(keys.privateKey) }
}

/** Makes the certificate of a host, signed by the authority. */
export async function makeHostCertificate (
  authority: CertificatePair, hostId: string, validity: Validity
): Promise<CertificatePair> {
  const keys = await newKeys()
  const certificate = await x509.X509CertificateGenerator.create({
    ...validity,
    serialNumber: newSerialNumber(),
    subject: `CN=${hostId}`,
    issuer: new x509.X509Certificate(authority.certificate).subject,
    publicKey: keys.publicKey,
    signingKey: await readKey(authority.key),
    signingAlgorithm: algorithm,
    extensions: [
      new x509.SubjectAlternativeNameExtension([{ type: 'dns', value: hostId }]),
      new x509.ExtendedKeyUsageExtension([x509.ExtendedKeyUsage.serverAuth, x509.ExtendedKeyUsage.clientAuth])
    ]
  }, webcrypto)
  return { certificate: certificate.toString('pem'), key: await pemOf(keys.privateKey) }
}

async function newKeys (): Promise<webcrypto.CryptoKeyPair> {
  return await webcrypto.subtle.generateKey(algorithm, true, ['sign', 'verify']) as webcrypto.CryptoKeyPair
}

async function pemOf (key: webcrypto.CryptoKey): Promise<string> {
  return x509.PemConverter.encode(await webcrypto.subtle.exportKey('pkcs8', key), 'PRIVATE KEY')
}

async function readKey (pem: string): Promise<webcrypto.CryptoKey> {
  const [bytes] = x509.PemConverter.decode(pem)
  return await webcrypto.subtle.importKey('pkcs8', bytes as ArrayBuffer, algorithm, false, ['sign'])
}

/** A random positive number of 16 bytes, in hexadecimal. */
function newSerialNumber (): string {
  const bytes = randomBytes(16)
  bytes[0] = (bytes[0] as number) & 0x7f | 0x01
  return bytes.toString('hex')
}

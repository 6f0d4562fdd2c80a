/**
 * Creates a certificate authority and host certificates for trials of mutual TLS. A host certificate contains the host
 * id as its DNS name. Hosts verify each other by id and not by address, since a replaced host keeps its id but its
 * address may change.
 */
import * as x509 from '@peculiar/x509'
import { randomBytes, webcrypto } from 'node:crypto'

/** A certificate and its private key, in PEM format. */
export interface CertificatePair {
  certificate: string
  key: string
}

/** Validity period of a certificate. */
export interface Validity {
  notBefore: Date
  notAfter: Date
}

const keyAlgorithm = { name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256' }

/** Creates a self-signed certificate of an authority. */
export async function makeAuthority (name: string, validity: Validity): Promise<CertificatePair> {
  const keys = await generateKeyPair()
  const certificate = await x509.X509CertificateGenerator.createSelfSigned({
    ...validity,
    serialNumber: newSerialNumber(),
    name: `CN=${name}`,
    keys,
    signingAlgorithm: keyAlgorithm,
    extensions: [
      new x509.BasicConstraintsExtension(true, 0, true),
      new x509.KeyUsagesExtension(x509.KeyUsageFlags.keyCertSign | x509.KeyUsageFlags.cRLSign, true)
    ]
  }, webcrypto)
  return { certificate: certificate.toString('pem'), key: await exportPrivateKey(keys.privateKey) }
}

/** Creates a host certificate signed by the authority, for use as server and client. */
export async function makeHostCertificate (
  authority: CertificatePair, hostId: string, validity: Validity
): Promise<CertificatePair> {
  const keys = await generateKeyPair()
  const certificate = await x509.X509CertificateGenerator.create({
    ...validity,
    serialNumber: newSerialNumber(),
    subject: `CN=${hostId}`,
    issuer: new x509.X509Certificate(authority.certificate).subject,
    publicKey: keys.publicKey,
    signingKey: await importPrivateKey(authority.key),
    signingAlgorithm: keyAlgorithm,
    extensions: [
      new x509.SubjectAlternativeNameExtension([{ type: 'dns', value: hostId }]),
      new x509.ExtendedKeyUsageExtension([x509.ExtendedKeyUsage.serverAuth, x509.ExtendedKeyUsage.clientAuth])
    ]
  }, webcrypto)
  return { certificate: certificate.toString('pem'), key: await exportPrivateKey(keys.privateKey) }
}

async function generateKeyPair (): Promise<webcrypto.CryptoKeyPair> {
  return await webcrypto.subtle.generateKey(keyAlgorithm, true, ['sign', 'verify']) as webcrypto.CryptoKeyPair
}

async function exportPrivateKey (key: webcrypto.CryptoKey): Promise<string> {
  return x509.PemConverter.encode(await webcrypto.subtle.exportKey('pkcs8', key), 'PRIVATE KEY')
}

async function importPrivateKey (pem: string): Promise<webcrypto.CryptoKey> {
  const [bytes] = x509.PemConverter.decode(pem)
  return await webcrypto.subtle.importKey('pkcs8', bytes as ArrayBuffer, keyAlgorithm, false, ['sign'])
}

/** Generates a random positive serial number of 16 bytes, in hexadecimal. */
function newSerialNumber (): string {
  const bytes = randomBytes(16)
  bytes[0] = (bytes[0] as number) & 0x7f | 0x01
  return bytes.toString('hex')
}

/**
 * The certificate, key and authority of this host for mutual TLS between hosts. The files are read anew when
 * they change: new connections use the new ones, open connections go on. A set that cannot be used (half
 * written, key of another certificate) is reported, and the last usable one stays in use.
 */
import type { experimental } from '@grpc/grpc-js'
import { X509Certificate, createPrivateKey } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { Result } from 'true-myth'
import { type Clock, type Failure, failure, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { HostSettings } from '../settings/index.js'

/** Contents of the three files, PEM. */
export interface CertificateSet {
  certificate: Buffer
  key: Buffer
  authority: Buffer
}

/** Options of `PeerCertificates`. */
export interface PeerCertificatesOptions {
  files: NonNullable<HostSettings['peerTls']>
  clock: Clock
  log: EventLog
  /** Time between two looks at the files, in milliseconds. Default 2000. */
  pollMilliseconds?: number
}

/** The certificates of this host. */
export class PeerCertificates {
  private readonly listeners = new Set<(set: CertificateSet) => void>()
  private readonly task: Task
  private lastProblem: string | undefined

  private constructor (private readonly options: PeerCertificatesOptions, private set: CertificateSet) {
    this.task = Task.start(signal => this.poll(signal), error => {
      options.log.error('peer_certificates_failed', { reason: String(error) })
    })
  }

  /** Reads the files and starts to watch them. Errors: `bad_request` when they cannot be used. */
  static async load (options: PeerCertificatesOptions): Promise<Result<PeerCertificates, Failure>> {
    const read = await readSet(options.files)
    return read.map(set => new PeerCertificates(options, set))
  }

  /** The set in use. */
  get current (): CertificateSet {
    return this.set
  }

  /** Calls the listener with each new set. Returns a function that ends this. */
  onChange (listener: (set: CertificateSet) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Stops to watch the files. */
  async stop (): Promise<void> {
    await this.task.stop()
  }

  /** Reads the files once, as the watch does. */
  async refresh (): Promise<void> {
    const read = await readSet(this.options.files)
    if (read.isErr) {
      if (read.error.message !== this.lastProblem) this.options.log.error('peer_certificates_unusable', { reason: read.error.message })
      this.lastProblem = read.error.message
      return
    }
    this.lastProblem = undefined
    const isSame = this.set.certificate.equals(read.value.certificate) &&
      this.set.key.equals(read.value.key) && this.set.authority.equals(read.value.authority)
    if (isSame) return
    this.set = read.value
    this.options.log.info('peer_certificates_loaded', { expires: new X509Certificate(this.set.certificate).validTo })
    for (const listener of this.listeners) listener(this.set)
  }

  private async poll (signal: AbortSignal): Promise<void> {
    for (;;) {
      await this.options.clock.sleep(this.options.pollMilliseconds ?? 2000, signal)
      if (signal.aborted) return
      await this.refresh()
    }
  }
}

async function readSet (files: PeerCertificatesOptions['files']): Promise<Result<CertificateSet, Failure>> {
  try {
    const [certificate, key, authority] = await Promise.all(
      [files.certificateFile, files.keyFile, files.authorityFile].map(file => readFile(file))) as [Buffer, Buffer, Buffer]
    if (!new X509Certificate(certificate).checkPrivateKey(createPrivateKey(key))) {
      return Result.err(failure('bad_request', `${files.keyFile} is not the key of ${files.certificateFile}`))
    }
    // Throws if the file does not start with a certificate.
    new X509Certificate(authority).toString()
    return Result.ok({ certificate, key, authority })
  } catch (caught) {
    return Result.err(failure('bad_request', `certificates of this host: ${(caught as Error).message}`))
  }
}

/** The certificates in the form in which grpc-js takes changing ones. */
export class CertificateFeed implements experimental.CertificateProvider {
  private readonly ends = new Map<unknown, () => void>()

  constructor (private readonly certificates: PeerCertificates) {}

  addCaCertificateListener (listener: experimental.CaCertificateUpdateListener): void {
    this.add(listener, ({ authority }) => listener({ caCertificate: authority }))
  }

  removeCaCertificateListener (listener: experimental.CaCertificateUpdateListener): void {
    this.remove(listener)
  }

  addIdentityCertificateListener (listener: experimental.IdentityCertificateUpdateListener): void {
    this.add(listener, ({ certificate, key }) => listener({ certificate, privateKey: key }))
  }

  removeIdentityCertificateListener (listener: experimental.IdentityCertificateUpdateListener): void {
    this.remove(listener)
  }

  private add (key: unknown, listener: (set: CertificateSet) => void): void {
    this.ends.set(key, this.certificates.onChange(listener))
    // The library expects the first call after this one has returned.
    process.nextTick(() => { if (this.ends.has(key)) listener(this.certificates.current) })
  }

  private remove (key: unknown): void {
    this.ends.get(key)?.()
    this.ends.delete(key)
  }
}

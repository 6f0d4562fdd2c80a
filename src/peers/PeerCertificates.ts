/**
 * Loads this host's certificate, its private key and the certificate authority for mutual TLS between hosts, and
 * reloads the files when they change. New connections use the reloaded files; open connections are not affected. If
 * the files cannot be used (for example one is half-written, or the key belongs to another certificate), an error is
 * logged and the last usable set stays in use.
 */
import type { experimental } from '@grpc/grpc-js'
import { X509Certificate, createPrivateKey } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { Result } from 'true-myth'
import { type Clock, type Failure, failure, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { HostSettings } from '../settings/index.js'

/** Contents of the certificate, key and authority files, in PEM format. */
export interface CertificateSet {
  certificate: Buffer
  key: Buffer
  authority: Buffer
}

/** Options of `PeerCertificates`. */
export interface PeerCertificatesOptions {
  files: NonNullable<HostSettings['peerTls']>
  clock: Clock
  events: EventLog
  /** Interval at which the files are checked for changes, in milliseconds. Default: 2,000. */
  pollMilliseconds?: number
}

/** Holds the last usable certificate set and passes each new set to its listeners. */
export class PeerCertificates {
  private readonly listeners = new Set<(set: CertificateSet) => void>()
  private readonly task: Task
  private lastErrorMessage: string | undefined

  private constructor (private readonly options: PeerCertificatesOptions, private set: CertificateSet) {
    this.task = Task.start(signal => this.poll(signal), error => {
      options.events.error('peer_certificates_failed', { reason: String(error) })
    })
  }

  /** Reads the files and starts polling them for changes. Errors: `bad_request` if they cannot be used. */
  static async load (options: PeerCertificatesOptions): Promise<Result<PeerCertificates, Failure>> {
    const read = await readCertificateSet(options.files)
    return read.map(set => new PeerCertificates(options, set))
  }

  /** The last usable set. */
  get current (): CertificateSet {
    return this.set
  }

  /** Calls the listener with each new set. Returns a function that ends the subscription. */
  onChange (listener: (set: CertificateSet) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Stops polling the files. */
  async stop (): Promise<void> {
    await this.task.stop()
  }

  /**
   * Reads the files once, as each poll does. If they form a usable set that differs from the current one, it becomes the
   * current set and is passed to the listeners. A repeated error is logged only once.
   */
  async refresh (): Promise<void> {
    const read = await readCertificateSet(this.options.files)
    if (read.isErr) {
      if (read.error.message !== this.lastErrorMessage) this.options.events.error('peer_certificates_unusable', { reason: read.error.message })
      this.lastErrorMessage = read.error.message
      return
    }
    this.lastErrorMessage = undefined
    const isUnchanged = this.set.certificate.equals(read.value.certificate) &&
      this.set.key.equals(read.value.key) && this.set.authority.equals(read.value.authority)
    if (isUnchanged) return
    this.set = read.value
    this.options.events.info('peer_certificates_loaded', { expires: new X509Certificate(this.set.certificate).validTo })
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

async function readCertificateSet (files: PeerCertificatesOptions['files']): Promise<Result<CertificateSet, Failure>> {
  try {
    const [certificate, key, authority] = await Promise.all(
      [files.certificateFile, files.keyFile, files.authorityFile].map(file => readFile(file))) as [Buffer, Buffer, Buffer]
    if (!new X509Certificate(certificate).checkPrivateKey(createPrivateKey(key))) {
      return Result.err(failure('bad_request', `${files.keyFile} is not the private key of the certificate in ${files.certificateFile}`))
    }
    // The constructor throws if the file does not start with a certificate.
    new X509Certificate(authority).toString()
    return Result.ok({ certificate, key, authority })
  } catch (caught) {
    return Result.err(failure('bad_request', `cannot load the certificates of this host: ${(caught as Error).message}`))
  }
}

/** Provides `PeerCertificates` to grpc-js, including later changes. */
export class PeerCertificateProvider implements experimental.CertificateProvider {
  private readonly unsubscribers = new Map<unknown, () => void>()

  constructor (private readonly certificates: PeerCertificates) {}

  addCaCertificateListener (listener: experimental.CaCertificateUpdateListener): void {
    this.subscribe(listener, ({ authority }) => listener({ caCertificate: authority }))
  }

  removeCaCertificateListener (listener: experimental.CaCertificateUpdateListener): void {
    this.unsubscribe(listener)
  }

  addIdentityCertificateListener (listener: experimental.IdentityCertificateUpdateListener): void {
    this.subscribe(listener, ({ certificate, key }) => listener({ certificate, privateKey: key }))
  }

  removeIdentityCertificateListener (listener: experimental.IdentityCertificateUpdateListener): void {
    this.unsubscribe(listener)
  }

  private subscribe (grpcListener: unknown, listener: (set: CertificateSet) => void): void {
    this.unsubscribers.set(grpcListener, this.certificates.onChange(listener))
    // grpc-js expects that the listener is first called after this method has returned.
    process.nextTick(() => { if (this.unsubscribers.has(grpcListener)) listener(this.certificates.current) })
  }

  private unsubscribe (grpcListener: unknown): void {
    this.unsubscribers.get(grpcListener)?.()
    this.unsubscribers.delete(grpcListener)
  }
}

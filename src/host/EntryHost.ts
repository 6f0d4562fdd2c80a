/**
 * An entry host: builds its parts, starts them in order, and shuts down gracefully.
 */
import { Result } from 'true-myth'
import type { Failure } from '../common/index.js'
import { type CallerServer, serve } from '../entry/index.js'
import { PeerCertificates } from '../peers/index.js'
import type { HostSettings } from '../settings/index.js'
import { ControlPart, type HostAddresses } from './ControlPart.js'
import { attempt, createContext, type HostContext } from './HostContext.js'
import { RequestPart } from './RequestPart.js'

/** State of a host's life. `ready` is the only one in which the balancer should send traffic. */
export type LifeState = 'starting' | 'ready' | 'draining' | 'stopped'

/** A running host. */
export class EntryHost {
  private state: LifeState = 'starting'
  private draining: Promise<boolean> | undefined
  private readonly control: ControlPart
  private requests: RequestPart | undefined
  private callers: CallerServer | undefined
  private listening: HostAddresses | undefined

  private constructor (private readonly context: HostContext, certificates: PeerCertificates | undefined) {
    this.control = new ControlPart({
      context,
      certificates,
      status: () => ({ ready: this.state === 'ready', draining: this.state === 'draining' })
    })
  }

  /**
   * Starts a host and waits until it is ready to serve. Errors: `internal` if an address cannot be used,
   * `bad_request` if the files of `peerTls` cannot.
   */
  static async start (settings: HostSettings): Promise<Result<EntryHost, Failure>> {
    const context = createContext(settings)
    const certificates = await loadCertificates(context)
    if (certificates.isErr) return Result.err(certificates.error)
    const host = new EntryHost(context, certificates.value)
    const started = await host.run()
    if (started.isErr) await host.close()
    return started.map(() => host)
  }

  /** Addresses on which the host listens. */
  get addresses (): HostAddresses {
    if (this.listening === undefined) throw new Error('the host does not listen yet')
    return this.listening
  }

  /**
   * Shuts down gracefully: readiness goes first, then new connections are refused, open requests end whole,
   * use is stored. Calling it again waits for the same shutdown. Resolves to false if requests or use were
   * left when the time limit passed.
   */
  drain (): Promise<boolean> {
    this.draining ??= this.drainOnce()
    return this.draining
  }

  private async run (): Promise<Result<void, Failure>> {
    const { context, control } = this
    const { settings, events } = context
    const requests = await RequestPart.create({
      context,
      control,
      ready: () => this.state === 'ready',
      draining: () => this.state === 'draining'
    })
    this.requests = requests
    const peers = await control.listen(requests.peerHandlers())
    if (peers.isErr) return Result.err(peers.error)
    const callers = await attempt(() => serve({
      application: requests.application,
      addresses: settings.listen.callers,
      maxHeaderBytes: settings.limits.maxHeaderBytes
    }))
    if (callers.isErr) return Result.err(callers.error)
    this.callers = callers.value
    this.listening = { callers: callers.value.addresses, administration: settings.listen.administration, peers: peers.value }
    await control.start(this.listening)
    requests.start()
    await control.followers.waitUntilReady()
    this.state = 'ready'
    events.info('host_ready', { zone: settings.host.zone, incarnation: context.incarnation, through: control.configuration.through })
    return Result.ok(undefined)
  }

  private async drainOnce (): Promise<boolean> {
    const { settings, clock, events } = this.context
    this.state = 'draining'
    events.info('drain_started', { open: this.requests?.requests.view().length ?? 0 })
    this.control.membership.leave()
    await clock.sleep(settings.drain.readinessDelayMilliseconds)
    const closed = this.callers?.close()
    const finished = await this.requests?.drain(AbortSignal.timeout(settings.drain.timeoutMilliseconds)) ?? true
    if (finished) await closed
    events.info('drain_ended', { complete: finished })
    await this.close()
    return finished
  }

  private async close (): Promise<void> {
    await this.requests?.stop()
    await this.control.stop()
    await this.context.log.close()
    await this.context.hostList.close()
    this.state = 'stopped'
  }
}

async function loadCertificates (context: HostContext): Promise<Result<PeerCertificates | undefined, Failure>> {
  const { settings, clock, events } = context
  if (settings.peerTls === undefined) return Result.ok(undefined)
  return await PeerCertificates.load({ files: settings.peerTls, clock, log: events })
}

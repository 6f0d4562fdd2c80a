/**
 * An entry host: builds its parts, starts them in order, and shuts down gracefully.
 */
import { Result } from 'true-myth'
import { failure, type Failure, type Model } from '../common/index.js'
import { type ListeningServer, serve } from '../entry/index.js'
import type { HostSettings } from '../settings/index.js'
import { AdministrationPart } from './AdministrationPart.js'
import { ControlPart, type HostAddresses } from './ControlPart.js'
import { FleetPart } from './FleetPart.js'
import { attempt, createContext, type HostContext } from './HostContext.js'
import { RequestPart } from './RequestPart.js'

/** State of a host's life. `ready` is the only one in which the balancer should send traffic. */
export type LifeState = 'starting' | 'ready' | 'draining' | 'stopped'

/** A running host. */
export class EntryHost {
  private state: LifeState = 'starting'
  private draining: Promise<boolean> | undefined
  private readonly closing = new AbortController()
  private closed: Promise<void> | undefined
  private requests: RequestPart | undefined
  private fleet: FleetPart | undefined
  private administration: AdministrationPart | undefined
  private callers: ListeningServer | undefined
  private operators: ListeningServer | undefined
  private listening: HostAddresses | undefined

  private control: ControlPart | undefined

  private constructor (private readonly context: HostContext) {}

  /** Makes a host that does not listen yet. */
  static create (settings: HostSettings): EntryHost {
    return new EntryHost(createContext(settings))
  }

  /**
   * Starts the host and waits until it is ready to serve. Errors: `internal` if an address cannot be used,
   * `bad_request` for unusable certificates, `draining` if it was told to stop before it was ready.
   */
  async start (): Promise<Result<void, Failure>> {
    const started = await this.run()
    if (started.isErr) await this.close()
    return started
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

  private get requestPart (): RequestPart {
    if (this.requests === undefined) throw new Error('the request part does not exist yet')
    return this.requests
  }

  private async run (): Promise<Result<void, Failure>> {
    const { context } = this
    const { settings, events } = context
    const created = await ControlPart.create({
      context,
      status: () => ({ ready: this.state === 'ready', draining: this.state === 'draining' }),
      furtherProjections: part => {
        this.fleet = new FleetPart({ context, control: part, requests: () => this.requestPart })
        return [this.fleet.orders]
      }
    })
    if (created.isErr) return Result.err(created.error)
    const control = created.value
    this.control = control
    const { fleet } = this
    if (fleet === undefined) throw new Error('the fleet part is made with the control part')
    const requests = await RequestPart.create({
      context,
      control,
      onUse: record => fleet.meter.add({
        model: record.model as Model,
        prefillTokens: record.promptTokens - record.cachedPromptTokens,
        decodeTokens: record.generatedTokens
      }),
      ready: () => this.state === 'ready',
      draining: () => this.state === 'draining'
    })
    this.requests = requests
    const peers = await control.listen({ ...requests.peerHandlers(), ...fleet.peerHandlers() })
    if (peers.isErr) return Result.err(peers.error)
    const callers = await attempt(() => serve({
      application: requests.application,
      addresses: settings.listen.callers,
      maxHeaderBytes: settings.limits.maxHeaderBytes
    }))
    if (callers.isErr) return Result.err(callers.error)
    this.callers = callers.value
    const administration = new AdministrationPart({
      context,
      control,
      requests,
      fleet,
      ready: () => this.state === 'ready',
      draining: () => this.state === 'draining',
      drain: () => { this.drain().catch(error => events.error('drain_failed', { reason: String(error) })) }
    })
    this.administration = administration
    const operators = await attempt(() => serve({
      application: administration.application,
      addresses: [settings.listen.administration],
      maxHeaderBytes: settings.limits.maxHeaderBytes
    }))
    if (operators.isErr) return Result.err(operators.error)
    this.operators = operators.value
    this.listening = { callers: callers.value.addresses, administration: operators.value.addresses[0] ?? '', peers: peers.value }
    await control.start(this.listening)
    requests.start()
    await control.followers.waitUntilReady(this.closing.signal)
    if (this.state !== 'starting') return Result.err(failure('draining', 'the host was stopped before it was ready'))
    control.startDuties()
    fleet.start()
    this.state = 'ready'
    events.info('host_ready', { zone: settings.host.zone, incarnation: context.incarnation, through: control.configuration.through })
    return Result.ok(undefined)
  }

  private async drainOnce (): Promise<boolean> {
    const { settings, clock, events } = this.context
    const wasReady = this.state === 'ready'
    this.state = 'draining'
    events.info('drain_started', { open: this.requests?.requests.view().length ?? 0 })
    if (!wasReady) {
      await this.close()
      return true
    }
    this.control?.membership.leave()
    // An order on its way can take minutes; requests drain meanwhile.
    const dutiesEnded = this.endDuties()
    await clock.sleep(settings.drain.readinessDelayMilliseconds)
    const closed = this.callers?.close()
    const finished = await this.requests?.drain(AbortSignal.timeout(settings.drain.timeoutMilliseconds)) ?? true
    if (finished) await closed
    await dutiesEnded
    events.info('drain_ended', { complete: finished })
    await this.close()
    return finished
  }

  /** Ends the duties and hands them over. The lease is released last, so that no order is sent without it. */
  private async endDuties (): Promise<void> {
    await this.fleet?.stop()
    await this.control?.stopDuties()
  }

  /** Ends everything; the failed start and the shutdown during a start may both come here. */
  private close (): Promise<void> {
    this.closed ??= this.closeOnce()
    return this.closed
  }

  private async closeOnce (): Promise<void> {
    this.closing.abort()
    await this.administration?.stop()
    await this.operators?.close()
    await this.fleet?.stop()
    await this.fleet?.close()
    await this.requests?.stop()
    await this.control?.stop()
    await this.context.log.close()
    await this.context.hostList.close()
    this.state = 'stopped'
  }
}

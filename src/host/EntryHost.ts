/**
 * An entry host: creates its parts, starts them in order, and shuts them down gracefully.
 */
import { once } from 'node:events'
import { Result } from 'true-myth'
import { failure, type Failure, type Model } from '../common/index.js'
import { type ListeningServer, serve } from '../entry/index.js'
import { ClientIntake, deriveIntakeLimits } from '../intake/index.js'
import type { HostSettings } from '../settings/index.js'
import { AdministrationPart } from './AdministrationPart.js'
import { ControlPart, type HostAddresses } from './ControlPart.js'
import { FleetPart } from './FleetPart.js'
import { createContext, type HostContext, resultOfStep } from './HostContext.js'
import { RequestPart } from './RequestPart.js'

/** Maximum number of connections of operators and their programs. */
const maxAdministrationConnections = 256

/** Lifecycle state of a host. The load balancer should send requests only to a host that is `ready`. */
export type LifecycleState = 'starting' | 'ready' | 'draining' | 'stopped'

/** Owns the parts and HTTP servers of an entry host and tracks its lifecycle state. */
export class EntryHost {
  private state: LifecycleState = 'starting'
  private drainPromise: Promise<boolean> | undefined
  private readonly closing = new AbortController()
  private closePromise: Promise<void> | undefined
  private requests: RequestPart | undefined
  private fleet: FleetPart | undefined
  private administration: AdministrationPart | undefined
  private callerServer: ListeningServer | undefined
  private administrationServer: ListeningServer | undefined
  private listenAddresses: HostAddresses | undefined

  private control: ControlPart | undefined

  /** Limits of callers, and those of operators, whom a crowd of callers does not keep out. */
  private readonly intake: ClientIntake
  private readonly administrationIntake: ClientIntake

  private constructor (private readonly context: HostContext) {
    const { settings, clock, events } = context
    const limits = deriveIntakeLimits(settings.limits)
    this.intake = new ClientIntake({ limits, clock, events })
    const administrationLimits = { ...limits, maxConnections: maxAdministrationConnections }
    this.administrationIntake = new ClientIntake({ limits: administrationLimits, clock, events })
  }

  /** Creates a host that does not listen yet. */
  static create (settings: HostSettings): EntryHost {
    return new EntryHost(createContext(settings))
  }

  /**
   * Starts the host and waits until it is ready to serve requests. Errors: `internal` if an address cannot be bound,
   * `bad_request` if the certificates cannot be used, `draining` if the shutdown began before the host was ready.
   */
  async start (): Promise<Result<void, Failure>> {
    const started = await this.startParts()
    if (started.isErr) await this.close()
    return started
  }

  /** Addresses on which the host listens. Throws before it listens. */
  get addresses (): HostAddresses {
    if (this.listenAddresses === undefined) throw new Error('the host does not listen yet')
    return this.listenAddresses
  }

  /**
   * Shuts down gracefully: reports that it is not ready, then stops accepting connections, completes the open requests
   * and waits until the log has stored their usage. Further calls wait for the same shutdown. Resolves to false if requests
   * were still open or usage was not stored when the time limit passed.
   */
  drain (): Promise<boolean> {
    this.drainPromise ??= this.drainOnce()
    return this.drainPromise
  }

  private get requestPart (): RequestPart {
    if (this.requests === undefined) throw new Error('the request part does not exist yet')
    return this.requests
  }

  private async startParts (): Promise<Result<void, Failure>> {
    const { context } = this
    const { settings, events } = context
    const created = await ControlPart.create({
      context,
      status: () => ({ ready: this.state === 'ready', draining: this.state === 'draining' }),
      additionalProjections: part => {
        this.fleet = new FleetPart({ context, control: part, requests: () => this.requestPart })
        return [this.fleet.orders]
      }
    })
    if (created.isErr) return Result.err(created.error)
    const control = created.value
    this.control = control
    const { fleet } = this
    if (fleet === undefined) throw new Error('the control part did not create the fleet part')
    const requests = await RequestPart.create({
      context,
      control,
      onUsageRecord: record => fleet.demandMeter.add({
        model: record.model as Model,
        prefillTokens: record.promptTokens - record.cachedPromptTokens,
        decodeTokens: record.generatedTokens
      }),
      ready: () => this.state === 'ready',
      draining: () => this.state === 'draining'
    })
    this.requests = requests
    const peerServerResult = await control.listen({ ...requests.peerHandlers(), ...fleet.peerHandlers() })
    if (peerServerResult.isErr) return Result.err(peerServerResult.error)
    this.intake.expose(context.metrics)
    const callerServerResult = await resultOfStep(() => serve({
      intake: this.intake,
      application: requests.application,
      addresses: settings.listen.callers,
      maxHeaderBytes: settings.limits.maxHeaderBytes
    }))
    if (callerServerResult.isErr) return Result.err(callerServerResult.error)
    this.callerServer = callerServerResult.value
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
    const administrationServerResult = await resultOfStep(() => serve({
      intake: this.administrationIntake,
      application: administration.application,
      addresses: [settings.listen.administration],
      maxHeaderBytes: settings.limits.maxHeaderBytes
    }))
    if (administrationServerResult.isErr) return Result.err(administrationServerResult.error)
    this.administrationServer = administrationServerResult.value
    this.listenAddresses = {
      callers: callerServerResult.value.addresses,
      administration: administrationServerResult.value.addresses[0] ?? '',
      peers: peerServerResult.value
    }
    await control.start(this.listenAddresses)
    requests.start()
    await control.followers.waitUntilReady(this.closing.signal)
    if (this.state !== 'starting') return Result.err(failure('draining', 'the host was stopped before it was ready'))
    control.startLeaseTasks()
    administration.usage.startSnapshots()
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
    // Waiting for an in-flight order can take minutes, so the requests are drained at the same time.
    const leaseTasksStopped = this.stopLeaseTasks()
    await clock.sleep(settings.drain.readinessDelayMilliseconds)
    const timeout = AbortSignal.timeout(settings.drain.timeoutMilliseconds)
    const timedOut = once(timeout, 'abort').then(() => false)
    const callersClosed = this.callerServer?.close().then(() => true) ?? true
    const areRequestsDrained = await this.requests?.drain(timeout) ?? true
    // A caller that stalls in the middle of its request keeps its connection open.
    const isComplete = areRequestsDrained && await Promise.race([callersClosed, timedOut])
    await leaseTasksStopped
    events.info('drain_ended', { complete: isComplete })
    await this.close()
    return isComplete
  }

  /** Stops sending orders to engines before it releases the leases, so that no order is sent without the lease. */
  private async stopLeaseTasks (): Promise<void> {
    await this.fleet?.stop()
    await this.administration?.usage.stopSnapshots()
    await this.control?.stopLeaseTasks()
  }

  /** Closes all parts once, although both a failed start and a shutdown during the start may call it. */
  private close (): Promise<void> {
    this.closePromise ??= this.closeOnce()
    return this.closePromise
  }

  private async closeOnce (): Promise<void> {
    this.closing.abort()
    await this.intake.stop()
    await this.administrationIntake.stop()
    await this.administration?.stop()
    await this.administrationServer?.close()
    await this.fleet?.stop()
    await this.fleet?.close()
    await this.requests?.stop()
    await this.control?.stop()
    await this.context.log.close()
    await this.context.hostList.close()
    this.state = 'stopped'
  }
}

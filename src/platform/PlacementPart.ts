/**
 * The part of a host that decides with the other hosts where prompts are computed: the scheduler for the cells that the
 * group assigns to this host, the listener for the questions of other hosts, and the placer that asks the schedulers of
 * all cells.
 */
import type { Socket } from 'node:net'
import type { Clock, Hash } from '../common/index.js'
import type { PermitClient } from '../limits/index.js'
import type { EventLog } from '../observability/index.js'
import {
  HeldParts, type PromptPlacer, PromptScheduler, type PromptScheduleCosts, ScheduledPromptPlacer, SchedulerListener,
  type SchedulerListenerOptions, workersOfCell
} from '../placement/index.js'
import type { Upstream, UpstreamManager } from '../upstreams/index.js'
import { CacheFeed } from './CacheFeed.js'
import { PeerSchedulerClient } from './PeerSchedulerClient.js'
import { SchedulerPermitClient } from './SchedulerPermitClient.js'
import type { PlatformSettings } from './PlatformSettings.js'
import { SchedulerDirectory } from './SchedulerDirectory.js'
import { StoreClient } from './StoreClient.js'
import type { StoreDutyGroup } from './StoreDutyGroup.js'
import type { StoreEra } from './StoreEra.js'

/** Options of a `PlacementPart`. */
export interface PlacementPartOptions {
  settings: PlatformSettings
  era: StoreEra
  clock: Clock
  events: EventLog
  hash: Hash
  upstreams: UpstreamManager
  group: StoreDutyGroup
  costs: PromptScheduleCosts
  /** Places prompts while no scheduler answers. */
  fallback: PromptPlacer
  /** Further services for other hosts on the peer port. */
  services?: ReadonlyMap<string, (socket: Socket) => void>
  /** Takes the reports of other hosts while this host holds the duties. */
  receiveReport: SchedulerListenerOptions['receiveReport']
}

/** Number of values of the 32-bit hash. */
const hashRange = 2 ** 32

/** Owns the scheduler of this host and its connections to the others. */
export class PlacementPart {
  readonly placer: PromptPlacer
  /** Parts of prompts that the workers of this host's cells hold. */
  readonly held = new HeldParts()
  /** Asks for the permits of limited workers. */
  readonly permitClient: PermitClient
  readonly directory: SchedulerDirectory
  private readonly client: PeerSchedulerClient
  private readonly listener: SchedulerListener | undefined
  private readonly cacheFeed: CacheFeed

  constructor (private readonly options: PlacementPartOptions) {
    const { settings: { host, store, listen }, era, clock, events, hash, upstreams, group, costs, fallback, services } = options
    const phase = hash.h32(host.id) / hashRange
    this.directory = new SchedulerDirectory({
      store: new StoreClient(store.address, era), era, clock, events, random: () => phase
    })
    const { held } = this
    const scheduler = new PromptScheduler({
      clock,
      events,
      held,
      costs,
      workers: pool => upstreams.candidatesForPool(pool, 'prefill').filter(({ role }) => role === 'prefill'),
      answerWorkers: pool => upstreams.candidatesForPool(pool),
      holders: pool => [...upstreams.candidatesForPool(pool, 'prefill'), ...upstreams.candidatesForPool(pool)]
    })
    const client = new PeerSchedulerClient({
      directory: this.directory,
      scheduler,
      group,
      clock,
      hash,
      limitsOf: pool => upstreams.limitsOf(pool),
      learnLimits: limits => { upstreams.learnLimits(limits) },
      askingHosts: () => this.listener?.hosts ?? 1
    })
    this.client = client
    this.permitClient = new SchedulerPermitClient({ client, upstreams, clock })
    this.placer = new ScheduledPromptPlacer({ client, fallback, zone: host.zone, clock, events })
    this.listener = listen.peers === undefined
      ? undefined
      : new SchedulerListener({
        address: listen.peers,
        scheduler,
        schedules: cell => client.schedules(cell),
        grantsPermits: cell => client.grantsPermits(cell),
        sharingHosts: () => client.sharingHosts ?? 1,
        ...(services === undefined ? {} : { services }),
        receiveReport: options.receiveReport,
        clock,
        events
      })
    this.cacheFeed = new CacheFeed({ workers: () => this.scheduledWorkers(scheduler), held, clock, events })
  }

  /** The hosts that schedule prompts. */
  schedulingHosts (): Array<{ address: string, zone: string | undefined }> {
    return this.directory.placementHosts()
  }

  /** Records that none of the hosts that schedule prompts answers. */
  reportNoSchedulingHost (): void {
    this.directory.reportFailure()
  }

  /** Workers of the cells that this host schedules. */
  private scheduledWorkers (scheduler: PromptScheduler): readonly Upstream[] {
    const { upstreams } = this.options
    return scheduler.cells.filter(cell => this.client.schedules(cell)).flatMap(cell => [
      ...workersOfCell(cell, upstreams.candidatesForPool(cell.pool, 'prefill')),
      ...workersOfCell(cell, upstreams.candidatesForPool(cell.pool))
    ])
  }

  /** Starts to listen for other hosts. Without a listener, this host still asks the others. */
  async start (): Promise<void> {
    this.cacheFeed.start()
    this.directory.start()
    try {
      await this.listener?.listen()
    } catch (caught) {
      const { listen: { peers: address } } = this.options.settings
      this.options.events.error('scheduler_listener_failed', { address, reason: (caught as Error).message })
    }
  }

  async stop (): Promise<void> {
    await this.cacheFeed.stop()
    this.client.stop()
    await this.listener?.stop()
    await this.directory.stop()
  }
}

/**
 * Keeps the membership view of a host: reads the platform's list, sends heartbeats to its neighbours in the
 * relay tree, answers those of others, and keeps this host's own entry on the list.
 */
import { Result } from 'true-myth'
import { type Clock, type Failure, type HostId, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import {
  type HeartbeatAnswer, type HeartbeatRequest, type IncomingCall, type PeerIdentity, peerIdentitySchema, type PeerPool
} from '../peers/index.js'
import type { HostListClient, ListedHost } from '../clients/index.js'
import type { HostSettings } from '../settings/index.js'
import type { HostHash } from './hostHash.js'
import type { MembershipChange, MembershipView, PeerState } from './MembershipView.js'
import { PeerTable } from './PeerTable.js'
import { RelayTree } from './RelayTree.js'

/** Options of a `MembershipManager`. */
export interface MembershipManagerOptions {
  /** This host's entry on the list, with its actual addresses. */
  self: ListedHost
  list: HostListClient
  /** Sends the heartbeats; channels to peers that are gone are released. */
  pool: Pick<PeerPool, 'heartbeat' | 'release'>
  clock: Clock
  log: EventLog
  settings: HostSettings['membership']
  hash: HostHash
  /** State of this host for the answers to heartbeats. */
  status: () => { ready: boolean, draining: boolean }
}

/** Called with each change after the view has it. */
export type MembershipListener = (change: MembershipChange) => void

/** Siblings that get heartbeats. */
const maxSiblings = 3

/** Ancestors that get heartbeats: parent and grandparent. */
const maxAncestors = 2

/** Time between two tries to change this host's entry, in milliseconds. */
const registrationRetryMilliseconds = 1000

/** Time after which an entry that the list does not show is put again, in milliseconds; the list lags by seconds. */
const registrationLagMilliseconds = 10_000

/** The manager of the membership view. */
export class MembershipManager {
  private self: ListedHost
  private readonly table: PeerTable
  private tree: RelayTree<ListedHost>
  private readonly listeners = new Set<MembershipListener>()
  private readonly changes: MembershipChange[] = []
  private readonly heartbeats = new Map<HostId, { identity: PeerIdentity, task: Task }>()
  private tasks: Task[] = []
  private isListReadable = true
  private reading: Promise<void> | undefined
  private isTreeStale = false
  private registeredAt: number | undefined

  constructor (private readonly options: MembershipManagerOptions) {
    this.self = options.self
    this.table = new PeerTable({
      self: options.self,
      clock: options.clock,
      silenceMilliseconds: options.settings.silenceMilliseconds,
      onChange: change => { this.changes.push(change) }
    })
    this.tree = this.buildTree()
  }

  /** Starts to register, to read the list and to send heartbeats. */
  start (): void {
    this.tasks = [
      this.run(signal => this.register(signal)),
      this.run(signal => this.readList(signal)),
      this.run(signal => this.watch(signal))
    ]
  }

  /** Puts this host on the list as leaving, in the background, with retries. Its children turn to other sources. */
  leave (): void {
    if (this.self.state === 'leaving') return
    this.self = { ...this.self, state: 'leaving' }
    this.registeredAt = undefined
    this.isTreeStale = true
    this.publish()
  }

  /** Stops all tasks and takes this host off the list. Errors: `platform_unavailable`; the host is stopped all the same. */
  async stop (): Promise<Result<void, Failure>> {
    const heartbeats = [...this.heartbeats.values()].map(({ task }) => task)
    this.heartbeats.clear()
    await Promise.all([...this.tasks.splice(0), ...heartbeats].map(task => task.stop()))
    const removed = await this.options.list.remove(this.self)
    if (removed.isErr) this.options.log.warn('host_removal_failed', { kind: removed.error.kind, reason: removed.error.message })
    return removed
  }

  /** The view as it is now. */
  view (): MembershipView {
    return { self: this.self, listVersion: this.table.listVersion, peers: this.table.peers, tree: this.tree }
  }

  /** State of a start of a host; undefined if this host knows nothing of it. */
  stateOf (identity: PeerIdentity): PeerState | undefined {
    return this.table.stateOf(identity)
  }

  /** Reads the list now. Callers that come while a read runs share it. */
  async refresh (): Promise<void> {
    this.reading ??= this.readListOnce().finally(() => { this.reading = undefined })
    await this.reading
  }

  /** Calls the listener with each change from now on. Returns a function that ends this. */
  onChange (listener: MembershipListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Handler of the call `Heartbeat`. */
  async answerHeartbeat (_request: HeartbeatRequest, { sender }: IncomingCall): Promise<Result<HeartbeatAnswer, Failure>> {
    const isChild = this.tree.childrenOf(this.self).some(({ hostId }) => hostId === sender.hostId)
    if (this.table.hear(sender) && isChild) this.table.watch(sender.hostId, true)
    this.publish()
    const { hostId, incarnation } = this.self
    const { ready, draining } = this.options.status()
    return Result.ok({ responder: { hostId, incarnation }, ready, draining: draining || this.self.state === 'leaving' })
  }

  private run (body: (signal: AbortSignal) => Promise<void>): Task {
    return Task.start(body, error => {
      this.options.log.error('membership_task_failed', { reason: String(error) })
    })
  }

  /** Keeps this host's entry on the list: after a change, and again if the list does not show it. */
  private async register (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.mustRegister()) await this.registerOnce()
      await this.options.clock.sleep(registrationRetryMilliseconds, signal)
    }
  }

  private mustRegister (): boolean {
    if (this.registeredAt === undefined) return true
    const isOverdue = this.options.clock.monotonic() - this.registeredAt >= registrationLagMilliseconds
    return isOverdue && this.table.listVersion !== undefined && !this.table.lists(this.self.hostId)
  }

  private async registerOnce (): Promise<void> {
    const entry = this.self
    const registered = await this.options.list.register(entry)
    if (registered.isErr) {
      this.options.log.warn('host_registration_failed', { kind: registered.error.kind, reason: registered.error.message })
      return
    }
    // The state may have changed while the call ran.
    if (entry !== this.self) return
    this.registeredAt = this.options.clock.monotonic()
    this.options.log.info('host_registered', { state: entry.state })
  }

  private async readList (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh()
      await this.options.clock.sleep(this.options.settings.listPollMilliseconds, signal)
    }
  }

  private async readListOnce (): Promise<void> {
    const read = await this.options.list.read(this.table.listVersion)
    if (read.isOk) this.table.applyList(read.value)
    this.reportList(read.isOk ? undefined : read.error)
    this.publish()
  }

  private reportList (failed: Failure | undefined): void {
    if (this.isListReadable === (failed === undefined)) return
    this.isListReadable = failed === undefined
    if (failed === undefined) this.options.log.info('host_list_available')
    else this.options.log.warn('host_list_unavailable', { kind: failed.kind, reason: failed.message })
  }

  /** Finds silence also while a heartbeat waits for its answer, and children that no longer call. */
  private async watch (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(this.options.settings.heartbeatMilliseconds, signal)
      this.table.checkSilence()
      this.publish()
    }
  }

  /** Sends heartbeats to one neighbour. */
  private async beat (host: ListedHost, signal: AbortSignal): Promise<void> {
    const { clock, pool, settings } = this.options
    const target = { hostId: host.hostId, incarnation: host.incarnation, address: host.addresses.peers }
    while (!signal.aborted) {
      const sentAt = clock.monotonic()
      const answered = await pool.heartbeat(target, { timeoutMilliseconds: settings.silenceMilliseconds / 2, signal })
      if (signal.aborted) return
      if (answered.isOk) this.table.hear(host, { draining: answered.value.draining })
      else this.takeFailure(host, answered.error)
      this.table.checkSilence()
      this.publish()
      await clock.sleep(Math.max(0, sentAt + settings.heartbeatMilliseconds - clock.monotonic()), signal)
    }
  }

  private takeFailure (host: ListedHost, failed: Failure): void {
    if (failed.kind !== 'wrong_incarnation') return
    const present = peerIdentitySchema.safeParse(failed.detail)
    if (present.success) this.table.replace(host, present.data)
  }

  /** Brings tree, heartbeats and listeners up to date with the table. */
  private publish (): void {
    // A peer that stops being a neighbour can change its state, hence the loop.
    while (this.changes.length > 0 || this.isTreeStale) {
      const changes = this.changes.splice(0)
      this.isTreeStale = false
      this.tree = this.buildTree()
      this.updateNeighbours()
      for (const change of changes) this.announce(change)
    }
  }

  private buildTree (): RelayTree<ListedHost> {
    const peers = [...this.table.peers.values()].filter(({ state }) => state !== 'leaving').map(({ host }) => host)
    const own = this.self.state === 'leaving' ? [] : [this.self]
    return new RelayTree([...own, ...peers], { fanOut: this.options.settings.fanOut, hash: this.options.hash })
  }

  private updateNeighbours (): void {
    const ancestors = this.tree.ancestorsOf(this.self).slice(0, maxAncestors)
    const neighbours = new Map([...ancestors, ...this.tree.siblingsOf(this.self, maxSiblings)].map(host => [host.hostId, host]))
    const children = new Set(this.tree.childrenOf(this.self).map(({ hostId }) => hostId))
    for (const [hostId, { identity, task }] of this.heartbeats) {
      if (neighbours.get(hostId)?.incarnation === identity.incarnation) continue
      this.heartbeats.delete(hostId)
      // Not awaited: the task itself may be the one that runs this.
      task.stop()
    }
    for (const hostId of this.table.peers.keys()) {
      if (neighbours.has(hostId)) this.table.watch(hostId, true)
      else if (!children.has(hostId)) this.table.watch(hostId, false)
    }
    if (this.tasks.length === 0) return
    for (const host of neighbours.values()) {
      if (this.heartbeats.has(host.hostId)) continue
      this.heartbeats.set(host.hostId, { identity: host, task: this.run(signal => this.beat(host, signal)) })
    }
  }

  private announce (change: MembershipChange): void {
    const { hostId, incarnation, from, to, reason } = change
    this.options.log.info('peer_state_changed', { peer: hostId, incarnation, from: from ?? 'unknown', to, reason })
    if (to === 'gone' && !this.table.peers.has(hostId)) this.options.pool.release(hostId)
    for (const listener of this.listeners) listener(change)
  }
}

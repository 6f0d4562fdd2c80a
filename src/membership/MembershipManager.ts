/**
 * Maintains a host's membership view: polls the platform's host list, sends heartbeats to the neighbours in the relay
 * tree, answers heartbeats of other hosts, and keeps this host's own entry on the list.
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
  /** Used to send heartbeats and to release the channels to peers that are gone. */
  peerPool: Pick<PeerPool, 'heartbeat' | 'release'>
  clock: Clock
  events: EventLog
  settings: HostSettings['membership']
  hash: HostHash
  /** Returns the state that this host reports in its responses to heartbeats. */
  status: () => { ready: boolean, draining: boolean }
}

/** Called with each change, after the view contains it. */
export type MembershipListener = (change: MembershipChange) => void

/** Maximum number of siblings that this host sends heartbeats to. */
const maxSiblings = 3

/** Maximum number of ancestors that this host sends heartbeats to: parent and grandparent. */
const maxAncestors = 2

/** Interval of the checks whether this host's entry must be registered, and of registration retries, in milliseconds. */
const registrationRetryMilliseconds = 1000

/** Time after a registration until a missing entry is registered again, in milliseconds; the list lags by seconds. */
const listLagMilliseconds = 10_000

/** Maintains the membership view of a host. */
export class MembershipManager {
  private self: ListedHost
  private readonly table: PeerTable
  private tree: RelayTree<ListedHost>
  private readonly listeners = new Set<MembershipListener>()
  private readonly pendingChanges: MembershipChange[] = []
  /** Identity and heartbeat task of each neighbour that this host sends heartbeats to. */
  private readonly heartbeats = new Map<HostId, { identity: PeerIdentity, task: Task }>()
  private tasks: Task[] = []
  private isListReadable = true
  private pendingRead: Promise<void> | undefined
  private isTreeStale = false
  private registeredAt: number | undefined

  constructor (private readonly options: MembershipManagerOptions) {
    this.self = options.self
    this.table = new PeerTable({
      self: options.self,
      clock: options.clock,
      silenceMilliseconds: options.settings.silenceMilliseconds,
      onChange: change => { this.pendingChanges.push(change) }
    })
    this.tree = this.buildTree()
  }

  /** Starts to register this host, to poll the list and to send heartbeats. */
  start (): void {
    this.tasks = [
      this.startTask(signal => this.runRegistration(signal)),
      this.startTask(signal => this.pollList(signal)),
      this.startTask(signal => this.checkSilencePeriodically(signal))
    ]
  }

  /** Marks this host as leaving on the list, in the background and with retries. Its children then switch to other sources. */
  leave (): void {
    if (this.self.state === 'leaving') return
    this.self = { ...this.self, state: 'leaving' }
    this.registeredAt = undefined
    this.isTreeStale = true
    this.processChanges()
  }

  /** Stops all tasks and removes this host from the list. Errors: `platform_unavailable`; the tasks are stopped even then. */
  async stop (): Promise<Result<void, Failure>> {
    const heartbeatTasks = [...this.heartbeats.values()].map(({ task }) => task)
    this.heartbeats.clear()
    await Promise.all([...this.tasks.splice(0), ...heartbeatTasks].map(task => task.stop()))
    const removed = await this.options.list.remove(this.self)
    if (removed.isErr) this.options.events.warn('host_removal_failed', { kind: removed.error.kind, reason: removed.error.message })
    return removed
  }

  /** The hosts of the deployment and their relay tree as this host sees them at the moment. */
  view (): MembershipView {
    return { self: this.self, listVersion: this.table.listVersion, peers: this.table.peers, tree: this.tree }
  }

  /** State of one incarnation of a host; undefined if this host does not know the incarnation. */
  stateOf (identity: PeerIdentity): PeerState | undefined {
    return this.table.stateOf(identity)
  }

  /** Reads the list now. Concurrent callers share one read. */
  async refresh (): Promise<void> {
    this.pendingRead ??= this.readListOnce().finally(() => { this.pendingRead = undefined })
    await this.pendingRead
  }

  /** Calls the listener with each later change. Returns a function that removes the listener. */
  onChange (listener: MembershipListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Handler of the peer call `Heartbeat`. */
  async answerHeartbeat (_request: HeartbeatRequest, { sender }: IncomingCall): Promise<Result<HeartbeatAnswer, Failure>> {
    const isChild = this.tree.childrenOf(this.self).some(({ hostId }) => hostId === sender.hostId)
    if (this.table.recordContact(sender) && isChild) this.table.setWatched(sender.hostId, true)
    this.processChanges()
    const { hostId, incarnation } = this.self
    const { ready, draining } = this.options.status()
    return Result.ok({ responder: { hostId, incarnation }, ready, draining: draining || this.self.state === 'leaving' })
  }

  private startTask (body: (signal: AbortSignal) => Promise<void>): Task {
    return Task.start(body, error => {
      this.options.events.error('membership_task_failed', { reason: String(error) })
    })
  }

  /** Registers this host's entry after each change of it, and again if the list does not contain it. */
  private async runRegistration (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.isRegistrationDue()) await this.registerOnce()
      await this.options.clock.sleep(registrationRetryMilliseconds, signal)
    }
  }

  private isRegistrationDue (): boolean {
    if (this.registeredAt === undefined) return true
    const isOverdue = this.options.clock.monotonic() - this.registeredAt >= listLagMilliseconds
    return isOverdue && this.table.listVersion !== undefined && !this.table.isListed(this.self.hostId)
  }

  private async registerOnce (): Promise<void> {
    const entry = this.self
    const registered = await this.options.list.register(entry)
    if (registered.isErr) {
      this.options.events.warn('host_registration_failed', { kind: registered.error.kind, reason: registered.error.message })
      return
    }
    // The entry may have changed during the call; the new entry is registered with the next check.
    if (entry !== this.self) return
    this.registeredAt = this.options.clock.monotonic()
    this.options.events.info('host_registered', { state: entry.state })
  }

  private async pollList (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh()
      await this.options.clock.sleep(this.options.settings.listPollMilliseconds, signal)
    }
  }

  private async readListOnce (): Promise<void> {
    const read = await this.options.list.read(this.table.listVersion)
    if (read.isOk) this.table.applyList(read.value)
    this.logListAvailability(read.isOk ? undefined : read.error)
    this.processChanges()
  }

  private logListAvailability (failure: Failure | undefined): void {
    if (this.isListReadable === (failure === undefined)) return
    this.isListReadable = failure === undefined
    if (failure === undefined) this.options.events.info('host_list_available')
    else this.options.events.warn('host_list_unavailable', { kind: failure.kind, reason: failure.message })
  }

  /** Detects silent children, and also silent neighbours while a heartbeat call to them still waits for a response. */
  private async checkSilencePeriodically (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(this.options.settings.heartbeatMilliseconds, signal)
      this.table.checkSilence()
      this.processChanges()
    }
  }

  /** Sends heartbeats to one neighbour until the signal aborts. */
  private async sendHeartbeats (host: ListedHost, signal: AbortSignal): Promise<void> {
    const { clock, peerPool, settings } = this.options
    const target = { hostId: host.hostId, incarnation: host.incarnation, address: host.addresses.peers }
    while (!signal.aborted) {
      const sentAt = clock.monotonic()
      const response = await peerPool.heartbeat(target, { timeoutMilliseconds: settings.silenceMilliseconds / 2, signal })
      if (signal.aborted) return
      if (response.isOk) this.table.recordContact(host, { draining: response.value.draining })
      else this.handleHeartbeatFailure(host, response.error)
      this.table.checkSilence()
      this.processChanges()
      await clock.sleep(Math.max(0, sentAt + settings.heartbeatMilliseconds - clock.monotonic()), signal)
    }
  }

  private handleHeartbeatFailure (host: ListedHost, failure: Failure): void {
    if (failure.kind !== 'wrong_incarnation') return
    const currentIdentity = peerIdentitySchema.safeParse(failure.detail)
    if (currentIdentity.success) this.table.replaceIncarnation(host, currentIdentity.data)
  }

  /** Updates the relay tree and the heartbeat tasks, and publishes the pending changes of the peer table. */
  private processChanges (): void {
    // Updating the neighbours can itself change a peer's state, because a peer that is no longer watched cannot be silent.
    while (this.pendingChanges.length > 0 || this.isTreeStale) {
      const changes = this.pendingChanges.splice(0)
      this.isTreeStale = false
      this.tree = this.buildTree()
      this.updateNeighbours()
      for (const change of changes) this.publishChange(change)
    }
  }

  private buildTree (): RelayTree<ListedHost> {
    const peers = [...this.table.peers.values()].filter(({ state }) => state !== 'leaving').map(({ host }) => host)
    const ownEntry = this.self.state === 'leaving' ? [] : [this.self]
    return new RelayTree([...ownEntry, ...peers], { fanOut: this.options.settings.fanOut, hash: this.options.hash })
  }

  private updateNeighbours (): void {
    const ancestors = this.tree.ancestorsOf(this.self).slice(0, maxAncestors)
    const neighbours = new Map([...ancestors, ...this.tree.siblingsOf(this.self, maxSiblings)].map(host => [host.hostId, host]))
    const children = new Set(this.tree.childrenOf(this.self).map(({ hostId }) => hostId))
    for (const [hostId, { identity, task }] of this.heartbeats) {
      if (neighbours.get(hostId)?.incarnation === identity.incarnation) continue
      this.heartbeats.delete(hostId)
      // Not awaited, because this code may run inside that same task.
      task.stop()
    }
    for (const hostId of this.table.peers.keys()) {
      if (neighbours.has(hostId)) this.table.setWatched(hostId, true)
      else if (!children.has(hostId)) this.table.setWatched(hostId, false)
    }
    if (this.tasks.length === 0) return
    for (const host of neighbours.values()) {
      if (this.heartbeats.has(host.hostId)) continue
      this.heartbeats.set(host.hostId, { identity: host, task: this.startTask(signal => this.sendHeartbeats(host, signal)) })
    }
  }

  private publishChange (change: MembershipChange): void {
    const { hostId, incarnation, from, to, reason } = change
    this.options.events.info('peer_state_changed', { peer: hostId, incarnation, from: from ?? 'unknown', to, reason })
    if (to === 'gone' && !this.table.peers.has(hostId)) this.options.peerPool.release(hostId)
    for (const listener of this.listeners) listener(change)
  }
}

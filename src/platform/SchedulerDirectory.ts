/**
 * Knows which host holds each partition of the topic `placement`, and which ones hold those of `duties`, who grant the
 * permits of limited workers while no host schedules prompts. The store is asked only when the known holder is
 * missing or has failed, since each call to the store is charged, and once after the store was restored: hosts that cannot
 * reach the store do not know that they no longer hold a partition.
 */
import type { Clock } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { StoreClient } from './StoreClient.js'
import type { StoreEra } from './StoreEra.js'
import { addressOfMember, dutyTopic, hostGroup, orderPartition, placementTopic, zoneOfMember } from './StoreDutyGroup.js'

/** Options of a `SchedulerDirectory`. */
export interface SchedulerDirectoryOptions {
  store: Pick<StoreClient, 'owners' | 'close'>
  era: Pick<StoreEra, 'current'>
  clock: Clock
  events: EventLog
  /** A number from 0 (inclusive) to 1 (exclusive) that spreads the calls of hosts. */
  random: () => number
}

/** Shortest and longest time between two calls, in milliseconds; the time doubles while the holder keeps failing. */
const minRefreshMilliseconds = 500
const maxRefreshMilliseconds = 4000

/** Longest time between two calls while no host schedules prompts at all, because all hosts are small. */
const maxUnusedRefreshMilliseconds = 30_000

/** Shortest time from the start of a host to its first read, in milliseconds; hosts that start together join within it. */
const firstReadMilliseconds = 3000

/** The holders of the partitions, as the store last told. */
export class SchedulerDirectory {
  private readonly holders = new Map<number, string>()
  private readonly dutyHolders = new Map<number, string>()
  /** Zones of the holders of `placement`, by address. */
  private readonly zones = new Map<string, string | undefined>()
  /** Era of the store in which the holders were read; undefined before the first read. */
  private readEra: number | undefined
  /** Newest era for which a read is planned. */
  private plannedEra = 0
  private refreshing: Promise<void> | undefined
  private nextRefreshAt = -Infinity
  private refreshedAt = -Infinity
  private refreshMilliseconds = minRefreshMilliseconds
  /** True if the store last told that no host holds any partition. */
  private hasNoScheduler = false
  private readonly stopping = new AbortController()

  constructor (private readonly options: SchedulerDirectoryOptions) {}

  /** Address of the holder of a partition; undefined while it is unknown, which starts a call to the store. */
  holderOf (partition: number): string | undefined {
    this.refreshAfterRestore()
    const holder = this.holders.get(partition)
    if (holder === undefined) this.refresh()
    return holder
  }

  /** Address of the host that grants the permits of a partition's cells; undefined while it is unknown. */
  permitHolderOf (partition: number): string | undefined {
    this.refreshAfterRestore()
    return this.holders.get(partition) ?? this.dutyHolders.get(partition) ?? this.holderOf(partition)
  }

  /** The hosts that hold partitions of `placement`. After a failed read of them, they are read again. */
  placementHosts (): Array<{ address: string, zone: string | undefined }> {
    const hasFailed = this.readEra === undefined && this.refreshedAt > -Infinity
    if (hasFailed) this.refresh()
    return [...this.zones].map(([address, zone]) => ({ address, zone }))
  }

  /**
   * Address of the host that holds the duties and takes the reports of all hosts; undefined while it is unknown, which starts
   * a call to the store unless the first read is still planned.
   */
  orderHolder (): string | undefined {
    this.refreshAfterRestore()
    const holder = this.dutyHolders.get(orderPartition)
    if (holder === undefined && this.refreshedAt > -Infinity) this.refresh()
    return holder
  }

  /** Records that a holder answered. While no host schedules, it grants permits only, and calls stay rare. */
  confirm (): void {
    if (!this.hasNoScheduler) this.refreshMilliseconds = minRefreshMilliseconds
  }

  /**
   * Records that the known holder failed or no longer holds the partition, which starts a call to the store.
   * `intervalMilliseconds`: shortest time between two calls, which is extended by up to as much again.
   */
  reportFailure (intervalMilliseconds = maxRefreshMilliseconds): void {
    this.nextRefreshAt = Math.min(this.nextRefreshAt, this.refreshedAt + intervalMilliseconds * (1 + this.options.random()))
    this.refresh()
  }

  /** Reads the holders once the hosts that started together have joined the group, before the first question. */
  start (): void {
    const { clock, random } = this.options
    clock.sleep(firstReadMilliseconds * (1 + random()), this.stopping.signal).then(() => {
      if (!this.stopping.signal.aborted) this.refresh()
    }, () => {})
  }

  async stop (): Promise<void> {
    this.stopping.abort()
    await this.options.store.close()
    await this.refreshing
  }

  /** Reads the holders again in a new era, after a time that spreads the calls of the hosts. */
  private refreshAfterRestore (): void {
    const { era, clock, random } = this.options
    if (this.readEra === undefined || this.readEra === era.current) return
    if (this.plannedEra === era.current) return this.refresh()
    this.plannedEra = era.current
    this.refreshMilliseconds = minRefreshMilliseconds
    this.nextRefreshAt = clock.monotonic() + minRefreshMilliseconds * (1 + random())
  }

  private refresh (): void {
    const { clock, random } = this.options
    const now = clock.monotonic()
    if (this.refreshing !== undefined || now < this.nextRefreshAt) return
    this.refreshedAt = now
    this.nextRefreshAt = now + this.refreshMilliseconds * (1 + random())
    const longest = this.hasNoScheduler ? maxUnusedRefreshMilliseconds : maxRefreshMilliseconds
    this.refreshMilliseconds = Math.min(longest, this.refreshMilliseconds * 2)
    this.refreshing = this.read().finally(() => { this.refreshing = undefined })
  }

  private async read (): Promise<void> {
    const { store, events, era } = this.options
    const holdersByTopic = new Map([[placementTopic, this.holders], [dutyTopic, this.dutyHolders]])
    const owners = await store.owners(hostGroup)
    if (owners.isErr) {
      events.info('schedulers_unknown', { reason: owners.error.message })
      return
    }
    this.readEra = era.current
    this.holders.clear()
    this.dutyHolders.clear()
    this.zones.clear()
    for (const { topic, partition, member } of owners.value) {
      const address = addressOfMember(member)
      if (address === undefined) continue
      holdersByTopic.get(topic)?.set(partition, address)
      if (topic === placementTopic) this.zones.set(address, zoneOfMember(member))
    }
    this.hasNoScheduler = this.holders.size === 0
    events.info('schedulers_read', { era: this.readEra, addresses: [...new Set(this.holders.values())].join(',') })
  }
}

/**
 * The consumer group of all hosts in the platform's store. The host to which the store assigns partition 0 of the topic
 * `duties` has the duty to send orders to workers; the hosts to which it assigns partitions of the topic `placement`
 * decide where prompts are computed, and grant the permits of limited workers. While no host schedules prompts, the
 * holders of the partitions of `duties` grant the permits. Each member's name contains its address, so that the group
 * also tells the hosts how to reach each other.
 */
import { Result } from 'true-myth'
import { type Failure, type HostId, type Incarnation, isSocketAddress } from '../common/index.js'
import { DutyGroup, type GroupMembership } from '../leases/index.js'
import type { EventLog } from '../observability/index.js'
import type { StoreClient } from './StoreClient.js'

export const hostGroup = 'hosts'

/** Topic of the duties, whose partitions all hosts hold in turn. */
export const dutyTopic = 'duties'

/** Topic whose partitions stand for the schedulers of prompts. */
export const placementTopic = 'placement'

/** Partition whose holder sends the orders. */
const orderPartition = 0

/** Options of a `StoreDutyGroup`. */
export interface StoreDutyGroupOptions {
  store: StoreClient
  events: EventLog
  hostId: HostId
  /** Identifies this start of the host, so that a restarted host joins as another member without partitions. */
  incarnation: Incarnation
  /** Time after the last renewal at which the store ends the membership. */
  timeToLiveMilliseconds: number
  /** `ip:port` at which other hosts reach this one; undefined if they cannot. */
  peerAddress: string | undefined
  /** True if this host may schedule prompts for others. */
  schedulesPrompts: boolean
}

/** Name of a host's member: host id, incarnation and, if other hosts can reach it, its address. */
export function memberNameOf (hostId: HostId, incarnation: Incarnation, peerAddress: string | undefined): string {
  return `${hostId}.${incarnation}${peerAddress === undefined ? '' : `@${peerAddress}`}`
}

/** `ip:port` at which other hosts reach the host of a member; undefined if they cannot. Other programs may join too. */
export function addressOfMember (member: string): string | undefined {
  const separator = member.indexOf('@')
  const address = member.slice(separator + 1)
  return separator >= 0 && isSocketAddress(address) ? address : undefined
}

/** Duty group that is backed by a consumer group of the store. */
export class StoreDutyGroup extends DutyGroup {
  private readonly member: string
  private placementPartitions: ReadonlySet<number> = new Set()
  private dutyPartitions: ReadonlySet<number> = new Set()

  constructor (private readonly options: StoreDutyGroupOptions) {
    super()
    this.member = memberNameOf(options.hostId, options.incarnation, options.peerAddress)
  }

  /** True if the store last assigned this partition of the topic `placement` to this host. */
  holdsPlacement (partition: number): boolean {
    return this.placementPartitions.has(partition)
  }

  /** True if the store last assigned this partition of the topic `duties` to this host. */
  holdsDutyPartition (partition: number): boolean {
    return this.dutyPartitions.has(partition)
  }

  async join (generation: number, signal?: AbortSignal): Promise<Result<GroupMembership, Failure>> {
    const { store, timeToLiveMilliseconds, schedulesPrompts } = this.options
    const topics = schedulesPrompts ? [dutyTopic, placementTopic] : [dutyTopic]
    const joined = await store.join(hostGroup, this.member, { topics, timeToLiveMilliseconds, generation, signal })
    return joined.map(({ generation, partitions }) => {
      const partitionsOf = (topic: string): ReadonlySet<number> =>
        new Set(partitions.filter(assigned => assigned.topic === topic).map(({ partition }) => partition))
      this.placementPartitions = partitionsOf(placementTopic)
      this.dutyPartitions = partitionsOf(dutyTopic)
      return { generation, holdsDuty: this.dutyPartitions.has(orderPartition) }
    })
  }

  /**
   * Confirms the duty with a commit, which the store rejects unless the member holds the partition; the offset is
   * unused.
   */
  async confirm (generation: number): Promise<Result<boolean, Failure>> {
    return await this.options.store.commit(hostGroup, this.member, {
      generation, topic: dutyTopic, partition: orderPartition, offset: 0
    })
  }

  async leave (): Promise<void> {
    this.placementPartitions = new Set()
    this.dutyPartitions = new Set()
    const leaveResult = await this.options.store.leave(hostGroup, this.member)
    if (leaveResult.isErr) this.options.events.warn('group_leave_failed', { reason: leaveResult.error.message })
    await this.options.store.close()
  }
}

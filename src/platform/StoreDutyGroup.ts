/**
 * The consumer group of all hosts in the platform's store. The host to which the store assigns partition 0 of the topic
 * `duties` has the duty to send orders to workers.
 */
import { Result } from 'true-myth'
import type { Failure, HostId, Incarnation } from '../common/index.js'
import { DutyGroup, type GroupMembership } from '../leases/index.js'
import type { EventLog } from '../observability/index.js'
import type { StoreClient } from './StoreClient.js'

const group = 'hosts'
const topic = 'duties'

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
}

/** Duty group that is backed by a consumer group of the store. */
export class StoreDutyGroup extends DutyGroup {
  private readonly member: string

  constructor (private readonly options: StoreDutyGroupOptions) {
    super()
    this.member = `${options.hostId}.${options.incarnation}`
  }

  async join (generation: number, signal?: AbortSignal): Promise<Result<GroupMembership, Failure>> {
    const { store, timeToLiveMilliseconds } = this.options
    const joined = await store.join(group, this.member, { topics: [topic], timeToLiveMilliseconds, generation, signal })
    return joined.map(assignment => ({
      generation: assignment.generation,
      holdsDuty: assignment.partitions.some(assigned => assigned.topic === topic && assigned.partition === orderPartition)
    }))
  }

  /**
   * Confirms the duty with a commit, which the store rejects unless the member holds the partition; the offset is
   * unused.
   */
  async confirm (generation: number): Promise<Result<boolean, Failure>> {
    return await this.options.store.commit(group, this.member, { generation, topic, partition: orderPartition, offset: 0 })
  }

  async leave (): Promise<void> {
    const leaveResult = await this.options.store.leave(group, this.member)
    if (leaveResult.isErr) this.options.events.warn('group_leave_failed', { reason: leaveResult.error.message })
    await this.options.store.close()
  }
}

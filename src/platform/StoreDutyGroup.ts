/**
 * The group of all hosts in the platform's store. Whoever holds the first partition of its topic has the duty to give
 * orders to workers.
 */
import { Result } from 'true-myth'
import type { Failure, HostId, Incarnation } from '../common/index.js'
import { DutyGroup, type GroupMembership } from '../leases/index.js'
import type { EventLog } from '../observability/index.js'
import type { StoreClient } from './StoreClient.js'

const group = 'hosts'
const topic = 'duties'

/** Partition whose holder gives the orders. */
const orderPartition = 0

/** Options of a `StoreDutyGroup`. */
export interface StoreDutyGroupOptions {
  store: StoreClient
  events: EventLog
  hostId: HostId
  /** This start of the host: a member that starts anew holds nothing. */
  incarnation: Incarnation
  timeToLiveMilliseconds: number
}

/** The group over the store. */
export class StoreDutyGroup extends DutyGroup {
  private readonly member: string

  constructor (private readonly options: StoreDutyGroupOptions) {
    super()
    this.member = `${options.hostId}.${options.incarnation}`
  }

  async join (generation: number, signal?: AbortSignal): Promise<Result<GroupMembership, Failure>> {
    const { store, timeToLiveMilliseconds } = this.options
    const joined = await store.join(group, this.member, { topics: [topic], timeToLiveMilliseconds, generation, signal })
    return joined.map(answer => ({
      generation: answer.generation,
      holdsDuty: answer.partitions.some(row => row.topic === topic && row.partition === orderPartition)
    }))
  }

  /** A commit is refused unless the member holds the partition; its offset says nothing. */
  async confirm (generation: number): Promise<Result<boolean, Failure>> {
    return await this.options.store.commit(group, this.member, { generation, topic, partition: orderPartition, offset: 0 })
  }

  async leave (): Promise<void> {
    const left = await this.options.store.leave(group, this.member)
    if (left.isErr) this.options.events.warn('group_leave_failed', { reason: left.error.message })
    await this.options.store.close()
  }
}

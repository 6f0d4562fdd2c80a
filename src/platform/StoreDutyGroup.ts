/**
 * The consumer group of all hosts in the platform's store. The host to which the store assigns partition 0 of the topic
 * `duties` has the duty to send orders to workers; the hosts to which it assigns partitions of the topic `placement`
 * decide where prompts are computed, and grant the permits of limited workers. While no host schedules prompts, the
 * holders of the partitions of `duties` grant the permits. Each member's name contains its address, so that the group
 * also tells the hosts how to reach each other.
 *
 * A store that comes back from an older copy gives the generations of the lost seconds out again. The fencing number of
 * an order therefore consists of the era of the store and the generation, so that it is greater after each restore.
 */
import { Result } from 'true-myth'
import { type Failure, failure, type FencingNumber, type HostId, type Incarnation, isSocketAddress, type Zone } from '../common/index.js'
import { DutyGroup, type GroupMembership } from '../leases/index.js'
import type { EventLog } from '../observability/index.js'
import type { StoreClient } from './StoreClient.js'
import type { StoreEra } from './StoreEra.js'

export const hostGroup = 'hosts'

/** Topic of the duties, whose partitions all hosts hold in turn. */
export const dutyTopic = 'duties'

/** Topic whose partitions stand for the schedulers of prompts. */
export const placementTopic = 'placement'

/** Partition whose holder sends the orders. */
export const orderPartition = 0

/** Number of generations for which a fencing number has room in each era. */
const generationsPerEra = 2 ** 32

/** Options of a `StoreDutyGroup`. */
export interface StoreDutyGroupOptions {
  store: Pick<StoreClient, 'join' | 'commit' | 'leave' | 'close'>
  /** Newest known era of the store. */
  era: StoreEra
  events: EventLog
  hostId: HostId
  /** Identifies this start of the host, so that a restarted host joins as another member without partitions. */
  incarnation: Incarnation
  /** Time after the last renewal at which the store ends the membership. */
  timeToLiveMilliseconds: number
  /** `ip:port` at which other hosts reach this one; undefined if they cannot. */
  peerAddress: string | undefined
  /** Zone of this host, which the others learn with its address; default: not stated. */
  zone?: Zone
  /** True if this host may schedule prompts for others. */
  schedulesPrompts: boolean
}

/** Name of a host's member: host id, incarnation and, if other hosts can reach it, its zone and its address. */
export function memberNameOf (hostId: HostId, incarnation: Incarnation, peerAddress: string | undefined, zone?: Zone): string {
  if (peerAddress === undefined) return `${hostId}.${incarnation}`
  return `${hostId}.${incarnation}${zone === undefined ? '' : `.${zone}`}@${peerAddress}`
}

/** Zone of the host of a member, whose name states it after the incarnation; undefined for hosts of earlier builds. */
export function zoneOfMember (member: string): string | undefined {
  return /^.+\.[0-9a-f]{16}\.([^@]+)@/.exec(member)?.[1]
}

/** `ip:port` at which other hosts reach the host of a member; undefined if they cannot. Other programs may join too. */
export function addressOfMember (member: string): string | undefined {
  const separator = member.indexOf('@')
  const address = member.slice(separator + 1)
  return separator >= 0 && isSocketAddress(address) ? address : undefined
}

/** A number that is greater than all of earlier generations and eras; undefined if the generation is out of range. */
function fencingNumberOf (era: number, generation: number): FencingNumber | undefined {
  if (generation < 0 || generation >= generationsPerEra) return undefined
  return era * generationsPerEra + generation as FencingNumber
}

/** The era and the generation of which a fencing number consists. */
function partsOf (fencingNumber: FencingNumber): { era: number, generation: number } {
  return { era: Math.floor(fencingNumber / generationsPerEra), generation: fencingNumber % generationsPerEra }
}

/** Duty group that is backed by a consumer group of the store. */
export class StoreDutyGroup extends DutyGroup {
  private readonly member: string
  private placementPartitions: ReadonlySet<number> = new Set()
  private dutyPartitions: ReadonlySet<number> = new Set()
  /** Fencing number of the newest membership; undefined before the first. */
  private joinedNumber: FencingNumber | undefined

  constructor (private readonly options: StoreDutyGroupOptions) {
    super()
    this.member = memberNameOf(options.hostId, options.incarnation, options.peerAddress, options.zone)
  }

  /** True if the store last assigned this partition of the topic `placement` to this host. */
  holdsPlacement (partition: number): boolean {
    return this.placementPartitions.has(partition)
  }

  /** True if the store last assigned this partition of the topic `duties` to this host. */
  holdsDutyPartition (partition: number): boolean {
    return this.dutyPartitions.has(partition)
  }

  async join (signal?: AbortSignal): Promise<Result<GroupMembership, Failure>> {
    const { store, timeToLiveMilliseconds, schedulesPrompts } = this.options
    const topics = schedulesPrompts ? [dutyTopic, placementTopic] : [dutyTopic]
    const generation = this.seenGeneration()
    const joined = await store.join(hostGroup, this.member, { topics, timeToLiveMilliseconds, generation, signal })
    return joined.andThen(({ generation, era, partitions }) => {
      const fencingNumber = fencingNumberOf(era, generation)
      if (fencingNumber === undefined) return Result.err(failure('platform_unavailable', `generation ${generation} is out of range`))
      const partitionsOf = (topic: string): ReadonlySet<number> =>
        new Set(partitions.filter(assigned => assigned.topic === topic).map(({ partition }) => partition))
      this.joinedNumber = fencingNumber
      this.placementPartitions = partitionsOf(placementTopic)
      this.dutyPartitions = partitionsOf(dutyTopic)
      return Result.ok({ fencingNumber, holdsDuty: this.dutyPartitions.has(orderPartition) })
    })
  }

  /**
   * Confirms the duty with a commit, which the store rejects unless the member holds the partition; the offset is
   * unused. A commit that a restored store accepts is about a generation that it has given out again.
   */
  async confirm (fencingNumber: FencingNumber): Promise<Result<boolean, Failure>> {
    const { generation } = partsOf(fencingNumber)
    const committed = await this.options.store.commit(hostGroup, this.member, {
      generation, topic: dutyTopic, partition: orderPartition, offset: 0
    })
    return committed.map(isHolder => isHolder && !this.isOutdated(fencingNumber))
  }

  isOutdated (fencingNumber: FencingNumber): boolean {
    return partsOf(fencingNumber).era !== this.options.era.current
  }

  describe (fencingNumber: FencingNumber): Record<string, number> {
    return partsOf(fencingNumber)
  }

  async leave (): Promise<void> {
    this.placementPartitions = new Set()
    this.dutyPartitions = new Set()
    const leaveResult = await this.options.store.leave(hostGroup, this.member)
    if (leaveResult.isErr) this.options.events.warn('group_leave_failed', { reason: leaveResult.error.message })
    await this.options.store.close()
  }

  /**
   * The generation that a join names. It tells the store which changes of the group this member has seen, so that the
   * store passes on what the member no longer holds; a generation of an earlier era would speak for changes that it has
   * not seen.
   */
  private seenGeneration (): number {
    if (this.joinedNumber === undefined) return 0
    const { era, generation } = partsOf(this.joinedNumber)
    return era === this.options.era.current ? generation : 0
  }
}

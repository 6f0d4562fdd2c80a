/**
 * Whether this host offers to schedule prompts and to relay reads for others. Hosts with enough processor always do. In a
 * fleet of small hosts none has enough, and every host would place its few prompts without knowing the queues that the
 * others make; then hosts with a quarter of that processor offer it too.
 */

/** Minimum processor of a host that schedules in any fleet, in cores: up to a tenth of a core, beside its own requests. */
const minSchedulerCores = 0.4

/** Minimum processor of a host that schedules in a fleet without larger hosts, which also sends fewer prompts. */
const minSmallSchedulerCores = 0.1

/** Options of a `SchedulerEligibility`. */
export interface SchedulerEligibilityOptions {
  cores: number
  /** False if other hosts cannot reach this one. */
  isReachable: boolean
  /** True if the store has told that no host schedules. */
  hasNoScheduler: () => boolean
}

/** Decides for one host. An offer is kept, since schedulers that come and go lose their queues. */
export class SchedulerEligibility {
  private hasOffered = false

  constructor (private readonly options: SchedulerEligibilityOptions) {}

  /** True if this host offers to schedule now. */
  get isEligible (): boolean {
    const { cores, isReachable, hasNoScheduler } = this.options
    if (!isReachable || cores < minSmallSchedulerCores) return false
    this.hasOffered ||= cores >= minSchedulerCores || hasNoScheduler()
    return this.hasOffered
  }
}

/**
 * Routing for calls without a prompt: chooses the worker with the lowest expected time, by its open requests, its learned
 * speed and limit, and its record of failures.
 *
 * Some workers are drawn at random, and the best of them is chosen: hosts that have seen the same worker idle then do not
 * all choose it, and a decision takes the same time however many workers there are. The workers of this host's zone are
 * preferred unless the best of them is overloaded, slow or unreliable against one of another zone. While nothing
 * distinguishes the workers that were drawn, another policy decides.
 */
import { SeededRandom } from '../common/index.js'
import { countPreferredCandidates, type RoutingCandidate, RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

/** Number of workers of the own zone that are compared, and of the others. */
const drawnOfOwnZone = 4
const drawnOfOtherZones = 2

/** Factor by which a worker of another zone has to be better: its bytes cost more, and its estimate may be wrong. */
const otherZoneFactor = 1.5

/** Weight of failures: a worker that fails one of eight requests counts as half as fast, since a retry costs as much again. */
const failureWeight = 8

/** Chooses by capacity. */
export class CapacityPolicy extends RoutingPolicy {
  private readonly random: SeededRandom

  /** `seed`: differs between hosts; `fallback`: chooses while nothing distinguishes the workers. */
  constructor (seed: number, private readonly fallback: RoutingPolicy) {
    super()
    this.random = new SeededRandom(seed)
  }

  choose<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const preferredCount = countPreferredCandidates(candidates)
    const drawnOwn = this.draw(candidates, 0, preferredCount, drawnOfOwnZone)
    const drawnOther = this.draw(candidates, preferredCount, candidates.length - preferredCount, drawnOfOtherZones)
    const isAnyKnown = [...drawnOwn, ...drawnOther].some(({ capacity }) => capacity?.isKnown === true)
    if (!isAnyKnown) return this.fallback.choose(request, candidates)
    const own = lowestOf(drawnOwn, expectedTime)
    const other = lowestOf(drawnOther, expectedTime)
    if (own === undefined || other === undefined) return own ?? other
    return weakness(other) * otherZoneFactor < weakness(own) ? other : own
  }

  /** The worker with the best record, since the call has little time and few retries left. */
  override chooseAfterFailure<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const lowestShare = Math.min(...candidates.map(failureShareOf))
    const reliable = candidates.filter(candidate => failureShareOf(candidate) <= lowestShare + equalShares)
    return this.choose(request, reliable)
  }

  /** Draws different candidates among the `length` ones from `start`. */
  private draw<Candidate> (candidates: readonly Candidate[], start: number, length: number, count: number): Candidate[] {
    if (length <= 0) return []
    const offset = this.random.integer(0, length - 1)
    if (length <= count) return Array.from({ length }, (_, index) => candidates[start + (offset + index) % length]!)
    const drawn = new Set<number>()
    while (drawn.size < count) drawn.add(this.random.integer(0, length - 1))
    return [...drawn].map(position => candidates[start + position]!)
  }
}

/** Difference between shares of failures that is ignored among the workers for a retry. */
const equalShares = 0.02

function failureShareOf ({ capacity }: RoutingCandidate): number {
  return capacity?.failureShare ?? 0
}

/** Factor by which a request is expected to take longer than at an idle worker of the usual speed that never fails. */
function weakness ({ capacity, load }: RoutingCandidate): number {
  if (capacity === undefined) return 1
  const used = (capacity.openRequests(load.outstanding) + 1) / capacity.limit
  return capacity.slowness * Math.max(1, used) * (1 + failureWeight * capacity.failureShare)
}

/** Expected time of a request, relative to that at an idle worker. Among workers with room, the less used one is faster. */
function expectedTime (candidate: RoutingCandidate): number {
  const open = candidate.capacity?.openRequests(candidate.load.outstanding) ?? candidate.load.outstanding
  return (open + 1) * weakness(candidate)
}

function lowestOf<Candidate> (candidates: readonly Candidate[], costOf: (candidate: Candidate) => number): Candidate | undefined {
  let best: { candidate: Candidate, cost: number } | undefined
  for (const candidate of candidates) {
    const cost = costOf(candidate)
    if (best === undefined || cost < best.cost) best = { candidate, cost }
  }
  return best?.candidate
}

/**
 * Chooses the relay through which a host reads. All hosts of a zone prefer the relays in the same order, those of their
 * own zone first, so that few relays poll the store; a relay that has enough readers sends the others to the next one.
 */
import type { Clock, Hash, Zone } from '../../common/index.js'

/** A host that may relay reads. */
export interface RelayCandidate {
  /** `ip:port` of its peer listener. */
  address: string
  /** Undefined if the host did not state it. */
  zone: string | undefined
}

/** Shortest and longest time for which a relay that failed is avoided, in milliseconds; it doubles with each failure. */
const minAvoidMilliseconds = 3000
const maxAvoidMilliseconds = 48_000

/** Maximum number of relays whose failures are remembered. */
const maxFailures = 64

/** Orders the relays and remembers which ones failed. */
export class RelayChoice {
  private readonly failures = new Map<string, { until: number, milliseconds: number }>()

  constructor (private readonly options: { zone: Zone, clock: Clock, hash: Hash }) {}

  /** The preferred candidate that has not failed recently. */
  choose (candidates: readonly RelayCandidate[]): RelayCandidate | undefined {
    const { zone, clock, hash } = this.options
    const now = clock.monotonic()
    const rankOf = (candidate: RelayCandidate): number =>
      hash.h32(`${zone} ${candidate.address}`) / 2 ** 32 + (candidate.zone === zone ? 0 : 1)
    return candidates
      .filter(({ address }) => (this.failures.get(address)?.until ?? -Infinity) <= now)
      .sort((left, right) => rankOf(left) - rankOf(right))[0]
  }

  /** Records that a relay failed. */
  recordFailure (address: string): void {
    const now = this.options.clock.monotonic()
    const last = this.failures.get(address)
    const isRepeated = last !== undefined && now < last.until + maxAvoidMilliseconds
    const milliseconds = isRepeated ? Math.min(maxAvoidMilliseconds, last.milliseconds * 2) : minAvoidMilliseconds
    this.failures.delete(address)
    this.failures.set(address, { until: now + milliseconds, milliseconds })
    const [oldest] = this.failures.keys()
    if (this.failures.size > maxFailures && oldest !== undefined) this.failures.delete(oldest)
  }
}

/**
 * Checks that hosts stop sending prompts with a part that crashes each worker that answers it, and that they serve
 * other prompts with the same first part again.
 */

/** Part that crashes workers. It is never the last part of a prompt. */
export const crashingPart = 'dead'

/** Number of crashes from which the hosts have to know the part. */
const crashesUntilKnown = 5

/** Maximum number of requests with the part that may reach workers once the hosts know it. */
const maxLateRequests = 3

/** Time from the last crash until other prompts have to be served as before, in milliseconds. */
const serveAgainMilliseconds = 6000

/** Minimum share of other prompts that workers begin after the crashes, as a ratio of the share before them. */
const minServedRatio = 0.5

/** Minimum number of requests from which a share is computed. */
const minRequests = 20

/** Share of the requests that workers began. */
interface ServedShare { sent: number, begun: number }

/** What the checks counted. */
export interface PromptCrashCounts { crashes: number, lateRequests: number, before: ServedShare, after: ServedShare }

/** Records crashes and requests with prompts. Times are monotonic milliseconds of this process. */
export class PromptCrashes {
  private readonly crashTimes: number[] = []
  /** Times at which requests with the part last reached a worker, by id. */
  private readonly arrivals = new Map<string, number>()
  private readonly otherRequests: Array<{ sentAt: number, isBegun: boolean }> = []

  constructor (private readonly stableWindowMilliseconds: number) {}

  recordCrash (at: number): void {
    this.crashTimes.push(at)
  }

  /** Records that an undisturbed host sent a request with the part to a worker, to answer it or to compute its prompt. */
  recordArrival (id: string, at: number): void {
    this.arrivals.set(id, at)
  }

  /** Records the end of a request with a prompt without the part. */
  recordOther (sentAt: number, isBegun: boolean): void {
    this.otherRequests.push({ sentAt, isBegun })
  }

  get counts (): PromptCrashCounts {
    const knownAt = (this.crashTimes[crashesUntilKnown - 1] ?? Infinity) + this.stableWindowMilliseconds
    const firstCrashAt = this.crashTimes[0] ?? Infinity
    const servedAgainAt = (this.crashTimes.at(-1) ?? Infinity) + serveAgainMilliseconds
    return {
      crashes: this.crashTimes.length,
      lateRequests: [...this.arrivals.values()].filter(at => at > knownAt).length,
      before: this.share(sentAt => sentAt < firstCrashAt),
      after: this.share(sentAt => sentAt >= servedAgainAt)
    }
  }

  /** The violated guarantees, as name and description. */
  violations (): Array<[guarantee: string, description: string]> {
    const { lateRequests, before, after } = this.counts
    const violations: Array<[string, string]> = []
    if (lateRequests > maxLateRequests) {
      violations.push(['BUDGET', `${lateRequests} requests with the part that crashes workers reach workers after crash ${crashesUntilKnown}`])
    }
    const isCounted = before.sent >= minRequests && after.sent >= minRequests
    if (isCounted && after.begun / after.sent < minServedRatio * before.begun / before.sent) {
      violations.push(['LOST', `workers begin ${after.begun} of ${after.sent} other prompts after the crashes, ${before.begun} of ${before.sent} before them`])
    }
    return violations
  }

  private share (isIncluded: (sentAt: number) => boolean): ServedShare {
    const requests = this.otherRequests.filter(({ sentAt }) => isIncluded(sentAt))
    return { sent: requests.length, begun: requests.filter(({ isBegun }) => isBegun).length }
  }
}

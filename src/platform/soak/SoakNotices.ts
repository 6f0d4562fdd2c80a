/**
 * What workers of a soak state about themselves in responses that hosts passed on, and the checks that the hosts heed it.
 * A host that was paused, restarted or cut off since may have lost what it knew.
 */

/** Time after a host has passed on that a worker leaves until it sends the worker nothing more, in milliseconds. */
const leavingEffectMilliseconds = 2000

/** Span over which requests to a limited worker are counted, and the time after its first statement without a check. */
const limitSpanMilliseconds = 4000
const limitGraceMilliseconds = 3000

/** Requests to a limited worker in a span that are allowed beyond one and a half times its limit. */
const limitSlack = 5
const limitFactor = 1.5

/** Time after a statement in which its effects are not checked, in milliseconds. */
const effectMilliseconds = 500

/** Requests that may reach a worker while it wants nothing from their host. */
const maxRequestsInPause = 2

/** A request that reaches a worker. Times are monotonic, in milliseconds. */
export interface Arrival { id: string, host: string, worker: string, sentAt: number, at: number }

/** A pause that a worker has stated to a host. */
interface Pause { from: number, until: number, requests: number }

interface LimitedWorker {
  perSecond: number
  firstStatedAt: number
  /** Time at which each host first passed on the limit. */
  passedOnAt: Map<string, number>
  arrivals: Array<{ host: string, at: number }>
}

/** Remembers the statements that each host has passed on. */
export class SoakNotices {
  /** Monotonic time in milliseconds of the first statement of a worker that it leaves, by host and worker. */
  private readonly leavingSince = new Map<string, number>()
  private readonly limited = new Map<string, LimitedWorker>()
  private readonly pauses = new Map<string, Pause>()
  /** Number of requests that were checked against a statement. */
  checks = 0

  /** Records that a host has passed on that a worker leaves. */
  recordLeaving (host: string, worker: string, at: number): void {
    const key = keyOf(host, worker)
    if (!this.leavingSince.has(key)) this.leavingSince.set(key, at)
  }

  /** Records that a worker begins to state a limit, or ends it. */
  setLimit (worker: string, perSecond: number | undefined, at: number): void {
    if (perSecond === undefined) this.limited.delete(worker)
    else this.limited.set(worker, { perSecond, firstStatedAt: at, passedOnAt: new Map(), arrivals: [] })
  }

  /** Records that a host has passed on a worker's limit. */
  recordLimit (host: string, worker: string, at: number): void {
    const passedOnAt = this.limited.get(worker)?.passedOnAt
    if (passedOnAt !== undefined && !passedOnAt.has(host)) passedOnAt.set(host, at)
  }

  /** Records that a worker has told a host to send nothing for some time. */
  recordPause (host: string, worker: string, milliseconds: number, at: number): void {
    this.pauses.set(keyOf(host, worker), { from: at + effectMilliseconds, until: at + milliseconds, requests: 0 })
  }

  /** Forgets what a host has passed on, since it was paused or restarted. */
  forget (host: string): void {
    for (const key of this.leavingSince.keys()) if (key.startsWith(keyOf(host, ''))) this.leavingSince.delete(key)
    this.forgetRates(host)
  }

  /** Forgets the limits and pauses that a host has passed on, since it was cut off. */
  forgetRates (host: string): void {
    for (const key of this.pauses.keys()) if (key.startsWith(keyOf(host, ''))) this.pauses.delete(key)
    for (const { passedOnAt, arrivals } of this.limited.values()) {
      passedOnAt.delete(host)
      arrivals.splice(0, arrivals.length, ...arrivals.filter(arrival => arrival.host !== host))
    }
  }

  /** Describes how a request that reaches a worker violates what hosts have passed on; one text for each guarantee. */
  violationsOf (arrival: Arrival): Array<[guarantee: string, description: string]> {
    return [...this.checkLeaving(arrival), ...this.checkLimit(arrival), ...this.checkPause(arrival)]
  }

  private checkLeaving ({ id, host, worker, sentAt }: Arrival): Array<[string, string]> {
    const since = this.leavingSince.get(keyOf(host, worker))
    if (since === undefined) return []
    this.checks += 1
    if (sentAt - since <= leavingEffectMilliseconds) return []
    return [['DRAIN', `${id} reaches ${worker} although ${host} passed on ${Math.round(sentAt - since)} ms before it was sent that the worker leaves`]]
  }

  private checkLimit ({ id, host, worker, at }: Arrival): Array<[string, string]> {
    const limited = this.limited.get(worker)
    const passedOnAt = limited?.passedOnAt.get(host)
    if (limited === undefined || passedOnAt === undefined || at - passedOnAt < effectMilliseconds) return []
    limited.arrivals.push({ host, at })
    const spanStart = Math.max(limited.firstStatedAt + limitGraceMilliseconds, at - limitSpanMilliseconds)
    const count = limited.arrivals.filter(arrival => arrival.at >= spanStart).length
    const allowed = limitFactor * limited.perSecond * limitSpanMilliseconds / 1000 + limitSlack
    this.checks += 1
    return count <= allowed ? [] : [['LIMIT', `${id} is request ${count} to ${worker} in 4 s, which takes ${limited.perSecond} a second`]]
  }

  private checkPause ({ id, host, worker, at }: Arrival): Array<[string, string]> {
    const pause = this.pauses.get(keyOf(host, worker))
    if (pause === undefined || at < pause.from || at > pause.until) return []
    this.checks += 1
    pause.requests += 1
    return pause.requests <= maxRequestsInPause ? [] : [['BUDGET', `${id} is request ${pause.requests} to ${worker} while it wants nothing from ${host}`]]
  }
}

function keyOf (host: string, worker: string): string {
  return `${host} ${worker}`
}

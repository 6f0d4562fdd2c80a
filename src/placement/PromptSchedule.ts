/**
 * The prompts of one pool: decides which worker computes each prompt, and when it is sent there.
 *
 * A prompt is sent only when its worker is about to finish the prompts before it. Prompts that wait are held here in
 * order of urgency (see `WaitingPrompt`), so that a short prompt does not stand behind long ones at a worker. A prompt is
 * refused as soon as it is clear that it cannot be computed before its caller gives up.
 *
 * Each prompt goes to the worker on which it is expected to be computed first. A worker that holds the shared parts of
 * the prompt is preferred: another one fetches them, and its copy displaces other parts.
 */
import type { Clock, WorkerId, Zone } from '../common/index.js'
import type { PermitQueue } from '../limits/index.js'
import type { EventLog } from '../observability/index.js'
import { AccountShares } from './AccountShares.js'
import { AnswerLoad, type AnswerWorker } from './AnswerLoad.js'
import type { HeldParts } from './HeldParts.js'
import { ExpectedQueue } from './ExpectedQueue.js'
import { PrefillSpeed } from './PrefillSpeed.js'
import { type PlacementDecision, promptBytesOf, type PromptOutcome, type PromptTask, promptTokensOf } from './PromptTask.js'
import { compareRanks, type PromptTimes, rankOf, type WaitingPrompt } from './WaitingPrompt.js'
import { WorkerBacklog } from './WorkerBacklog.js'

/** Speeds of a deployment's engines until they are measured, and of its links. */
export interface PromptScheduleCosts {
  tokensPerMillisecond: number
  /** Constant part of a response time, in milliseconds. */
  baseMilliseconds: number
  /** Tokens that a worker fetches from another one per millisecond. */
  fetchedTokensPerMillisecond: number
}

/** Options of a `PromptSchedule`. */
export interface PromptScheduleOptions {
  /** Name of the cell in log lines. */
  cell: string
  clock: Clock
  events: EventLog
  held: HeldParts
  /** Permits of the workers that state a limit. A worker that is chosen here gets its permit here. */
  permits: PermitQueue
  /** Workers that may compute prompts at the moment. */
  workers: () => ReadonlyArray<{ readonly id: WorkerId, readonly zone: Zone }>
  /** Workers from which parts of prompts may be fetched; contains `workers`. */
  holders: () => ReadonlyArray<{ readonly id: WorkerId }>
  /** Workers that generate answers at the moment. */
  answerWorkers: () => ReadonlyArray<AnswerWorker & { readonly zone: Zone }>
  costs: PromptScheduleCosts
}

/**
 * Work that a worker may have left when it is sent the next prompt, in milliseconds. It covers the network delay of the
 * decision and of the prompt, so that the worker does not become idle.
 */
const dispatchAheadMilliseconds = 40

/** Time that a worker needs to start a fetch of parts, in milliseconds. */
const fetchSetupMilliseconds = 10

/**
 * Cost of a copy of shared parts on another worker, as a fraction of the time to compute them: the copy displaces other
 * parts, some of which have to be computed again.
 */
const copyCostFraction = 0.5

/** Interval of the log lines about the state of a schedule that is in use, in milliseconds. */
const stateLogMilliseconds = 2000

/** Maximum interval between two dispatches while prompts wait, in milliseconds. */
const maxRecheckMilliseconds = 50

/**
 * Largest prompt, in tokens to compute, that a worker computes between the tokens of its streams while more workers
 * generate than compute prompts.
 */
const maxTokensWithAnswer = 1000

const millisecondsPerSecond = 1000

/** Factor on the time of a transfer between two zones. */
const otherZoneFactor = 2

/** Minimum interval between two checks for prompts that will not be computed in time, in milliseconds. */
const overdueCheckMilliseconds = 50

/**
 * Maximum number of waiting prompts that one dispatch considers. Further ones are less urgent, and considering them would
 * delay the responses to other hosts.
 */
const maxDispatchedAtOnce = 32

/** Expected course of a prompt on one worker. */
interface Estimate {
  backlog: WorkerBacklog
  computedTokens: number
  computeMilliseconds: number
  fetchMilliseconds: number
  partsSource: WorkerId | undefined
  /** Time until the prompt is computed plus the cost of copies, in milliseconds. */
  cost: number
}

/** Queue, backlogs and speed of one pool. */
export class PromptSchedule {
  private readonly waiting = new Map<string, WaitingPrompt>()
  /** Workers of the placed prompts that have not ended, by prompt id. */
  private readonly placed = new Map<string, WorkerBacklog>()
  private readonly answers = new AnswerLoad()
  /** Workers that generate the answers that have not ended, by prompt id. */
  private readonly answering = new Map<string, WorkerId>()
  private readonly backlogs = new Map<WorkerId, WorkerBacklog>()
  private readonly speed: PrefillSpeed
  private readonly shares = new AccountShares()
  /** Sum of `computeMilliseconds` over the waiting prompts. */
  private waitingMilliseconds = 0
  private waitingByteCount = 0
  private isDispatchDue = false
  private recheck: AbortController | undefined
  private stateLoggedAt = -Infinity
  /** Decisions since the last log line about the state. */
  private decided = { sent: 0, refused: 0 }
  private overdueDecidedAt = -Infinity

  constructor (private readonly options: PromptScheduleOptions) {
    this.speed = new PrefillSpeed(options.costs)
  }

  /** Number of prompts that wait for a worker. */
  get waitingCount (): number {
    return this.waiting.size
  }

  /** Memory of the prompts that wait, in bytes. */
  get waitingBytes (): number {
    return this.waitingByteCount
  }

  /** Decides about a prompt; resolves when a worker has room for it, or when it is clear that it must be refused. */
  async place (task: PromptTask): Promise<PlacementDecision> {
    if (this.options.workers().length === 0) return { kind: 'no_worker' }
    const computeMilliseconds = this.shortestCompute(task)
    const neededMilliseconds = computeMilliseconds + this.speed.baseMilliseconds
    const usualMilliseconds = computeMilliseconds + this.speed.usualMilliseconds
    const times = { computeMilliseconds, neededMilliseconds, usualMilliseconds }
    const refusal = this.refusalOf({ task, ...times })
    if (refusal !== undefined) {
      this.decided.refused += 1
      this.logState(this.options.clock.monotonic())
      return refusal
    }
    return await new Promise(resolve => {
      this.waiting.set(task.id, { task, decide: resolve, ...times })
      this.waitingMilliseconds += computeMilliseconds
      this.waitingByteCount += promptBytesOf(task)
      this.dispatchSoon()
    })
  }

  /** Records that a placed prompt ended, or that a waiting one is no longer needed; its `place` then never resolves. */
  end (id: string, outcome: PromptOutcome): void {
    this.removeWaiting(id)
    const backlog = this.placed.get(id)
    this.placed.delete(id)
    if (backlog === undefined) return
    const now = this.options.clock.monotonic()
    const prompt = backlog.remove(id, now, this.speed.baseMilliseconds)
    if (prompt === undefined) return
    if (outcome === 'computed') {
      backlog.recordSuccess()
      for (const [position, part] of prompt.parts.entries()) {
        this.options.held.record(backlog.worker, part, prompt.partTokens[position] ?? 0)
      }
      this.speed.record(prompt.computedTokens, now - prompt.dispatchedAt, prompt.ahead === 0)
    }
    if (outcome === 'failed') backlog.recordFailure(now)
    if (outcome === 'declined') backlog.recordDecline(now)
    this.dispatchSoon()
  }

  /**
   * Records that an answer ended or will not be generated. `startMilliseconds`: time from the request to `worker` until
   * the first event.
   */
  answered (id: string, worker: WorkerId | undefined, startMilliseconds: number | undefined): void {
    const assigned = this.answering.get(id)
    this.answering.delete(id)
    if (assigned === undefined) return
    const now = this.options.clock.monotonic()
    this.answers.remove(assigned, id, now, worker === assigned ? startMilliseconds : undefined)
  }

  private removeWaiting (id: string): WaitingPrompt | undefined {
    const entry = this.waiting.get(id)
    if (entry === undefined) return undefined
    this.waiting.delete(id)
    this.waitingMilliseconds -= entry.computeMilliseconds
    this.waitingByteCount -= promptBytesOf(entry.task)
    return entry
  }

  /** The refusal of a prompt that cannot wait as long as it would have to; undefined if it can. */
  private refusalOf (entry: PromptTimes & { task: PromptTask }): PlacementDecision | undefined {
    const now = this.options.clock.monotonic()
    const backlogs = this.acceptingBacklogs(now).map(backlog => this.busyMilliseconds(backlog, now))
    if (backlogs.length === 0) return undefined
    const available = this.availableMilliseconds(entry, now)
    const pace = this.millisecondsBetweenPrompts(backlogs.length)
    // Ranking the waiting prompts takes time, which is saved while even the last of them would be in time.
    const longest = Math.max(this.waitingMilliseconds, pace * this.waiting.size) / backlogs.length
    if (Math.max(...backlogs) + longest <= available) return undefined
    const rank = rankOf(entry, now)
    const queue = new ExpectedQueue(backlogs)
    const waiting = [...this.waiting.values()]
    const isPreceded = this.shares.precedes(entry.task, [entry, ...waiting].map(({ task }) => task), now)
    for (const other of waiting) {
      const otherRank = rankOf(other, now)
      if (otherRank.isLate === rank.isLate && isPreceded(other.task)) continue
      if (compareRanks(otherRank, rank) <= 0) queue.add(Math.max(pace, other.computeMilliseconds))
    }
    if (queue.waitMilliseconds <= available) return undefined
    return { kind: 'refused', retryAfterMilliseconds: Math.ceil(queue.waitMilliseconds) }
  }

  /**
   * Time for which a prompt may wait, in milliseconds. One that can be late elsewhere too is taken on by a worker that is
   * about to be free.
   */
  private availableMilliseconds (entry: PromptTimes & { task: PromptTask }, now: number): number {
    const { task, neededMilliseconds, usualMilliseconds } = entry
    const untilLost = task.lostAt - neededMilliseconds - now
    if (task.onlyInTime !== true) return untilLost
    return Math.min(untilLost, Math.max(dispatchAheadMilliseconds, task.dueAt - usualMilliseconds - now))
  }

  /** Chooses the worker that generates an answer: the one that starts it first, given where the prompt is computed. */
  private chooseAnswerWorker (task: PromptTask, computedIn: Zone | undefined, now: number): WorkerId | undefined {
    const { held, costs, answerWorkers, permits } = this.options
    const tokens = promptTokensOf(task)
    return this.answers.choose(answerWorkers().filter(({ id }) => permits.waitMilliseconds(id, now) === 0), ({ id, zone }) => {
      const missing = tokens - held.leadingTokens(id, task.parts, task.partTokens)
      const isOtherZone = computedIn !== undefined && zone !== computedIn
      return missing / costs.fetchedTokensPerMillisecond * (isOtherZone ? otherZoneFactor : 1)
    }, now)
  }

  /** Dispatches once for all messages that arrive in one turn of the event loop. */
  private dispatchSoon (): void {
    if (this.isDispatchDue) return
    this.isDispatchDue = true
    setImmediate(() => {
      this.isDispatchDue = false
      this.dispatch()
    })
  }

  /** Sends waiting prompts to workers that have room, the most urgent first. */
  private dispatch (): void {
    const now = this.options.clock.monotonic()
    this.decideOverdue(now)
    this.logState(now)
    if (this.hasRoom(now)) {
      for (const { task } of this.inOrder(now).slice(0, maxDispatchedAtOnce)) {
        const estimate = this.bestEstimate(task, now)
        if (estimate === undefined || !this.isFree(estimate.backlog, now)) continue
        this.send(task, estimate, now)
        if (!this.hasRoom(now)) break
      }
    }
    this.scheduleRecheck()
  }

  private hasRoom (now: number): boolean {
    return this.answerWaitMilliseconds(now) === 0 && this.acceptingBacklogs(now).some(backlog => this.isFree(backlog, now))
  }

  /** True if the worker may be sent the next prompt. */
  private isFree (backlog: WorkerBacklog, now: number): boolean {
    const hasPermit = this.options.permits.waitMilliseconds(backlog.worker, now) === 0
    return hasPermit && backlog.milliseconds(now) <= dispatchAheadMilliseconds
  }

  /** Time until the worker has computed its prompts and may be sent another, in milliseconds. */
  private busyMilliseconds (backlog: WorkerBacklog, now: number): number {
    return Math.max(backlog.milliseconds(now), this.options.permits.waitMilliseconds(backlog.worker, now))
  }

  /** Time until a worker may be sent another answer to generate, in milliseconds; 0 if none generates answers. */
  private answerWaitMilliseconds (now: number): number {
    const { answerWorkers, permits } = this.options
    const waits = answerWorkers().map(({ id }) => permits.waitMilliseconds(id, now))
    return waits.length === 0 ? 0 : Math.min(...waits)
  }

  /**
   * Time between two prompts of one worker that the limits of the workers allow, in milliseconds, if each of `workerCount`
   * workers computes the same share. Each prompt takes a permit of the worker that computes it and one of the worker that
   * generates its answer.
   */
  private millisecondsBetweenPrompts (workerCount: number): number {
    const { answerWorkers, workers, permits } = this.options
    const rateOf = (group: ReadonlyArray<{ readonly id: WorkerId }>): number =>
      group.length === 0 ? Infinity : group.reduce((sum, { id }) => sum + permits.perSecond(id), 0)
    return workerCount * millisecondsPerSecond / Math.min(rateOf(workers()), rateOf(answerWorkers()))
  }

  private send (task: PromptTask, estimate: Estimate, now: number): void {
    const { backlog, partsSource, computeMilliseconds, computedTokens, fetchMilliseconds } = estimate
    const expectedAt = now + backlog.milliseconds(now) + fetchMilliseconds + computeMilliseconds + this.speed.baseMilliseconds
    backlog.add({
      id: task.id,
      computeMilliseconds,
      expectedAt,
      dispatchedAt: now,
      ahead: backlog.size,
      computedTokens,
      parts: task.parts,
      partTokens: task.partTokens
    })
    this.placed.set(task.id, backlog)
    this.decided.sent += 1
    this.options.permits.take(backlog.worker, now)
    this.shares.recordSent(task, computeMilliseconds, now)
    const zone = this.options.workers().find(({ id }) => id === backlog.worker)?.zone
    const answerWorker = this.assignAnswer(task, zone, now)
    this.removeWaiting(task.id)?.decide({ kind: 'placed', worker: backlog.worker, partsSource, answerWorker })
  }

  private assignAnswer (task: PromptTask, computedIn: Zone | undefined, now: number): WorkerId | undefined {
    const answerWorker = this.chooseAnswerWorker(task, computedIn, now)
    if (answerWorker === undefined) return undefined
    this.options.permits.take(answerWorker, now)
    this.answering.set(task.id, answerWorker)
    this.answers.add(answerWorker, task.id, now)
    return answerWorker
  }

  /**
   * Decides about prompts that are no longer expected to be computed in time: refuses those that cannot be computed before
   * their callers give up, and leaves short ones to the workers that generate the answers if there are enough of these.
   * Forgets prompts whose hosts stopped.
   */
  private decideOverdue (now: number): void {
    if (now - this.overdueDecidedAt < overdueCheckMilliseconds) return
    this.overdueDecidedAt = now
    for (const backlog of this.backlogs.values()) {
      for (const id of backlog.forgetLost(now)) this.placed.delete(id)
    }
    for (const id of this.answers.forgetLost(now)) this.answering.delete(id)
    const workers = this.acceptingBacklogs(now)
    const computeWithAnswer = this.options.answerWorkers().length > this.options.workers().length
    const queue = new ExpectedQueue(workers.map(worker => this.busyMilliseconds(worker, now)))
    const pace = this.millisecondsBetweenPrompts(workers.length)
    for (const entry of this.inOrder(now)) {
      const { task, computeMilliseconds, neededMilliseconds } = entry
      const isLate = rankOf(entry, now).isLate
      const mayAnswer = this.answerWaitMilliseconds(now) === 0
      if (isLate && mayAnswer && computeWithAnswer && this.tokensToCompute(task) <= maxTokensWithAnswer) {
        this.removeWaiting(task.id)?.decide({ kind: 'with_answer', answerWorker: this.assignAnswer(task, undefined, now) })
        continue
      }
      const waitMilliseconds = workers.length === 0 ? 0 : queue.waitMilliseconds
      if (now + waitMilliseconds + neededMilliseconds > task.lostAt) {
        this.decided.refused += 1
        this.removeWaiting(task.id)?.decide({ kind: 'refused', retryAfterMilliseconds: Math.ceil(waitMilliseconds) })
        continue
      }
      queue.add(Math.max(pace, computeMilliseconds))
    }
  }

  private logState (now: number): void {
    if (now - this.stateLoggedAt < stateLogMilliseconds) return
    this.stateLoggedAt = now
    const { sent, refused } = this.decided
    this.decided = { sent: 0, refused: 0 }
    this.options.events.info('prompt_schedule', {
      cell: this.options.cell,
      sent,
      refused,
      waiting: this.waiting.size,
      placed: this.placed.size,
      workers: this.options.workers().length,
      accepting: this.acceptingBacklogs(now).length,
      backlogs: [...this.backlogs.values()].map(backlog => Math.round(backlog.milliseconds(now))).join(','),
      tokens_per_millisecond: Math.round(this.speed.tokensPerMillisecond * 10) / 10,
      base: Math.round(this.speed.baseMilliseconds),
      usual: Math.round(this.speed.usualMilliseconds),
      streams: this.options.answerWorkers().map(({ id }) => this.answers.streamCount(id)).join(','),
      starts: this.options.answerWorkers().map(({ id }) => Math.round(this.answers.startMilliseconds(id, now))).join(',')
    })
  }

  private inOrder (now: number): WaitingPrompt[] {
    const ranked = [...this.waiting.values()]
      .map(entry => ({ entry, rank: rankOf(entry, now) }))
      .sort((left, right) => compareRanks(left.rank, right.rank))
    return this.shares.arrange(ranked, now).map(({ entry }) => entry)
  }

  private acceptingBacklogs (now: number): WorkerBacklog[] {
    return this.options.workers().map(({ id }) => this.backlogOf(id)).filter(backlog => backlog.accepts(now))
  }

  private backlogOf (worker: WorkerId): WorkerBacklog {
    const backlog = this.backlogs.get(worker) ?? new WorkerBacklog(worker)
    this.backlogs.set(worker, backlog)
    return backlog
  }

  /** The worker with the lowest cost; undefined if no worker accepts prompts. */
  private bestEstimate (task: PromptTask, now: number): Estimate | undefined {
    const heldTokens = this.heldTokens(task)
    return this.acceptingBacklogs(now)
      .map(backlog => this.estimate(task, backlog, heldTokens, now))
      .reduce<Estimate | undefined>((best, other) => best === undefined || other.cost < best.cost ? other : best, undefined)
  }

  private estimate (task: PromptTask, backlog: WorkerBacklog, heldTokens: ReadonlyMap<WorkerId, number>, now: number): Estimate {
    const promptTokens = promptTokensOf(task)
    const sharedTokens = promptTokens - (task.partTokens.at(-1) ?? 0)
    const isComputing = sharedTokens > 0 && backlog.isComputing(task.parts.slice(0, -1))
    const ownTokens = isComputing ? sharedTokens : heldTokens.get(backlog.worker) ?? 0
    const [partsSource, sourceTokens] = longestOf(heldTokens, backlog.worker)
    const fetchedTokens = Math.max(0, sourceTokens - ownTokens)
    const computedTokens = promptTokens - ownTokens - fetchedTokens
    const computeMilliseconds = this.speed.computeMilliseconds(computedTokens)
    const fetchMilliseconds = fetchedTokens === 0
      ? 0
      : fetchSetupMilliseconds + fetchedTokens / this.options.costs.fetchedTokensPerMillisecond
    const isComputedElsewhere = !isComputing && sharedTokens > 0 && this.isComputing(task)
    const repeatedTokens = isComputedElsewhere ? Math.max(0, sharedTokens - ownTokens - fetchedTokens) : 0
    const copyMilliseconds = copyCostFraction * this.speed.computeMilliseconds(fetchedTokens + repeatedTokens)
    return {
      backlog,
      computedTokens,
      computeMilliseconds,
      fetchMilliseconds,
      partsSource: fetchedTokens > 0 ? partsSource : undefined,
      cost: this.busyMilliseconds(backlog, now) + fetchMilliseconds + computeMilliseconds + copyMilliseconds
    }
  }

  /** True if some worker computes a prompt with the same shared parts. */
  private isComputing (task: PromptTask): boolean {
    const sharedParts = task.parts.slice(0, -1)
    return [...this.backlogs.values()].some(backlog => backlog.isComputing(sharedParts))
  }

  /** Number of leading tokens of the prompt that each worker holds. */
  private heldTokens ({ parts, partTokens }: PromptTask): Map<WorkerId, number> {
    const { held, holders } = this.options
    return new Map(holders().map(({ id }) => [id, held.leadingTokens(id, parts, partTokens)]))
  }

  /** Time for which the prompt occupies a worker if its parts are fetched or held as far as any worker holds them. */
  private shortestCompute (task: PromptTask): number {
    return this.speed.computeMilliseconds(this.tokensToCompute(task))
  }

  /** Number of tokens of the prompt that no worker holds. */
  private tokensToCompute (task: PromptTask): number {
    return promptTokensOf(task) - Math.max(0, ...this.heldTokens(task).values())
  }

  /** Schedules the next dispatch for the time when the first worker is about to have room. */
  private scheduleRecheck (): void {
    this.recheck?.abort()
    this.recheck = undefined
    if (this.waiting.size === 0) return
    const { clock } = this.options
    const now = clock.monotonic()
    const untilFree = this.acceptingBacklogs(now).map(backlog => Math.max(
      backlog.milliseconds(now) - dispatchAheadMilliseconds,
      this.options.permits.waitMilliseconds(backlog.worker, now)
    ))
    const untilRoom = [...untilFree, this.answerWaitMilliseconds(now)].filter(milliseconds => milliseconds > 0)
    const recheck = new AbortController()
    this.recheck = recheck
    clock.sleep(Math.max(1, Math.min(maxRecheckMilliseconds, ...untilRoom)), recheck.signal).then(() => {
      if (!recheck.signal.aborted) this.dispatch()
    }, () => {})
  }
}

/** The worker other than `excluded` that holds most tokens, and their number. */
function longestOf (heldTokens: ReadonlyMap<WorkerId, number>, excluded: WorkerId): [WorkerId | undefined, number] {
  let longest: [WorkerId | undefined, number] = [undefined, 0]
  for (const [worker, tokens] of heldTokens) {
    if (worker !== excluded && tokens > longest[1]) longest = [worker, tokens]
  }
  return longest
}

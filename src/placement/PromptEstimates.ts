/**
 * Expected course of a prompt on each worker of a pool, from the workers' backlogs, speeds and held parts.
 */
import type { WorkerId } from '../common/index.js'
import type { HeldParts } from './HeldParts.js'
import type { PrefillSpeed } from './PrefillSpeed.js'
import { type PromptTask, promptTokensOf } from './PromptTask.js'
import type { WorkerBacklog } from './WorkerBacklog.js'
import type { WorkerBacklogs } from './WorkerBacklogs.js'
import type { WorkerSpeeds } from './WorkerSpeeds.js'

/** Time that a worker needs to start a fetch of parts, in milliseconds. */
const fetchSetupMilliseconds = 10

/**
 * Cost of a copy of shared parts on another worker, as a fraction of the time to compute them: the copy displaces other
 * parts, some of which have to be computed again.
 */
const copyCostFraction = 0.5

/** Expected course of a prompt on one worker. */
export interface Estimate {
  backlog: WorkerBacklog
  computedTokens: number
  computeMilliseconds: number
  fetchMilliseconds: number
  partsSource: WorkerId | undefined
  /** Time until the prompt is computed plus the cost of copies, in milliseconds. */
  cost: number
}

/** Dependencies of `PromptEstimates`. */
export interface PromptEstimatesOptions {
  held: HeldParts
  /** Workers from which parts of prompts may be fetched. */
  holders: () => ReadonlyArray<{ readonly id: WorkerId }>
  backlogs: WorkerBacklogs
  speed: PrefillSpeed
  speeds: WorkerSpeeds
  /** Tokens that a worker fetches from another one per millisecond. */
  fetchedTokensPerMillisecond: number
  /** Time until the worker may be sent the next prompt, in milliseconds. */
  busyMilliseconds: (backlog: WorkerBacklog, now: number) => number
}

/** Estimates the course of prompts. */
export class PromptEstimates {
  constructor (private readonly options: PromptEstimatesOptions) {}

  /** The worker with the lowest cost; undefined if no worker accepts prompts. */
  best (task: PromptTask, now: number): Estimate | undefined {
    const heldTokens = this.heldTokens(task)
    return this.options.backlogs.accepting(now)
      .map(backlog => this.estimate(task, backlog, heldTokens, now))
      .reduce<Estimate | undefined>((best, other) => best === undefined || other.cost < best.cost ? other : best, undefined)
  }

  /** Time until a worker that accepts prompts has computed this many tokens, in milliseconds; infinite if there is none. */
  elsewhereMilliseconds (computedTokens: number, now: number): number {
    const { backlogs, speed, speeds, busyMilliseconds } = this.options
    return speed.baseMilliseconds + Math.min(...backlogs.accepting(now).map(backlog =>
      busyMilliseconds(backlog, now) + speeds.computeMilliseconds(backlog.worker, computedTokens, now)))
  }

  /** Time for which the prompt occupies a worker if its parts are fetched or held as far as any worker holds them. */
  shortestCompute (task: PromptTask): number {
    return this.options.speed.computeMilliseconds(this.tokensToCompute(task))
  }

  /** Number of tokens of the prompt that no worker holds. */
  tokensToCompute (task: PromptTask): number {
    return promptTokensOf(task) - Math.max(0, ...this.heldTokens(task).values())
  }

  private estimate (task: PromptTask, backlog: WorkerBacklog, heldTokens: ReadonlyMap<WorkerId, number>, now: number): Estimate {
    const { speed, speeds, fetchedTokensPerMillisecond, busyMilliseconds } = this.options
    const promptTokens = promptTokensOf(task)
    const sharedTokens = promptTokens - (task.partTokens.at(-1) ?? 0)
    const isComputing = sharedTokens > 0 && backlog.isComputing(task.parts.slice(0, -1))
    const ownTokens = isComputing ? sharedTokens : heldTokens.get(backlog.worker) ?? 0
    const [partsSource, sourceTokens] = longestOf(heldTokens, backlog.worker)
    const fetchedTokens = Math.max(0, sourceTokens - ownTokens)
    const computedTokens = promptTokens - ownTokens - fetchedTokens
    const computeMilliseconds = speeds.computeMilliseconds(backlog.worker, computedTokens, now)
    const fetchMilliseconds = fetchedTokens === 0 ? 0 : fetchSetupMilliseconds + fetchedTokens / fetchedTokensPerMillisecond
    const isComputedElsewhere = !isComputing && sharedTokens > 0 && this.isComputing(task)
    const repeatedTokens = isComputedElsewhere ? Math.max(0, sharedTokens - ownTokens - fetchedTokens) : 0
    const copyMilliseconds = copyCostFraction * speed.computeMilliseconds(fetchedTokens + repeatedTokens)
    return {
      backlog,
      computedTokens,
      computeMilliseconds,
      fetchMilliseconds,
      partsSource: fetchedTokens > 0 ? partsSource : undefined,
      cost: busyMilliseconds(backlog, now) + fetchMilliseconds + computeMilliseconds + copyMilliseconds
    }
  }

  /** True if some worker computes a prompt with the same shared parts. */
  private isComputing (task: PromptTask): boolean {
    const sharedParts = task.parts.slice(0, -1)
    return this.options.backlogs.all.some(backlog => backlog.isComputing(sharedParts))
  }

  /** Number of leading tokens of the prompt that each worker holds. */
  private heldTokens ({ parts, partTokens }: PromptTask): Map<WorkerId, number> {
    const { held, holders } = this.options
    return new Map(holders().map(({ id }) => [id, held.leadingTokens(id, parts, partTokens)]))
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

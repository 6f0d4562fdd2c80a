/**
 * Fair shares of the workers that compute prompts. An account that sends more than the others must not starve them, and the
 * others must not starve it: none may be served less than a quarter as often as all accounts together.
 *
 * The fair share is the mean recent use of the accounts whose prompts wait. Prompts of accounts over it are sent after the
 * others of the same lateness. Every third prompt is sent by urgency alone, so that an account over its share is still
 * served about a third as often as it would be by urgency.
 */
import { BoundedTable } from '../common/index.js'
import type { PromptTask } from './PromptTask.js'
import { compareRanks, type PromptRank } from './WaitingPrompt.js'

/** Time in which the use of an account loses half of its weight, in milliseconds. */
const halfLifeMilliseconds = 5000

/** Maximum number of accounts whose use is known; above it, the one that was served least recently is forgotten. */
const maxAccounts = 1024

/** Of this many prompts, one is sent by urgency alone. */
const urgencyTurnInterval = 3

/** Stands for the account of the prompts that have none. */
const noAccount = ''

interface Use { milliseconds: number, at: number }

/** A prompt with its urgency. */
interface RankedPrompt { entry: { task: PromptTask }, rank: PromptRank }

/** What each account of a pool has used recently, and the order of prompts that follows from it. */
export class AccountShares {
  private readonly uses = new BoundedTable<Use>(maxAccounts)
  /** Number of prompts sent so far, from which the turns follow. */
  private sent = 0

  /** Records that a prompt of the account was sent to a worker, which it occupies for the given time. */
  recordSent ({ account = noAccount }: PromptTask, computeMilliseconds: number, now: number): void {
    this.sent += 1
    this.uses.set(account, { milliseconds: this.useOf(account, now) + computeMilliseconds, at: now })
  }

  /** Moves the prompts of accounts over their fair share behind the others of the same lateness. `ranked`: by urgency. */
  arrange<Ranked extends RankedPrompt> (ranked: Ranked[], now: number): Ranked[] {
    const isOverShare = this.overShareTest(ranked.map(({ entry: { task } }) => task), now)
    if (isOverShare === undefined) return ranked
    let turn = this.sent
    return [false, true].flatMap(isLate => {
      const group = ranked.filter(({ rank }) => rank.isLate === isLate)
      const underShare = group.filter(({ entry }) => !isOverShare(entry.task))
      const overShare = group.filter(({ entry }) => isOverShare(entry.task))
      const merged = mergeInTurns(underShare, overShare, turn)
      turn += group.length
      return merged
    })
  }

  /**
   * Tells whether a prompt precedes another one of the same lateness, whatever their urgency. `waiting`: the prompts that
   * compete, these two included.
   */
  precedes (task: PromptTask, waiting: Iterable<PromptTask>, now: number): (other: PromptTask) => boolean {
    const isOverShare = this.overShareTest(waiting, now)
    return isOverShare === undefined || isOverShare(task) ? () => false : isOverShare
  }

  /** Returns a test whether a prompt's account is over its fair share; undefined if fewer than two accounts compete. */
  private overShareTest (tasks: Iterable<PromptTask>, now: number): ((task: PromptTask) => boolean) | undefined {
    const uses = new Map<string, number>()
    for (const { account = noAccount } of tasks) {
      if (!uses.has(account)) uses.set(account, this.useOf(account, now))
    }
    if (uses.size < 2) return undefined
    const share = [...uses.values()].reduce((sum, use) => sum + use, 0) / uses.size
    return ({ account = noAccount }) => (uses.get(account) ?? 0) > share
  }

  private useOf (account: string, now: number): number {
    const use = this.uses.get(account)
    return use === undefined ? 0 : use.milliseconds * 0.5 ** ((now - use.at) / halfLifeMilliseconds)
  }
}

/** Merges two lists that are sorted by urgency: `underShare` goes first, except at the turns that go by urgency alone. */
function mergeInTurns<Ranked extends RankedPrompt> (underShare: Ranked[], overShare: Ranked[], firstTurn: number): Ranked[] {
  const merged: Ranked[] = []
  for (let [next, nextOver] = [0, 0]; ;) {
    const [under, over] = [underShare[next], overShare[nextOver]]
    if (under === undefined) return merged.concat(overShare.slice(nextOver))
    if (over === undefined) return merged.concat(underShare.slice(next))
    const isUrgencyTurn = (firstTurn + merged.length) % urgencyTurnInterval === urgencyTurnInterval - 1
    if (isUrgencyTurn && compareRanks(over.rank, under.rank) <= 0) {
      merged.push(over)
      nextOver += 1
    } else {
      merged.push(under)
      next += 1
    }
  }
}

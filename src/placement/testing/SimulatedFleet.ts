/**
 * A small model of a pool's prefill workers for tests of placement on a manual clock: each worker computes its prompts
 * in the order of their arrival, keeps the parts of what it computed, and fetches parts that another worker keeps.
 */
import type { Clock, WorkerId, Zone } from '../../common/index.js'

/** A prompt as its caller sends it. */
export interface SimulatedPrompt {
  id: string
  parts: string[]
  partTokens: number[]
  targetMilliseconds: number
}

/** Speed of a worker and constant part of its response time. */
export const simulatedTokensPerMillisecond = 50
export const simulatedBaseMilliseconds = 70

/** Time to fetch the shared parts of a prompt, in milliseconds. */
const fetchMilliseconds = 20

interface SimulatedWorker {
  busyUntil: number
  kept: Set<string>
  /** True while the worker answers nothing. */
  hangs: boolean
}

/** The workers of a pool. */
export class SimulatedFleet {
  readonly workers = new Map<WorkerId, SimulatedWorker>()
  /** Tokens of shared parts that were computed although a worker kept them. */
  repeatedTokens = 0

  /** `zoneOf`: the zone of a worker by its number; default: all are in one. */
  constructor (private readonly clock: Clock, count: number, private readonly zoneOf = (_number: number): Zone => 'zone-a' as Zone) {
    for (let number = 0; number < count; number += 1) {
      this.workers.set(`w${number}` as WorkerId, { busyUntil: 0, kept: new Set(), hangs: false })
    }
  }

  get ids (): Array<{ id: WorkerId, zone: Zone }> {
    return [...this.workers.keys()].map((id, number) => ({ id, zone: this.zoneOf(number) }))
  }

  /** Computes a prompt; resolves with the time of the response. Never resolves on a worker that hangs. */
  async compute (prompt: SimulatedPrompt, id: WorkerId, source: WorkerId | undefined): Promise<number> {
    const { clock } = this
    const worker = this.workers.get(id)!
    if (worker.hangs) return await new Promise(() => {})
    const fetched = source === undefined ? undefined : this.workers.get(source)?.kept
    let tokens = 0
    let isFetching = false
    for (const [position, part] of prompt.parts.entries()) {
      const isShared = position < prompt.parts.length - 1
      if (worker.kept.has(part)) continue
      if (fetched?.has(part) === true) {
        isFetching = true
        continue
      }
      tokens += prompt.partTokens[position]!
      const isRepeated = isShared && [...this.workers.values()].some(({ kept }) => kept.has(part))
      if (isRepeated) this.repeatedTokens += prompt.partTokens[position]!
    }
    const start = Math.max(clock.monotonic(), worker.busyUntil) + (isFetching ? fetchMilliseconds : 0)
    worker.busyUntil = start + tokens / simulatedTokensPerMillisecond
    const answeredAt = worker.busyUntil + simulatedBaseMilliseconds
    await clock.sleep(answeredAt - clock.monotonic())
    for (const part of prompt.parts) worker.kept.add(part)
    return answeredAt
  }
}

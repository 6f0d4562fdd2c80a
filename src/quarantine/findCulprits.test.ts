/**
 * Guards against harmless parts of prompts that are blamed for the loss of workers, and against a part that crashes
 * workers but is not recognized in time.
 */
import { expect, test } from '@jest/globals'
import type { WorkerId } from '../common/index.js'
import type { PartEvidence } from './Evidence.js'
import { findCulprits } from './findCulprits.js'

/** A loss as `worker@milliseconds`, with the names of the prompts that the worker had begun, and the part in each. */
interface Loss { worker: string, at: number, prompts: Record<string, string[]> }

function evidenceOf (losses: Loss[]): PartEvidence[] {
  const byPart = new Map<string, PartEvidence>()
  for (const { worker, at, prompts } of losses) {
    for (const [prompt, parts] of Object.entries(prompts)) {
      for (const part of parts) {
        const known = byPart.get(part) ?? { part, losses: [] }
        byPart.set(part, known)
        const same = known.losses.find(loss => loss.worker === worker && loss.at === at)
        if (same === undefined) known.losses.push({ worker: worker as WorkerId, at, prompts: [prompt] })
        else same.prompts.push(prompt)
      }
    }
  }
  return [...byPart.values()]
}

test.each<[string, Loss[], string[][]]>([
  ['a part is not to blame for one loss', [
    { worker: 'a', at: 0, prompts: { p1: ['deadly'], p2: ['deadly'] } }
  ], []],
  ['a part is to blame for two losses', [
    { worker: 'a', at: 0, prompts: { p1: ['deadly'] } },
    { worker: 'b', at: 1000, prompts: { p2: ['deadly'] } }
  ], [['deadly']]],
  ['one prompt that is sent again after each loss is to blame', [
    { worker: 'a', at: 0, prompts: { p1: ['deadly'] } },
    { worker: 'b', at: 1000, prompts: { p1: ['deadly'] } }
  ], [['deadly']]],
  ['a part is not to blame if three workers are lost at the same moment', [
    { worker: 'a', at: 0, prompts: { p1: ['shared'] } },
    { worker: 'b', at: 20, prompts: { p2: ['shared'] } },
    { worker: 'c', at: 40, prompts: { p3: ['shared'] } }
  ], []],
  ['reports of one loss by clocks that differ count once', [
    { worker: 'a', at: 0, prompts: { p1: ['rare'] } },
    { worker: 'a', at: 900, prompts: { p2: ['rare'] } },
    { worker: 'a', at: 1800, prompts: { p3: ['rare'] } }
  ], []],
  ['a part that was begun beside the deadly one is not to blame', [
    { worker: 'a', at: 0, prompts: { p1: ['deadly'], p2: ['other'] } },
    { worker: 'b', at: 1000, prompts: { p3: ['deadly'], p4: ['other'] } },
    { worker: 'c', at: 2000, prompts: { p5: ['deadly'], p6: ['other'] } },
    { worker: 'd', at: 3000, prompts: { p7: ['deadly'] } }
  ], [['deadly']]],
  ['parts that always come together are refused only together', [
    { worker: 'a', at: 0, prompts: { p1: ['shared', 'deadly'], p2: ['shared'] } },
    { worker: 'b', at: 1000, prompts: { p3: ['shared', 'deadly'] } },
    { worker: 'c', at: 2000, prompts: { p4: ['shared', 'deadly'] } }
  ], [['deadly', 'shared']]],
  ['a loss without the shared part leaves only the deadly one to blame', [
    { worker: 'a', at: 0, prompts: { p1: ['shared', 'deadly'] } },
    { worker: 'b', at: 1000, prompts: { p3: ['shared', 'deadly'] } },
    { worker: 'c', at: 2000, prompts: { p4: ['shared', 'deadly'] } },
    { worker: 'd', at: 3000, prompts: { p5: ['another', 'deadly'] } }
  ], [['deadly']]],
  ['two deadly parts are both to blame', [
    { worker: 'a', at: 0, prompts: { p1: ['first'] } },
    { worker: 'b', at: 1000, prompts: { p2: ['second'] } },
    { worker: 'c', at: 2000, prompts: { p3: ['first'] } },
    { worker: 'd', at: 3000, prompts: { p4: ['second'] } },
    { worker: 'e', at: 4000, prompts: { p5: ['first'] } },
    { worker: 'f', at: 5000, prompts: { p6: ['second'] } }
  ], [['first'], ['second']]]
])('%s', (_name, losses, expected) => {
  expect(findCulprits(evidenceOf(losses)).map(({ parts }) => parts)).toEqual(expected)
})

// Guards against a host that stands still while it judges the evidence of many lost workers. Counts steps in place of time.
test('the number of comparisons grows with the number of losses, not with its square', () => {
  let reads = 0
  const lossOf = (number: number): PartEvidence['losses'][number] => ({
    at: (number % 10) * 1000,
    prompts: [`p${number}`],
    get worker () {
      reads += 1
      return `worker-${number % 10}` as WorkerId
    }
  })
  const parts = 2000
  findCulprits(Array.from({ length: parts }, (_, number) => ({ part: `part-${number}`, losses: [lossOf(number)] })))
  expect(reads).toBeLessThan(100 * parts)
})

/**
 * Guards against prompts that fail because their scheduler is gone, that are sent to a worker which this host knows to
 * leave, or that are reported as refused without the time after which to come back.
 */
import { beforeEach, describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { failure, type Failure, ManualClock, type Pool, type WorkerId, type Zone } from '../common/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import type { Upstream } from '../upstreams/index.js'
import { type PlacedPrompt, PromptPlacer, type PromptToPlace } from './PromptPlacer.js'
import type { PlacementCell } from './PromptScheduler.js'
import type { PlacementDecision, PromptOutcome, PromptTask } from './PromptTask.js'
import { ScheduledPromptPlacer, SchedulerClient } from './ScheduledPromptPlacer.js'

const zone = 'a' as Zone
const never = new AbortController().signal

function upstream (id: string, inZone = zone): Upstream {
  return { id: id as WorkerId, zone: inZone } as Upstream
}

/** Answers as the test decides, and records the questions and reports. */
class FakeClient extends SchedulerClient {
  answer: Result<PlacementDecision, Failure> = Result.ok({ kind: 'no_worker' })
  readonly cells: PlacementCell[] = []
  readonly reports: string[] = []
  /** Called while a question is open. */
  onQuestion = (): void => {}

  async place (cell: PlacementCell): Promise<Result<PlacementDecision, Failure>> {
    this.cells.push(cell)
    this.onQuestion()
    return this.answer
  }

  end (_cell: PlacementCell, id: string, outcome: PromptOutcome): void {
    this.reports.push(`${id} ${outcome}`)
  }

  answered (_cell: PlacementCell, id: string, worker: WorkerId | undefined, startMilliseconds: number | undefined): void {
    this.reports.push(`${id} answered ${worker} ${startMilliseconds}`)
  }
}

/** Places every prompt on the first candidate. */
class FirstCandidatePlacer extends PromptPlacer {
  async place ({ candidates }: PromptToPlace): Promise<Result<PlacedPrompt | undefined, Failure>> {
    const reports = { end: () => {}, answered: () => {} }
    const [worker] = candidates()
    return Result.ok({ worker, sharedPartsSource: undefined, answerWorker: undefined, hasPermits: false, ...reports })
  }
}

let client: FakeClient
let clock: ManualClock
let placer: ScheduledPromptPlacer

beforeEach(() => {
  client = new FakeClient()
  clock = new ManualClock()
  placer = new ScheduledPromptPlacer({
    client, fallback: new FirstCandidatePlacer(), zone, clock, events: discardingEventLog(clock)
  })
})

function prompt (candidates = [upstream('w0'), upstream('w1')], decodeCandidates = [upstream('d0')]): PromptToPlace {
  const routingRequest = { promptTokens: 10, promptBlocks: ['p'], blockTokens: [10] }
  return { id: 'r.1', pool: 'llm' as Pool, prompt: routingRequest, dueAt: 500, lostAt: 2000, candidates: () => candidates, decodeCandidates: () => decodeCandidates }
}

async function placedWorker (): Promise<string | undefined> {
  return (await placer.place(prompt(), never)).unwrapOr(undefined)?.worker?.id
}

describe('the host follows the scheduler', () => {
  test('to the worker, the source of shared parts and the worker for the answer', async () => {
    client.answer = Result.ok({
      kind: 'placed', worker: 'w1' as WorkerId, partsSource: 'd0' as WorkerId, answerWorker: 'd0' as WorkerId
    })
    const placed = (await placer.place(prompt(), never)).unwrapOr(undefined)!
    expect([placed.worker?.id, placed.sharedPartsSource?.id, placed.answerWorker]).toEqual(['w1', 'd0', 'd0'])
    placed.end('computed')
    placed.answered('d0' as WorkerId, 40)
    expect(client.reports).toEqual(['r.1 computed', 'r.1 answered d0 40'])
  })

  test('if the answer worker is to compute the prompt', async () => {
    client.answer = Result.ok({ kind: 'with_answer', answerWorker: 'd0' as WorkerId })
    expect((await placer.place(prompt(), never)).unwrapOr(undefined)).toMatchObject({ worker: undefined, answerWorker: 'd0' })
  })

  test('if it refuses the prompt, with the time after which to come back', async () => {
    client.answer = Result.ok({ kind: 'refused', retryAfterMilliseconds: 700 })
    const placed = await placer.place(prompt(), never)
    expect(placed.isErr && placed.error).toMatchObject({ kind: 'overloaded', detail: { retryAfterMilliseconds: 700 } })
  })
})

describe('the host places its prompts by itself', () => {
  test.each([
    ['while no scheduler answers', Result.err(failure('not_ready', 'silent'))],
    ['if the scheduler knows no worker', Result.ok({ kind: 'no_worker' })],
    ['if it may not use the chosen worker', Result.ok({ kind: 'placed', worker: 'leaving', partsSource: undefined, answerWorker: undefined })]
  ] as Array<[string, Result<PlacementDecision, Failure>]>)('%s', async (_name, answer) => {
    client.answer = answer
    expect(await placedWorker()).toBe('w0')
  })

  test('for a while after a scheduler failed, so that a silent one does not delay every prompt', async () => {
    client.answer = Result.err(failure('not_ready', 'silent'))
    await placedWorker()
    await placedWorker()
    expect(client.cells).toHaveLength(1)
    await clock.advance(1000)
    await placedWorker()
    expect(client.cells).toHaveLength(2)
  })
})

// Guards against prompts that are sent to a worker whose leaving became known while the scheduler decided.
test.each<[string, Result<PlacementDecision, Failure>]>([
  ['chooses the worker', Result.ok({ kind: 'placed', worker: 'w0' as WorkerId, partsSource: undefined, answerWorker: undefined })],
  ['does not answer', Result.err(failure('not_ready', 'silent'))]
])('a worker that leaves during a question is not used if the scheduler %s', async (_name, answer) => {
  const candidates = [upstream('w0'), upstream('w1')]
  client.answer = answer
  client.onQuestion = () => { candidates.shift() }
  const placed = await placer.place(prompt(candidates), never)
  expect(placed.unwrapOr(undefined)?.worker?.id).toBe('w1')
})

// Guards against one caller with a long prompt who makes the host place all prompts by itself for a while.
test('a prompt that is too long for a question does not keep the host from asking about the next one', async () => {
  client.answer = Result.err(failure('body_too_large', 'the prompt has too many parts'))
  expect(await placedWorker()).toBe('w0')
  await placedWorker()
  expect(client.cells).toHaveLength(2)
})

test.each([
  ['one cell for a small pool', 6, undefined],
  ['a cell for each zone of a large pool', 40, zone]
])('the host asks the scheduler of %s', async (_name, count, expectedZone) => {
  const candidates = Array.from({ length: count }, (_, index) => upstream(`w${index}`, (index % 2 === 0 ? zone : 'b') as Zone))
  client.answer = Result.ok({ kind: 'placed', worker: 'w0' as WorkerId, partsSource: undefined, answerWorker: undefined })
  await placer.place(prompt(candidates), never)
  expect(client.cells).toEqual([{ pool: 'llm', zone: expectedZone }])
})

describe('a prompt that the cell of its zone cannot compute in time', () => {
  const candidates = Array.from({ length: 30 }, (_, index) => upstream(`w${index}`, (['a', 'b', 'c'] as Zone[])[index % 3]!))
  const refused = (retryAfterMilliseconds: number): Result<PlacementDecision, Failure> => Result.ok({ kind: 'refused', retryAfterMilliseconds })
  const placed = (worker: string): Result<PlacementDecision, Failure> =>
    Result.ok({ kind: 'placed', worker: worker as WorkerId, partsSource: undefined, answerWorker: undefined })
  const silent: Result<PlacementDecision, Failure> = Result.err(failure('not_ready', 'silent'))

  // Guards against callers who are refused although another zone has room, against longer waits than that of their own
  // zone, and against prompts that are given up since a zone that would only help does not answer.
  test.each<[string, Record<string, Array<Result<PlacementDecision, Failure>>>, string | undefined, string]>([
    ['goes to a cell that can', { a: [refused(900)], b: [placed('w1')], c: [placed('w2')] }, 'w2', 'a? c?'],
    ['goes to the third cell if the second one cannot either', { a: [refused(900)], b: [placed('w1')], c: [refused(500)] }, 'w1', 'a? c? b?'],
    ['waits in its own cell if no queue is shorter', { a: [refused(400), placed('w0')], b: [refused(400)], c: [refused(500)] }, 'w0', 'a? c? b? a'],
    ['waits in the cell with the shortest queue', { a: [refused(900)], b: [refused(300), placed('w1')], c: [refused(500)] }, 'w1', 'a? c? b? b'],
    ['is refused if no cell can compute it at all', { a: [refused(900), refused(900)], b: [refused(901)], c: [refused(902)] }, undefined, 'a? c? b? a'],
    ['waits in its own cell if that with the shortest queue no longer answers',
      { a: [refused(900), placed('w0')], b: [refused(300), silent], c: [refused(500)] }, 'w0', 'a? c? b? b a'],
    ['waits in its own cell if no other one answers', { a: [refused(900), placed('w0')], b: [silent], c: [silent] }, 'w0', 'a? c? b? a']
  ])('%s', async (_name, answers, worker, asked) => {
    const questions: string[] = []
    client.place = async (cell: PlacementCell, task?: PromptTask) => {
      questions.push(`${cell.zone}${task?.onlyInTime === true ? '?' : ''}`)
      return answers[cell.zone!]!.shift()!
    }
    placer = new ScheduledPromptPlacer({
      client, fallback: new FirstCandidatePlacer(), zone, clock, events: discardingEventLog(clock), random: sequence([0.1, 0.9])
    })
    const result = await placer.place(prompt(candidates), never)
    expect(result.unwrapOr(undefined)?.worker?.id).toBe(worker)
    expect(questions.join(' ')).toBe(asked)
  })

  // Guards against a wait for each prompt while another zone is cut off.
  test('is not offered to a cell whose scheduler has just failed', async () => {
    const asked: Array<Zone | undefined> = []
    client.place = async (cell: PlacementCell) => {
      asked.push(cell.zone)
      return cell.zone === zone ? refused(900) : silent
    }
    await placer.place(prompt(candidates), never)
    asked.length = 0
    await placer.place(prompt(candidates), never)
    expect(asked).toEqual([zone, zone])
    await clock.advance(2000)
    asked.length = 0
    await placer.place(prompt(candidates), never)
    expect(asked).toHaveLength(4)
  })
})

function sequence (values: readonly number[]): () => number {
  let next = 0
  return () => values[next++ % values.length]!
}

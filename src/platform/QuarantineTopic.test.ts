/**
 * Guards against evidence that waits for ever or without a bound while the store is unavailable, and against deletions of
 * evidence that is newer than what the host knows.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type Failure, failure, ManualClock, type WorkerId } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import type { PartEvidence } from '../quarantine/index.js'
import {
  longestPauseMilliseconds, maxEvidenceAgeMilliseconds, maxLosses, maxPrompts, maxQueuedParts, QuarantineTopic, repeatMilliseconds
} from './QuarantineTopic.js'
import type { AppendedRecords, AppendOptions, KeyedRecord } from './StoreClient.js'
import { StoreEra } from './StoreEra.js'

/** An append that waits for its answer. */
interface PendingAppend {
  records: readonly KeyedRecord[]
  at: number | undefined
  answer: (result: Result<AppendedRecords, Failure>) => void
}

const refused = Result.err<AppendedRecords, Failure>(failure('platform_unavailable', 'refused'))

let clock: ManualClock
let appends: PendingAppend[]
/** If set, answers each append at once. */
let answerAtOnce: Result<AppendedRecords, Failure> | undefined
let standing: KeyedRecord[]
/** Offset at which the topic ends as far as the host has read. */
let end: number
let lines: string[]
let received: PartEvidence[]
let topic: QuarantineTopic
let era: StoreEra

async function append (
  _topic: string,
  records: readonly KeyedRecord[],
  { at, signal }: AppendOptions = {}
): Promise<Result<AppendedRecords, Failure>> {
  return await new Promise(resolve => {
    signal?.addEventListener('abort', () => { resolve(refused) })
    appends.push({ records, at, answer: resolve })
    if (answerAtOnce !== undefined) resolve(answerAtOnce)
  })
}

function logged (event: string): string[] {
  return lines.filter(line => line.includes(`event=${event} `))
}

function evidenceAgainst (part: string, count = 1, at = clock.wall()): PartEvidence {
  const losses = Array.from({ length: count }, (_, number) => ({ worker: 'w1' as WorkerId, at: at + number, prompts: [`p${number}`] }))
  return { part, losses }
}

function recordOf ({ part, losses }: PartEvidence): KeyedRecord {
  return { key: part, value: Buffer.from(JSON.stringify({ losses })) }
}

function lossesOf (record: KeyedRecord | undefined): PartEvidence['losses'] {
  return (JSON.parse(record?.value?.toString() ?? '{"losses":[]}') as PartEvidence).losses
}

beforeEach(() => {
  clock = new ManualClock()
  appends = []
  answerAtOnce = undefined
  standing = []
  end = 0
  lines = []
  received = []
  era = new StoreEra()
  topic = new QuarantineTopic({
    reader: {
      newest: async () => Result.ok({ records: standing, end, era: Math.max(1, era.current) }),
      read: async (_topic, from, waitMilliseconds, signal) => {
        await clock.sleep(waitMilliseconds, signal)
        return signal?.aborted === true ? Result.err(failure('platform_unavailable', 'aborted')) : Result.ok({ records: [], next: from, era: Math.max(1, era.current) })
      },
      close: async () => {}
    },
    era,
    writer: { append, close: async () => {} },
    receiver: { receive: evidence => { received.push(...evidence) }, restore: () => {} },
    clock,
    events: new EventLog({ timeline: new Timeline('host-1', new HybridClock(clock)), level: 'info', write: line => { lines.push(line) } }),
    stableWindowMilliseconds: 3000
  })
})

afterEach(async () => { await topic.stop() })

describe('publishing', () => {
  // Repeated calls without an end are priced.
  test('gives up after the repeat time with one log line, and publishes later evidence', async () => {
    answerAtOnce = refused
    topic.publish([evidenceAgainst('m/a'), evidenceAgainst('m/b')])
    await clock.advance(repeatMilliseconds - longestPauseMilliseconds - 1000)
    expect(logged('evidence_dropped')).toHaveLength(0)
    await clock.advance(longestPauseMilliseconds + 1000)
    expect(logged('evidence_dropped')).toHaveLength(1)
    const calls = appends.length
    await clock.advance(60_000)
    expect(appends).toHaveLength(calls)
    answerAtOnce = Result.ok({ offset: 0, end: 1 })
    topic.publish([evidenceAgainst('m/c')])
    await clock.advance(0)
    expect(logged('evidence_published')).toHaveLength(1)
  })

  // An older record that is written after a newer one hides the newer losses from hosts that start later.
  test('has one open append, and sends only the newest evidence against each part', async () => {
    topic.publish([evidenceAgainst('m/a', 1), evidenceAgainst('m/b', 1)])
    topic.publish([evidenceAgainst('m/a', 2)])
    topic.publish([evidenceAgainst('m/a', 3)])
    await clock.advance(0)
    expect(appends).toHaveLength(1)
    appends[0]!.answer(Result.ok({ offset: 7, end: 9 }))
    await clock.advance(0)
    expect(appends).toHaveLength(2)
    expect(appends[1]!.records.map(record => [record.key, lossesOf(record).length])).toEqual([['m/a', 3]])
  })

  // A failed append that is repeated as it was overwrites what the host learned meanwhile.
  test('repeats a failed append with the evidence of now', async () => {
    topic.publish([evidenceAgainst('m/a', 1)])
    topic.publish([{ part: 'm/a', losses: [] }])
    appends[0]!.answer(refused)
    await clock.advance(0)
    await clock.advance(200)
    expect(appends[1]!.records).toEqual([{ key: 'm/a', value: undefined }])
  })

  // A store that is away would let the queue grow with each part.
  test('drops evidence beyond the bound of the queue with one log line', async () => {
    topic.publish([evidenceAgainst('m/first')])
    topic.publish(Array.from({ length: 300 }, (_, number) => evidenceAgainst(`m/${number}`)))
    expect(logged('evidence_dropped')).toHaveLength(1)
    appends[0]!.answer(refused)
    await clock.advance(0)
    await clock.advance(200)
    expect(appends[1]!.records).toHaveLength(maxQueuedParts)
  })

  // The store refuses such a key, and with it all evidence of the same call.
  test.each([['a name of 256 bytes', 'é'.repeat(128)], ['an empty name', '']])('drops a part with %s with one log line', async (_name, part) => {
    topic.publish([evidenceAgainst(part), evidenceAgainst('m/a')])
    expect(logged('evidence_dropped')).toHaveLength(1)
    expect(appends[0]!.records.map(({ key }) => key)).toEqual(['m/a'])
  })

  // Other hosts ignore evidence beyond the bounds.
  test('sends the newest losses and prompts within the bounds', async () => {
    const { part, losses } = evidenceAgainst('m/a', 20)
    const prompts = Array.from({ length: 20 }, (_, number) => String(number).padEnd(300, '-'))
    topic.publish([{ part, losses: losses.map(loss => ({ ...loss, prompts })) }])
    const sent = lossesOf(appends[0]!.records[0])
    expect(sent.map(({ at }) => at - clock.wall())).toEqual(Array.from({ length: maxLosses }, (_, index) => 19 - index))
    expect(sent[0]!.prompts).toEqual(prompts.slice(-maxPrompts).map(prompt => prompt.slice(0, 256)))
  })

  // A stop that waits for the store uses up the time in which a host has to end.
  test('ends with the host, and drops what was not published with a log line', async () => {
    topic.publish([evidenceAgainst('m/a')])
    await topic.stop()
    topic.publish([evidenceAgainst('m/b')])
    expect(logged('evidence_dropped')).toHaveLength(2)
    expect(appends).toHaveLength(1)
  })
})

describe('old evidence', () => {
  const old = (part: string): PartEvidence => evidenceAgainst(part, 1, clock.wall() - maxEvidenceAgeMilliseconds - 1)

  /** Starts the host with old evidence against `m/old`, and answers its append of other evidence. */
  async function publishBesideOldEvidence (published: string, appended: AppendedRecords): Promise<void> {
    standing = [recordOf(old('m/old'))]
    end = 5
    topic.start()
    await clock.advance(0)
    topic.publish([evidenceAgainst(published)])
    appends[0]!.answer(Result.ok(appended))
    await clock.advance(0)
  }

  // Without the condition, the deletion hits evidence that another host published meanwhile.
  test('is deleted on the condition that nothing was written meanwhile', async () => {
    await publishBesideOldEvidence('m/a', { offset: 5, end: 6 })
    expect(received).toEqual([])
    expect(appends.slice(1).map(({ records, at }) => ({ records, at }))).toEqual([{ records: [{ key: 'm/old', value: undefined }], at: 6 }])
  })

  // Records that the host has not read may be newer evidence against the same part.
  test.each([
    ['records before its own that it has not read', 'm/a', { offset: 6, end: 7 }],
    ['records of others between its own', 'm/a', { offset: 5, end: 8 }],
    ['new evidence of its own against the part', 'm/old', { offset: 5, end: 6 }]
  ])('is not deleted by a host with %s', async (_name, published, appended) => {
    await publishBesideOldEvidence(published, appended)
    expect(appends).toHaveLength(1)
  })

  // An offset of a restored store says nothing about what the host has read before.
  test('is not deleted if the store is restored before the append', async () => {
    standing = [recordOf(old('m/old'))]
    end = 5
    topic.start()
    await clock.advance(0)
    topic.publish([evidenceAgainst('m/a')])
    era.accept('2')
    appends[0]!.answer(Result.ok({ offset: 5, end: 6 }))
    await clock.advance(0)
    expect(appends).toHaveLength(1)
  })

  // A deletion that failed is no reason to repeat calls: the next evidence repeats it.
  test('is kept until the next evidence if its deletion fails', async () => {
    await publishBesideOldEvidence('m/a', { offset: 5, end: 6 })
    appends[1]!.answer(refused)
    await clock.advance(10_000)
    expect(appends).toHaveLength(2)
    expect(logged('evidence_dropped')).toHaveLength(1)
  })

  // A wrong clock of another host would keep its evidence in the topic for ever.
  test('includes losses that are far in the future', async () => {
    standing = [recordOf(evidenceAgainst('m/future', 1, clock.wall() + maxEvidenceAgeMilliseconds + 1)), recordOf(evidenceAgainst('m/a'))]
    topic.start()
    await clock.advance(0)
    expect(received.map(({ part }) => part)).toEqual(['m/a'])
  })
})

// A topic that other programs fill would fill the memory of each host.
test('a host knows at most 4,096 parts of the topic', async () => {
  standing = Array.from({ length: 5000 }, (_, number) => recordOf(evidenceAgainst(`m/${number}`)))
  topic.start()
  await clock.advance(0)
  expect(received).toHaveLength(4096)
  expect(logged('evidence_unusable')).toHaveLength(1)
})

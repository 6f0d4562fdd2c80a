/**
 * Guards against readers that come to different states: from different starting points, after gaps, from
 * snapshots of hosts that lag behind, and over corrupt, unknown, duplicated and newer records.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { ManualClock, toOffset } from '../common/index.js'
import { InMemoryLogClient, type LogPage } from '../clients/index.js'
import { maxRecentIds } from './RecentIds.js'
import { StreamReplica } from './StreamReplica.js'
import { addText, ChainFold, recordText, silentEvents } from './testSupport.js'

const stream = 'configuration'

class Reader {
  readonly fold = new ChainFold()
  readonly skipped: string[] = []
  readonly replica: StreamReplica

  constructor (private readonly log: InMemoryLogClient, clock: ManualClock, maxRecords = 10_000) {
    this.replica = new StreamReplica({
      fold: this.fold,
      clock,
      events: silentEvents(clock),
      buffer: { maxRecords, maxBytes: 1_000_000 },
      onSkipped: reason => this.skipped.push(reason)
    })
  }

  /** Reads one page as a fresh follower of the log does. */
  async readPage (limit = 500): Promise<void> {
    const read = await this.log.read(stream, { from: this.replica.wanted(), limit, waitMilliseconds: 0 })
    const page: LogPage = read.unwrapOrElse(() => { throw new Error('the log is out') })
    this.replica.beginSource()
    this.replica.receive({ kind: 'records', ...page })
  }

  /** Reads one message as a follower of the other reader does. */
  readFrom (other: Reader): void {
    const message = other.replica.relay(this.replica.wanted()).unwrapOr(undefined)
    if (message === undefined) return
    this.replica.beginSource()
    this.replica.receive(message)
  }

  snapshotText (): string {
    return recordText('snapshot', { through: this.replica.through, state: this.replica.state() })
  }

  /** The observed state with the ids that decide about later duplicates. */
  view (): string {
    return JSON.stringify(this.replica.state())
  }
}

function setUp () {
  const clock = new ManualClock()
  const log = new InMemoryLogClient(clock)
  return { log, newReader: (maxRecords?: number) => new Reader(log, clock, maxRecords) }
}

function append (log: InMemoryLogClient, ...texts: string[]): void {
  log.appendFromElsewhere(stream, ...texts)
}

describe('records without effect', () => {
  test.each([
    ['not JSON', '{', 'corrupt'],
    ['JSON that is no record', '[1]', 'corrupt'],
    ['no id', '{"version":1,"kind":"add","number":1}', 'corrupt'],
    ['version 0', '{"version":0,"kind":"add","id":"a","number":1}', 'corrupt'],
    ['unknown kind', recordText('mystery'), 'rejected'],
    ['malformed members', recordText('add', { number: 'x' }), 'rejected'],
    ['id seen before', addText(5, { id: 'first' }), 'duplicate']
  ])('%s is skipped and does not stop the reader', async (_name, text, reason) => {
    const { log, newReader } = setUp()
    append(log, addText(1, { id: 'first' }), text, addText(2))
    const reader = newReader()
    await reader.readPage()
    expect(reader.skipped).toEqual([reason])
    expect([reader.replica.through, reader.fold.count, reader.replica.status]).toEqual([3, 2, 'following'])
  })

  test('a duplicate has no effect on a reader that starts from a snapshot either', async () => {
    const { log, newReader } = setUp()
    append(log, addText(1, { id: 'first' }))
    const early = newReader()
    await early.readPage()
    append(log, early.snapshotText(), addText(9, { id: 'first' }))
    log.expireBefore(stream, 2)
    const late = newReader()
    await late.readPage()
    await early.readPage()
    expect(late.view()).toBe(early.view())
    expect(late.fold.count).toBe(1)
  })

  test('the ids that count as recent are the same on a reader that starts from a snapshot', async () => {
    const { log, newReader } = setUp()
    const texts = Array.from({ length: maxRecentIds + 5 }, (_unused, index) => addText(index, { id: `id-${index}` }))
    append(log, ...texts)
    const early = newReader()
    while (early.replica.through < texts.length) await early.readPage()
    append(log, early.snapshotText())
    log.expireBefore(stream, texts.length + 1)
    // The first id was forgotten, the last one was not.
    append(log, addText(1, { id: 'id-0' }), addText(1, { id: `id-${texts.length - 1}` }))
    const late = newReader()
    await late.readPage()
    await early.readPage()
    expect(late.view()).toBe(early.view())
    expect(early.fold.count).toBe(texts.length + 1)
  })
})

describe('a record of a newer version', () => {
  const newer = JSON.stringify({ version: 2, kind: 'add', id: 'new', number: 1 })

  test('pauses the fold, goes on relaying, and ends with a usable snapshot', async () => {
    const { log, newReader } = setUp()
    append(log, addText(1), newer, addText(2))
    const reader = newReader()
    await reader.readPage()
    expect([reader.replica.status, reader.replica.through, reader.replica.isReady]).toEqual(['newer_version', 1, true])
    expect(reader.replica.writeObstacle?.kind).toBe('newer_version')
    const relayed = reader.replica.relay(toOffset(2)).unwrapOr(undefined)
    expect(relayed?.kind === 'records' && relayed.records.map(record => record.offset)).toEqual([2, 3])

    const state = { version: 1, recentIds: [], fold: { digest: 5, count: 40 } }
    append(log, recordText('snapshot', { through: 1, state }))
    await reader.readPage()
    expect(reader.replica.status).toBe('newer_version')
    append(log, recordText('snapshot', { through: 2, state }))
    await reader.readPage()
    expect([reader.replica.status, reader.replica.through, reader.fold.count]).toEqual(['following', 5, 41])
  })

  test('in a snapshot or its state does not count as usable', async () => {
    const { log, newReader } = setUp()
    append(log, addText(1), newer)
    const reader = newReader()
    await reader.readPage()
    const state = { version: 2, recentIds: [], fold: { digest: 5, count: 40 } }
    append(log, recordText('snapshot', { through: 2, state }))
    append(log, JSON.stringify({ version: 2, kind: 'snapshot', id: 's', through: 2, state: { ...state, version: 1 } }))
    await reader.readPage()
    expect([reader.replica.status, reader.fold.count]).toEqual(['newer_version', 1])
  })
})

describe('the snapshot rule', () => {
  test.each([
    ['covers all expired records', 3, 4, 'following'],
    ['covers more', 3, 3, 'following'],
    ['leaves a record out', 3, 5, 'gap']
  ])('a snapshot that %s', async (_name, through, startOffset, status) => {
    const { log, newReader } = setUp()
    append(log, addText(1), addText(2), addText(3), addText(4), addText(5))
    const writer = newReader()
    await writer.readPage(through)
    append(log, writer.snapshotText(), addText(6))
    log.expireBefore(stream, startOffset)
    const reader = newReader()
    await reader.readPage()
    expect(reader.replica.status).toBe(status)
    await writer.readPage()
    if (status === 'following') expect(reader.view()).toBe(writer.view())
  })

  test('a snapshot that claims to cover itself is not used', async () => {
    const { log, newReader } = setUp()
    append(log, addText(1), addText(2))
    log.expireBefore(stream, 2)
    append(log, recordText('snapshot', { through: 3, state: { version: 1, recentIds: [], fold: { digest: 1, count: 1 } } }))
    const reader = newReader()
    await reader.readPage()
    expect(reader.replica.status).toBe('gap')
  })

  test('a running reader that was overtaken by expiry writes nothing until another reader gives its state', async () => {
    const { log, newReader } = setUp()
    append(log, addText(1))
    const overtaken = newReader()
    const current = newReader()
    await overtaken.readPage()
    append(log, addText(2), addText(3))
    await current.readPage()
    log.expireBefore(stream, 4)
    await overtaken.readPage()
    expect([overtaken.replica.status, overtaken.replica.isReady]).toEqual(['gap', true])
    expect(overtaken.replica.writeObstacle?.kind).toBe('not_ready')
    overtaken.readFrom(current)
    expect(overtaken.replica.writeObstacle).toBeUndefined()
    expect(overtaken.view()).toBe(current.view())
  })
})

describe('messages of a relay', () => {
  test('a state older than the own one does not revert it', async () => {
    const { log, newReader } = setUp()
    append(log, addText(1))
    const behind = newReader()
    await behind.readPage()
    const old = { kind: 'snapshot' as const, through: behind.replica.through, state: behind.replica.state() }
    append(log, addText(2))
    // Without a buffer: a replay of buffered records would repair the state.
    const reader = newReader(0)
    await reader.readPage()
    expect(reader.replica.receive(old)).toBe('continue')
    expect([reader.replica.through, reader.fold.count]).toEqual([2, 2])
  })

  test('a relay that left records out which the log still has is given up', async () => {
    const { log, newReader } = setUp()
    append(log, addText(1), addText(2))
    const reader = newReader()
    const second = log.records(stream).slice(1)
    const message = { kind: 'records' as const, startOffset: toOffset(1), nextOffset: toOffset(3), records: second }
    expect(reader.replica.receive(message)).toBe('source_lacks_records')
    expect([reader.replica.through, reader.replica.status]).toEqual([0, 'starting'])
  })

  test('a reader is ready only when it has applied what its first source had', async () => {
    const { log, newReader } = setUp()
    append(log, addText(1), addText(2), addText(3))
    const reader = newReader()
    const ready: boolean[] = []
    for (let page = 0; page < 3; page += 1) {
      await reader.readPage(1)
      ready.push(reader.replica.isReady)
    }
    expect(ready).toEqual([false, false, true])
  })
})

type Action =
  | { kind: 'append', text: 'add' | 'guard' | 'corrupt' | 'unknown' | 'duplicate', number: number }
  | { kind: 'expire', count: number }
  | { kind: 'read', reader: number, limit: number }
  | { kind: 'relay', reader: number, other: number }
  | { kind: 'snapshot', reader: number }
  | { kind: 'restart', reader: number }

const readerCount = 4
const readerIndex = fc.nat(readerCount - 1)
const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('append' as const), text: fc.constantFrom('add', 'guard', 'corrupt', 'unknown', 'duplicate'), number: fc.nat(50) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('expire' as const), count: fc.integer({ min: 1, max: 6 }) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('read' as const), reader: readerIndex, limit: fc.integer({ min: 1, max: 8 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('relay' as const), reader: readerIndex, other: readerIndex }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('snapshot' as const), reader: readerIndex }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), reader: readerIndex }) }
)

/** The states at all offsets of a reader for which no record ever expires. */
class Reference {
  private readonly log = new InMemoryLogClient(new ManualClock())
  private readonly reader = new Reader(this.log, new ManualClock())
  readonly views = [this.reader.view()]

  async append (text: string): Promise<void> {
    this.log.appendFromElsewhere(stream, text)
    await this.reader.readPage()
    this.views.push(this.reader.view())
  }
}

class Run {
  private readonly set = setUp()
  private readonly reference = new Reference()
  readonly readers = Array.from({ length: readerCount }, () => this.set.newReader(5))
  private readonly texts: string[] = []

  async perform (step: Action): Promise<void> {
    if (step.kind === 'append') await this.append(this.textOf(step))
    if (step.kind === 'expire') this.set.log.expireBefore(stream, this.set.log.startOffset(stream) + step.count)
    if (step.kind === 'read') await this.reader(step.reader).readPage(step.limit)
    if (step.kind === 'relay') this.reader(step.reader).readFrom(this.reader(step.other))
    if (step.kind === 'snapshot') await this.writeSnapshot(this.reader(step.reader))
    if (step.kind === 'restart') this.readers[step.reader] = this.set.newReader(5)
    for (const reader of this.readers) expect(reader.view()).toBe(this.reference.views[reader.replica.through])
  }

  /** An operator's snapshot through the newest record lets every reader reach the head. */
  async finish (): Promise<void> {
    const through = this.set.log.nextOffset(stream) - 1
    await this.append(recordText('snapshot', { through, state: JSON.parse(this.reference.views[through] ?? '') as unknown }))
    for (const reader of this.readers) {
      for (let page = 0; page < 100 && reader.replica.through <= through; page += 1) await reader.readPage()
      expect([reader.replica.through, reader.replica.status]).toEqual([through + 1, 'following'])
      expect(reader.view()).toBe(this.reference.views.at(-1))
    }
  }

  private reader (index: number): Reader {
    return this.readers[index] as Reader
  }

  private async append (text: string): Promise<void> {
    this.texts.push(text)
    this.set.log.appendFromElsewhere(stream, text)
    await this.reference.append(text)
  }

  /** A reader may be behind by any number of records; it has to have a state. */
  private async writeSnapshot (reader: Reader): Promise<void> {
    if (reader.replica.writeObstacle === undefined) await this.append(reader.snapshotText())
  }

  private textOf (step: Extract<Action, { kind: 'append' }>): string {
    if (step.text === 'corrupt') return `{"number":${step.number}`
    if (step.text === 'unknown') return recordText('mystery')
    if (step.text === 'guard') return recordText('guard', { digest: this.reader(step.number % readerCount).fold.digest })
    if (step.text === 'duplicate') return this.texts[step.number % Math.max(1, this.texts.length)] ?? addText(0)
    return addText(step.number)
  }
}

test('all readers have the same state at the same offset, whatever they started from', async () => {
  await fc.assert(fc.asyncProperty(fc.array(action, { maxLength: 80 }), async steps => {
    const run = new Run()
    for (const step of steps) await run.perform(step)
    await run.finish()
  }), { seed: 41, numRuns: 400 })
})

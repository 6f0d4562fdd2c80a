/**
 * Guards against replicas that reach different states at the same offset because of different starting points, gaps,
 * snapshots by lagging hosts, or records that are corrupt, unknown, duplicated or of a newer version.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { ManualClock, toOffset } from '../common/index.js'
import { InMemoryLogClient, type LogPage } from '../clients/index.js'
import { maxRecentIds } from './RecentIds.js'
import { StreamReplica } from './StreamReplica.js'
import { addText, DigestProjection, recordText, discardingEventLog } from './testSupport.js'

const stream = 'configuration'

/** A replica that receives messages only when the test reads from the log or from another reader. */
class Reader {
  readonly projection = new DigestProjection()
  readonly skipped: string[] = []
  readonly replica: StreamReplica

  constructor (private readonly log: InMemoryLogClient, clock: ManualClock, maxRecords = 10_000) {
    this.replica = new StreamReplica({
      projection: this.projection,
      clock,
      events: discardingEventLog(clock),
      buffer: { maxRecords, maxBytes: 1_000_000 },
      onSkipped: reason => this.skipped.push(reason)
    })
  }

  /** Reads one page from the log, as a follower does after it switched to the log. */
  async readPage (limit = 500): Promise<void> {
    const read = await this.log.read(stream, { from: this.replica.wantedOffset(), limit, waitMilliseconds: 0 })
    const page: LogPage = read.unwrapOrElse(() => { throw new Error('the log is unavailable') })
    this.replica.switchSource()
    this.replica.receive({ kind: 'records', ...page })
  }

  /** Receives one message from the other reader, as a follower does after it switched to that host. */
  readFrom (other: Reader): void {
    const message = other.replica.nextRelayMessage(this.replica.wantedOffset()).unwrapOr(undefined)
    if (message === undefined) return
    this.replica.switchSource()
    this.replica.receive(message)
  }

  snapshotText (): string {
    return recordText('snapshot', { through: this.replica.through, state: this.replica.state() })
  }

  /** Projection state and recent ids; the ids decide which later records count as duplicates. */
  stateText (): string {
    return JSON.stringify(this.replica.state())
  }
}

function createLogAndReaders () {
  const clock = new ManualClock()
  const log = new InMemoryLogClient(clock)
  return { log, newReader: (maxRecords?: number) => new Reader(log, clock, maxRecords) }
}

function append (log: InMemoryLogClient, ...texts: string[]): void {
  log.appendFromOtherWriter(stream, ...texts)
}

describe('StreamReplica skips records without effect', () => {
  test.each([
    ['text that is not JSON', '{', 'corrupt'],
    ['JSON that is not an object', '[1]', 'corrupt'],
    ['missing id', '{"version":1,"kind":"add","number":1}', 'corrupt'],
    ['version 0', '{"version":0,"kind":"add","id":"a","number":1}', 'corrupt'],
    ['unknown kind', recordText('mystery'), 'rejected'],
    ['malformed members', recordText('add', { number: 'x' }), 'rejected'],
    ['id of an earlier record', addText(5, { id: 'first' }), 'duplicate']
  ])('%s: the record is skipped and the records after it are applied', async (_name, text, reason) => {
    const { log, newReader } = createLogAndReaders()
    append(log, addText(1, { id: 'first' }), text, addText(2))
    const reader = newReader()
    await reader.readPage()
    expect(reader.skipped).toEqual([reason])
    expect([reader.replica.through, reader.projection.count, reader.replica.status]).toEqual([3, 2, 'following'])
  })

  test('a duplicate of a record before the snapshot has no effect on a reader that starts from the snapshot', async () => {
    const { log, newReader } = createLogAndReaders()
    append(log, addText(1, { id: 'first' }))
    const firstReader = newReader()
    await firstReader.readPage()
    append(log, firstReader.snapshotText(), addText(9, { id: 'first' }))
    log.expireBefore(stream, 2)
    const restoredReader = newReader()
    await restoredReader.readPage()
    await firstReader.readPage()
    expect(restoredReader.stateText()).toBe(firstReader.stateText())
    expect(restoredReader.projection.count).toBe(1)
  })

  test('a reader that starts from a snapshot treats the same ids as recent as a reader of all records', async () => {
    const { log, newReader } = createLogAndReaders()
    const texts = Array.from({ length: maxRecentIds + 5 }, (_unused, index) => addText(index, { id: `id-${index}` }))
    append(log, ...texts)
    const firstReader = newReader()
    while (firstReader.replica.through < texts.length) await firstReader.readPage()
    append(log, firstReader.snapshotText())
    log.expireBefore(stream, texts.length + 1)
    // The first id is no longer among the recent ids; the last one is.
    append(log, addText(1, { id: 'id-0' }), addText(1, { id: `id-${texts.length - 1}` }))
    const restoredReader = newReader()
    await restoredReader.readPage()
    await firstReader.readPage()
    expect(restoredReader.stateText()).toBe(firstReader.stateText())
    expect(firstReader.projection.count).toBe(texts.length + 1)
  })
})

describe('StreamReplica and a record of a newer version', () => {
  const newer = JSON.stringify({ version: 2, kind: 'add', id: 'new', number: 1 })

  test('the record pauses the projection but not relaying, and a snapshot that covers the record resumes the projection', async () => {
    const { log, newReader } = createLogAndReaders()
    append(log, addText(1), newer, addText(2))
    const reader = newReader()
    await reader.readPage()
    expect([reader.replica.status, reader.replica.through, reader.replica.isReady]).toEqual(['newer_version', 1, true])
    expect(reader.replica.writeRefusal?.kind).toBe('newer_version')
    const relayed = reader.replica.nextRelayMessage(toOffset(2)).unwrapOr(undefined)
    expect(relayed?.kind === 'records' && relayed.records.map(record => record.offset)).toEqual([2, 3])

    const state = { version: 1, recentIds: [], fold: { digest: 5, count: 40 } }
    append(log, recordText('snapshot', { through: 1, state }))
    await reader.readPage()
    expect(reader.replica.status).toBe('newer_version')
    append(log, recordText('snapshot', { through: 2, state }))
    await reader.readPage()
    expect([reader.replica.status, reader.replica.through, reader.projection.count]).toEqual(['following', 5, 41])
  })

  test('a snapshot whose record or state has a newer version does not resume the projection', async () => {
    const { log, newReader } = createLogAndReaders()
    append(log, addText(1), newer)
    const reader = newReader()
    await reader.readPage()
    const state = { version: 2, recentIds: [], fold: { digest: 5, count: 40 } }
    append(log, recordText('snapshot', { through: 2, state }))
    append(log, JSON.stringify({ version: 2, kind: 'snapshot', id: 's', through: 2, state: { ...state, version: 1 } }))
    await reader.readPage()
    expect([reader.replica.status, reader.projection.count]).toEqual(['newer_version', 1])
  })
})

describe('StreamReplica and snapshots after expired records', () => {
  test.each([
    ['exactly the expired records', 3, 4, 'following'],
    ['the expired records and one more', 3, 3, 'following'],
    ['all expired records but one', 3, 5, 'gap']
  ])('a snapshot that covers %s (through %i, first retained offset %i) puts a new reader into status %s', async (_name, through, startOffset, status) => {
    const { log, newReader } = createLogAndReaders()
    append(log, addText(1), addText(2), addText(3), addText(4), addText(5))
    const writer = newReader()
    await writer.readPage(through)
    append(log, writer.snapshotText(), addText(6))
    log.expireBefore(stream, startOffset)
    const reader = newReader()
    await reader.readPage()
    expect(reader.replica.status).toBe(status)
    await writer.readPage()
    if (status === 'following') expect(reader.stateText()).toBe(writer.stateText())
  })

  test('a snapshot that claims to cover its own offset is not restored', async () => {
    const { log, newReader } = createLogAndReaders()
    append(log, addText(1), addText(2))
    log.expireBefore(stream, 2)
    append(log, recordText('snapshot', { through: 3, state: { version: 1, recentIds: [], fold: { digest: 1, count: 1 } } }))
    const reader = newReader()
    await reader.readPage()
    expect(reader.replica.status).toBe('gap')
  })

  test('writes of a running reader whose next records have expired fail with not_ready until the reader restores another reader\'s state', async () => {
    const { log, newReader } = createLogAndReaders()
    append(log, addText(1))
    const gappedReader = newReader()
    const currentReader = newReader()
    await gappedReader.readPage()
    append(log, addText(2), addText(3))
    await currentReader.readPage()
    log.expireBefore(stream, 4)
    await gappedReader.readPage()
    expect([gappedReader.replica.status, gappedReader.replica.isReady]).toEqual(['gap', true])
    expect(gappedReader.replica.writeRefusal?.kind).toBe('not_ready')
    gappedReader.readFrom(currentReader)
    expect(gappedReader.replica.writeRefusal).toBeUndefined()
    expect(gappedReader.stateText()).toBe(currentReader.stateText())
  })
})

describe('StreamReplica and messages from a source', () => {
  test('a snapshot older than the reader\'s state does not change that state', async () => {
    const { log, newReader } = createLogAndReaders()
    append(log, addText(1))
    const laggingReader = newReader()
    await laggingReader.readPage()
    const olderSnapshot = { kind: 'snapshot' as const, through: laggingReader.replica.through, state: laggingReader.replica.state() }
    append(log, addText(2))
    // The reader has no buffer, because a replay of buffered records would hide a reverted state.
    const reader = newReader(0)
    await reader.readPage()
    expect(reader.replica.receive(olderSnapshot)).toBe('continue')
    expect([reader.replica.through, reader.projection.count]).toEqual([2, 2])
  })

  test('a source that omits records which the log still retains is reported as source_lacks_records', async () => {
    const { log, newReader } = createLogAndReaders()
    append(log, addText(1), addText(2))
    const reader = newReader()
    const second = log.records(stream).slice(1)
    const message = { kind: 'records' as const, startOffset: toOffset(1), nextOffset: toOffset(3), records: second }
    expect(reader.replica.receive(message)).toBe('source_lacks_records')
    expect([reader.replica.through, reader.replica.status]).toEqual([0, 'starting'])
  })

  test('a reader becomes ready when it has applied all records that its first source reported', async () => {
    const { log, newReader } = createLogAndReaders()
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
const actionArbitrary: fc.Arbitrary<Action> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('append' as const), text: fc.constantFrom('add', 'guard', 'corrupt', 'unknown', 'duplicate'), number: fc.nat(50) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('expire' as const), count: fc.integer({ min: 1, max: 6 }) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('read' as const), reader: readerIndex, limit: fc.integer({ min: 1, max: 8 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('relay' as const), reader: readerIndex, other: readerIndex }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('snapshot' as const), reader: readerIndex }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), reader: readerIndex }) }
)

/** Reads a log of its own whose records never expire, and keeps the expected state at every offset. */
class ReferenceReader {
  private readonly log = new InMemoryLogClient(new ManualClock())
  private readonly reader = new Reader(this.log, new ManualClock())
  readonly statesByOffset = [this.reader.stateText()]

  async append (text: string): Promise<void> {
    this.log.appendFromOtherWriter(stream, text)
    await this.reader.readPage()
    this.statesByOffset.push(this.reader.stateText())
  }
}

/** Performs random actions on several readers of one log and compares them with the reference after each. */
class ConvergenceRun {
  private readonly environment = createLogAndReaders()
  private readonly reference = new ReferenceReader()
  readonly readers = Array.from({ length: readerCount }, () => this.environment.newReader(5))
  private readonly texts: string[] = []

  async perform (step: Action): Promise<void> {
    if (step.kind === 'append') await this.append(this.textOf(step))
    if (step.kind === 'expire') this.environment.log.expireBefore(stream, this.environment.log.startOffset(stream) + step.count)
    if (step.kind === 'read') await this.readerAt(step.reader).readPage(step.limit)
    if (step.kind === 'relay') this.readerAt(step.reader).readFrom(this.readerAt(step.other))
    if (step.kind === 'snapshot') await this.writeSnapshot(this.readerAt(step.reader))
    if (step.kind === 'restart') this.readers[step.reader] = this.environment.newReader(5)
    for (const reader of this.readers) expect(reader.stateText()).toBe(this.reference.statesByOffset[reader.replica.through])
  }

  /** Appends a snapshot through the newest record, as an operator can; then every reader must reach the end of the log. */
  async finish (): Promise<void> {
    const through = this.environment.log.nextOffset(stream) - 1
    await this.append(recordText('snapshot', { through, state: JSON.parse(this.reference.statesByOffset[through] ?? '') as unknown }))
    for (const reader of this.readers) {
      for (let page = 0; page < 100 && reader.replica.through <= through; page += 1) await reader.readPage()
      expect([reader.replica.through, reader.replica.status]).toEqual([through + 1, 'following'])
      expect(reader.stateText()).toBe(this.reference.statesByOffset.at(-1))
    }
  }

  private readerAt (index: number): Reader {
    return this.readers[index] as Reader
  }

  private async append (text: string): Promise<void> {
    this.texts.push(text)
    this.environment.log.appendFromOtherWriter(stream, text)
    await this.reference.append(text)
  }

  /** Appends the reader's snapshot if it may write; the reader may lag by any number of records. */
  private async writeSnapshot (reader: Reader): Promise<void> {
    if (reader.replica.writeRefusal === undefined) await this.append(reader.snapshotText())
  }

  private textOf (step: Extract<Action, { kind: 'append' }>): string {
    if (step.text === 'corrupt') return `{"number":${step.number}`
    if (step.text === 'unknown') return recordText('mystery')
    if (step.text === 'guard') return recordText('guard', { digest: this.readerAt(step.number % readerCount).projection.digest })
    if (step.text === 'duplicate') return this.texts[step.number % Math.max(1, this.texts.length)] ?? addText(0)
    return addText(step.number)
  }
}

test('readers with any history of reads, relays, restarts and expiry have the same state at the same offset', async () => {
  await fc.assert(fc.asyncProperty(fc.array(actionArbitrary, { maxLength: 80 }), async steps => {
    const run = new ConvergenceRun()
    for (const step of steps) await run.perform(step)
    await run.finish()
  }), { seed: 41, numRuns: 400 })
})

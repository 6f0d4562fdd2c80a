/**
 * Measures a stream replica with the projections of leases and orders at the target size (9 leases, 5,600 engines):
 * records applied per second, memory of the projection, and memory of 1,000 records in the relay buffer. Prints a
 * Markdown table. Runs in one process and one thread, without a log: `npm run benchmark streamFold`.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { type Offset, SystemClock, toOffset, type Zone } from '../src/common/index.js'
import { LeaseProjection, plannerLeaseOf, snapshotsLease } from '../src/leases/index.js'
import { EventLog, HybridClock, Timeline } from '../src/observability/index.js'
import { OrderProjection } from '../src/orders/index.js'
import type { LogRecord } from '../src/clients/index.js'
import { currentRecordVersion, type StreamProjection, StreamReplica } from '../src/streams/index.js'

const measuredRecords = 100_000
const runs = 5
const recordsPerMessage = 500
const bufferedRecords = 10_000

const zones = Array.from({ length: 8 }, (_, index) => `zone-${index}` as Zone)
const engineCount = 5600
const holder = { hostId: 'guayaquil-a-1', incarnation: '0123456789abcdef' }

type FormatRecord = (members: Record<string, unknown>) => string

interface StreamCase {
  name: string
  newProjection: () => StreamProjection
  /** JSON of the record at an offset; `format` adds the members that every record has. */
  textAt: (offset: number, format: FormatRecord) => string
}

/** Claims each lease once, then renews the leases in turn. */
function leaseText (offset: number, format: FormatRecord): string {
  const leases = [...zones.map(plannerLeaseOf), snapshotsLease]
  const lease = leases[(offset - 1) % leases.length]
  const succeeds = Math.max(0, offset - leases.length)
  return succeeds === 0
    ? format({ kind: 'claim', lease, holder, succeeds, duration: 6000 })
    : format({ kind: 'renew', lease, holder, succeeds })
}

/** One takeover, then an intent and its outcome for each engine in turn. */
function orderText (offset: number, format: FormatRecord): string {
  const authority = { lease: plannerLeaseOf(zones[0] as Zone), fencingNumber: 7 }
  if (offset === 1) return format({ kind: 'takeover', ...authority, holder })
  const orderNumber = Math.floor((offset - 2) / 2)
  const orderId = `order-${orderNumber}`
  const engine = `worker-${orderNumber % engineCount}`
  if (offset % 2 === 1) return format({ kind: 'outcome', ...authority, orderId, result: 'done', detail: { reason: 'the target is reached' } })
  const succeeds = orderNumber < engineCount ? 0 : offset + 1 - 2 * engineCount
  const order = { kind: 'change_role', role: orderNumber % 2 === 0 ? 'prefill' : 'decode' }
  return format({ kind: 'intent', ...authority, holder, orderId, engine, engineIncarnation: holder.incarnation, order, succeeds })
}

const cases: StreamCase[] = [
  { name: 'leases', newProjection: () => new LeaseProjection(), textAt: leaseText },
  { name: 'orders', newProjection: () => new OrderProjection(), textAt: orderText }
]

function recordsOf ({ textAt }: StreamCase): LogRecord[] {
  const idOf = (offset: number): string => offset.toString(16).padStart(24, '0')
  return Array.from({ length: measuredRecords }, (_, index) => {
    const offset = index + 1
    const value = textAt(offset, members => JSON.stringify({ version: currentRecordVersion, id: idOf(offset), ...members }))
    return { offset: toOffset(offset), at: 0, value }
  })
}

function newReplica (projection: StreamProjection, maxRecords: number): { replica: StreamReplica, skipped: () => number } {
  const clock = new SystemClock()
  let skipped = 0
  const replica = new StreamReplica({
    projection,
    clock,
    events: new EventLog({ timeline: new Timeline('benchmark', new HybridClock(clock)), level: 'error' }),
    buffer: { maxRecords, maxBytes: 64 * 1024 * 1024 },
    onSkipped: () => { skipped += 1 }
  })
  return { replica, skipped: () => skipped }
}

/** Applies the first `count` records to a replica. Each text is copied, because a text from a connection is a new string. */
function applyRecords (records: LogRecord[], replica: StreamReplica, count = records.length): void {
  const nextOffset = toOffset(count + 1)
  for (let start = 0; start < count; start += recordsPerMessage) {
    const message = records.slice(start, Math.min(count, start + recordsPerMessage))
      .map(record => ({ ...record, value: Buffer.from(record.value).toString() }))
    replica.receive({ kind: 'records', startOffset: toOffset(1) as Offset, nextOffset, records: message })
  }
}

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function usedHeapBytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

function heapBytesOf (build: () => unknown): number {
  const before = usedHeapBytes()
  const built = build()
  const after = usedHeapBytes()
  if (built === undefined) throw new Error('nothing was built')
  return after - before
}

function secondsOf (run: () => void): number {
  const start = performance.now()
  run()
  return (performance.now() - start) / 1000
}

function measure (streamCase: StreamCase): string[] {
  const records = recordsOf(streamCase)
  const seconds = Array.from({ length: runs }, () => {
    const { replica, skipped } = newReplica(streamCase.newProjection(), bufferedRecords)
    const elapsedSeconds = secondsOf(() => applyRecords(records, replica))
    if (replica.through !== measuredRecords || skipped() !== 0) throw new Error(`${streamCase.name}: ${skipped()} records had no effect`)
    return elapsedSeconds
  }).sort((left, right) => left - right)
  const buildReplica = (maxRecords: number) => () => {
    const { replica } = newReplica(streamCase.newProjection(), maxRecords)
    applyRecords(records, replica)
    return replica
  }
  // Warm-up: the first build also allocates compiled code.
  heapBytesOf(buildReplica(0))
  const stateBytes = heapBytesOf(buildReplica(0))
  const bufferBytes = heapBytesOf(buildReplica(bufferedRecords)) - stateBytes
  const { replica } = newReplica(streamCase.newProjection(), 0)
  applyRecords(records, replica)
  return [
    streamCase.name,
    Math.round(measuredRecords / (seconds[Math.floor(runs / 2)] ?? 1)).toLocaleString('en'),
    (Buffer.byteLength(records.at(-1)?.value ?? '')).toString(),
    (stateBytes / 1000).toFixed(0),
    (bufferBytes / bufferedRecords * 1000 / 1000).toFixed(0),
    (Buffer.byteLength(JSON.stringify(replica.state())) / 1000).toFixed(0)
  ]
}

const heading = [
  'stream', 'records per second', 'bytes of the last record', 'heap of the state (kB)', 'heap of 1,000 buffered records (kB)',
  'snapshot (kB)'
]

function row (cells: string[]): string {
  return `| ${cells.join(' | ')} |\n`
}

process.stdout.write(row(heading) + row(heading.map(() => '---')))
for (const measured of cases) process.stdout.write(row(measure(measured)))

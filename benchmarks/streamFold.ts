/**
 * Measures the reader of a log stream with the projections of leases and orders at the target size (9 leases, 5,600
 * engines): records folded per second, memory of the state, and memory of 1,000 records in the relay buffer.
 * Prints a Markdown table. One process, one thread, no log. Run it by `npm run benchmark streamFold`.
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
const messageSize = 500
const bufferedRecords = 10_000

const zones = Array.from({ length: 8 }, (_, index) => `zone-${index}` as Zone)
const engineCount = 5600
const holder = { hostId: 'guayaquil-a-1', incarnation: '0123456789abcdef' }

type Text = (members: Record<string, unknown>) => string

interface Case {
  name: string
  newProjection: () => StreamProjection
  /** Text of the record at an offset. */
  textAt: (offset: number, text: Text) => string
}

/** Each lease is claimed once and renewed ever after. */
function leaseText (offset: number, text: Text): string {
  const leases = [...zones.map(plannerLeaseOf), snapshotsLease]
  const lease = leases[(offset - 1) % leases.length]
  const succeeds = Math.max(0, offset - leases.length)
  return succeeds === 0
    ? text({ kind: 'claim', lease, holder, succeeds, duration: 6000 })
    : text({ kind: 'renew', lease, holder, succeeds })
}

/** After one takeover, intents and outcomes in turn, from engine to engine. */
function orderText (offset: number, text: Text): string {
  const authority = { lease: plannerLeaseOf(zones[0] as Zone), fencingNumber: 7 }
  if (offset === 1) return text({ kind: 'takeover', ...authority, holder })
  const turn = Math.floor((offset - 2) / 2)
  const orderId = `order-${turn}`
  const engine = `worker-${turn % engineCount}`
  if (offset % 2 === 1) return text({ kind: 'outcome', ...authority, orderId, result: 'done', detail: { reason: 'the target is reached' } })
  const succeeds = turn < engineCount ? 0 : offset + 1 - 2 * engineCount
  const order = { kind: 'change_role', role: turn % 2 === 0 ? 'prefill' : 'decode' }
  return text({ kind: 'intent', ...authority, holder, orderId, engine, engineIncarnation: holder.incarnation, order, succeeds })
}

const cases: Case[] = [
  { name: 'leases', newProjection: () => new LeaseProjection(), textAt: leaseText },
  { name: 'orders', newProjection: () => new OrderProjection(), textAt: orderText }
]

function recordsOf ({ textAt }: Case): LogRecord[] {
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

/** Gives all records to a reader; the texts are copied, as they come from a connection. */
function fold (records: LogRecord[], replica: StreamReplica, count = records.length): void {
  const nextOffset = toOffset(count + 1)
  for (let start = 0; start < count; start += messageSize) {
    const message = records.slice(start, Math.min(count, start + messageSize))
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

function heapOf (build: () => unknown): number {
  const before = usedHeapBytes()
  const kept = build()
  const after = usedHeapBytes()
  if (kept === undefined) throw new Error('nothing was built')
  return after - before
}

function secondsOf (run: () => void): number {
  const start = performance.now()
  run()
  return (performance.now() - start) / 1000
}

function measure (measured: Case): string[] {
  const records = recordsOf(measured)
  const seconds = Array.from({ length: runs }, () => {
    const { replica, skipped } = newReplica(measured.newProjection(), bufferedRecords)
    const taken = secondsOf(() => fold(records, replica))
    if (replica.through !== measuredRecords || skipped() !== 0) throw new Error(`${measured.name}: ${skipped()} records had no effect`)
    return taken
  }).sort((left, right) => left - right)
  const build = (maxRecords: number) => () => {
    const { replica } = newReplica(measured.newProjection(), maxRecords)
    fold(records, replica)
    return replica
  }
  // The first build also pays for compiled code.
  heapOf(build(0))
  const state = heapOf(build(0))
  const buffer = heapOf(build(bufferedRecords)) - state
  const { replica } = newReplica(measured.newProjection(), 0)
  fold(records, replica)
  return [
    measured.name,
    Math.round(measuredRecords / (seconds[Math.floor(runs / 2)] ?? 1)).toLocaleString('en'),
    (Buffer.byteLength(records.at(-1)?.value ?? '')).toString(),
    (state / 1000).toFixed(0),
    (buffer / bufferedRecords * 1000 / 1000).toFixed(0),
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

/**
 * The latest raw records of a stream, kept for relaying them to other hosts and for replaying them after a
 * snapshot. Offsets are contiguous; the oldest records are dropped when a limit is reached.
 */
import { type Offset, toOffset } from '../common/index.js'
import type { LogRecord } from '../clients/index.js'

/** Limits of a `RelayBuffer`. */
export interface RelayBufferOptions {
  maxRecords: number
  maxBytes: number
}

/** The limits of design section 4.5. */
export const defaultRelayBufferOptions: RelayBufferOptions = { maxRecords: 10_000, maxBytes: 4 * 1024 * 1024 }

/** A contiguous range of raw records. */
export class RelayBuffer {
  private records: LogRecord[] = []
  /** Position of the oldest kept record in `records`; the array is cut only now and then. */
  private first = 0
  private next = 1
  private bytes = 0

  constructor (private readonly options: RelayBufferOptions = defaultRelayBufferOptions) {}

  /** Offset of the oldest kept record; equals `nextOffset` if none is kept. */
  get startOffset (): Offset {
    return toOffset(this.next - this.size)
  }

  /** Offset after the newest record. */
  get nextOffset (): Offset {
    return toOffset(this.next)
  }

  /** Number of kept records. */
  get size (): number {
    return this.records.length - this.first
  }

  /** Adds a record. One that the buffer already passed is ignored; one after a hole empties the buffer first. */
  push (record: LogRecord): void {
    if (record.offset < this.next) return
    if (record.offset > this.next) this.reset(record.offset)
    this.records.push(record)
    this.next += 1
    this.bytes += Buffer.byteLength(record.value)
    while (this.size > 0 && (this.size > this.options.maxRecords || this.bytes > this.options.maxBytes)) this.dropOldest()
  }

  /** Empties the buffer; the next record is expected at the given offset. */
  reset (nextOffset: number): void {
    this.records = []
    this.first = 0
    this.bytes = 0
    this.next = nextOffset
  }

  /** True if all records from the offset to the newest are kept; also true for `nextOffset` itself. */
  covers (offset: number): boolean {
    return offset >= this.startOffset && offset <= this.next
  }

  /** Records from the offset on, at most `maxRecords` and about `maxBytes`, but at least one if there is one. */
  slice (from: number, maxRecords: number, maxBytes: number): LogRecord[] {
    const start = this.first + from - this.startOffset
    const selected: LogRecord[] = []
    let bytes = 0
    for (const record of this.records.slice(start, start + maxRecords)) {
      bytes += record.value.length
      if (selected.length > 0 && bytes > maxBytes) break
      selected.push(record)
    }
    return selected
  }

  private dropOldest (): void {
    const oldest = this.records[this.first]
    if (oldest === undefined) return
    this.bytes -= Buffer.byteLength(oldest.value)
    this.first += 1
    if (this.first < 1024) return
    this.records = this.records.slice(this.first)
    this.first = 0
  }
}

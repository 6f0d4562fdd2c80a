/**
 * The most recent raw records of a stream, kept for relaying to other hosts and for replay after a snapshot was
 * restored. Offsets are contiguous; the oldest records are dropped when a limit is exceeded.
 */
import { type Offset, toOffset } from '../common/index.js'
import type { LogRecord } from '../clients/index.js'

/** Limits of a `RelayBuffer`; `maxBytes` counts the record values as UTF-8. */
export interface RelayBufferOptions {
  maxRecords: number
  maxBytes: number
}

/** Limits from design section 4.5. */
export const defaultRelayBufferOptions: RelayBufferOptions = { maxRecords: 10_000, maxBytes: 4 * 1024 * 1024 }

/** A bounded buffer of raw records with contiguous offsets. */
export class RelayBuffer {
  private records: LogRecord[] = []
  /** Index of the oldest kept record in `records`; dropped records stay in the array until 1,024 have accumulated. */
  private oldestIndex = 0
  /** Offset after the newest record. */
  private expectedOffset = 1
  private totalBytes = 0

  constructor (private readonly options: RelayBufferOptions = defaultRelayBufferOptions) {}

  /** Offset of the oldest kept record; equals `nextOffset` if none is kept. */
  get startOffset (): Offset {
    return toOffset(this.expectedOffset - this.size)
  }

  /** Offset after the newest record, which is the offset that the next record must have. */
  get nextOffset (): Offset {
    return toOffset(this.expectedOffset)
  }

  /** Number of kept records. */
  get size (): number {
    return this.records.length - this.oldestIndex
  }

  /** Adds a record. One below `nextOffset` is ignored; one above would leave a gap, so the buffer is emptied first. */
  push (record: LogRecord): void {
    if (record.offset < this.expectedOffset) return
    if (record.offset > this.expectedOffset) this.reset(record.offset)
    this.records.push(record)
    this.expectedOffset += 1
    this.totalBytes += Buffer.byteLength(record.value)
    while (this.size > 0 && (this.size > this.options.maxRecords || this.totalBytes > this.options.maxBytes)) this.dropOldest()
  }

  /** Empties the buffer and sets the offset that the next record must have. */
  reset (nextOffset: number): void {
    this.records = []
    this.oldestIndex = 0
    this.totalBytes = 0
    this.expectedOffset = nextOffset
  }

  /** True if the buffer holds all records from the offset to the newest one; also true for `nextOffset` itself. */
  covers (offset: number): boolean {
    return offset >= this.startOffset && offset <= this.expectedOffset
  }

  /**
   * Returns records starting at offset `from`: at most `maxRecords`, and at most `maxBytes` of values as UTF-8. The first
   * record is returned even if it exceeds `maxBytes`. The buffer must cover `from`.
   */
  slice (from: number, maxRecords: number, maxBytes: number): LogRecord[] {
    const start = this.oldestIndex + from - this.startOffset
    const selected: LogRecord[] = []
    let bytes = 0
    for (const record of this.records.slice(start, start + maxRecords)) {
      bytes += Buffer.byteLength(record.value)
      if (selected.length > 0 && bytes > maxBytes) break
      selected.push(record)
    }
    return selected
  }

  private dropOldest (): void {
    const oldest = this.records[this.oldestIndex]
    if (oldest === undefined) return
    this.totalBytes -= Buffer.byteLength(oldest.value)
    this.oldestIndex += 1
    if (this.oldestIndex < 1024) return
    this.records = this.records.slice(this.oldestIndex)
    this.oldestIndex = 0
  }
}

/**
 * The newest records of one topic in one era of the store, without a gap, up to a bound of memory.
 */
import type { KeyedRecord, RecordPage } from '../StoreClient.js'
import { encodeRecord } from './relayMessages.js'

/** Memory of a record beyond its text, in bytes. */
const recordOverheadBytes = 200

/** Maximum length of the encoded records of one answer; a single record may be longer. */
const maxPageBytes = 1_000_000

interface HeldRecord { record: KeyedRecord, text: string }

/** Records from offset `start` up to `end`. */
export class RecordWindow {
  private records: HeldRecord[] = []
  private bytes = 0
  private nextOffset: number
  /** The page that was added last, with the offset from which it was read. */
  private lastPage: { from: number, records: KeyedRecord[] } | undefined

  constructor (from: number, readonly era: number, private readonly maxBytes: number) {
    this.nextOffset = from
  }

  /** Offset of the first record. */
  get start (): number {
    return this.nextOffset - this.records.length
  }

  /** Offset after the last record. */
  get end (): number {
    return this.nextOffset
  }

  /** True if the records from the offset on are known, as far as they exist. */
  covers (from: number): boolean {
    return from >= this.start && from <= this.end
  }

  /** Adds the records that follow the last one, and drops the oldest ones beyond the bound. */
  append ({ records, next }: RecordPage): void {
    this.lastPage = { from: this.nextOffset, records }
    if (next - this.nextOffset !== records.length) {
      // The page lacks malformed records, so that the offsets of the others are not known.
      this.records = []
      this.bytes = 0
    } else {
      for (const record of records) {
        const held = { record, text: encodeRecord(record) }
        this.records.push(held)
        this.bytes += sizeOf(held)
      }
    }
    this.nextOffset = next
    let dropped = 0
    while (this.bytes > this.maxBytes) {
      this.bytes -= sizeOf(this.records[dropped]!)
      dropped += 1
    }
    if (dropped > 0) this.records.splice(0, dropped)
  }

  /** The records from an offset on, which the window covers or from which the last page was read. */
  recordsFrom (from: number): KeyedRecord[] {
    if (this.lastPage?.from === from) return this.lastPage.records
    return this.records.slice(from - this.start).map(({ record }) => record)
  }

  /** The encoded records from an offset on, as many as fit into an answer. */
  textsFrom (from: number): string[] {
    const texts: string[] = []
    let bytes = 0
    for (const { text } of this.records.slice(from - this.start)) {
      bytes += text.length
      if (texts.length > 0 && bytes > maxPageBytes) break
      texts.push(text)
    }
    return texts
  }
}

function sizeOf ({ record: { key, value }, text }: HeldRecord): number {
  return key.length + (value?.length ?? 0) + text.length + recordOverheadBytes
}

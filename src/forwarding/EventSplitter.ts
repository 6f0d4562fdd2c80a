/**
 * Splits the bytes of an event stream into complete events. Only these are passed on, so a stream that breaks inside
 * an event can continue from another worker without a partial event in between.
 */
import { EventScanner } from './EventScanner.js'

/** One complete event, including the empty line that ends it, or one line outside an event. */
export interface StreamEvent { bytes: Buffer, id: string | undefined }

/** Number of buffered pieces above which they are joined, since each piece needs more memory than its bytes. */
const maxPieces = 1024

const idLine = /^id: ?(.*)$/m

/** Buffers bytes until they form complete events. */
export class EventSplitter {
  private readonly scanner = new EventScanner()
  private partialEvent: Uint8Array[] = []

  /** True if the bytes so far end inside an event. */
  get isInsideEvent (): boolean {
    return this.scanner.isInsideEvent
  }

  /** Adds bytes; returns the events that they complete. Throws if an event is larger than `maxEventBytes`. */
  add (bytes: Uint8Array): StreamEvent[] {
    let start = 0
    const events = this.scanner.add(bytes).map(end => {
      const event = Buffer.concat([...this.partialEvent, bytes.subarray(start, end)])
      this.partialEvent = []
      start = end
      return { bytes: event, id: idLine.exec(event.toString('latin1'))?.[1] }
    })
    if (start < bytes.length) this.partialEvent.push(bytes.subarray(start))
    if (this.partialEvent.length > maxPieces) this.partialEvent = [Buffer.concat(this.partialEvent)]
    return events
  }
}

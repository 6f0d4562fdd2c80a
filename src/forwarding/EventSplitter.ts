/**
 * Splits the bytes of an event stream into complete events. Only these are passed on, so a stream that breaks inside
 * an event can continue from another worker without a partial event in between.
 */

/** One complete event, including the empty line that ends it. */
export interface StreamEvent { bytes: Buffer, id: string | undefined }

const eventTerminator = Buffer.from('\n\n')
const idLine = /^id: ?(.*)$/m

/** Buffers bytes until they form complete events. */
export class EventSplitter {
  private partialEvent: Buffer = Buffer.alloc(0)

  /** True if bytes of an incomplete event are buffered. */
  get hasPartialEvent (): boolean {
    return this.partialEvent.length > 0
  }

  /** Adds bytes; returns the events that they complete. */
  add (bytes: Uint8Array): StreamEvent[] {
    this.partialEvent = Buffer.concat([this.partialEvent, bytes])
    const events: StreamEvent[] = []
    for (let end = this.partialEvent.indexOf(eventTerminator); end >= 0; end = this.partialEvent.indexOf(eventTerminator)) {
      const event = this.partialEvent.subarray(0, end + eventTerminator.length)
      this.partialEvent = this.partialEvent.subarray(end + eventTerminator.length)
      events.push({ bytes: event, id: idLine.exec(event.toString('latin1'))?.[1] })
    }
    return events
  }
}

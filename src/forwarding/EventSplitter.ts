/**
 * Cuts the bytes of an event stream into whole events, so that a stream that breaks inside an event can go on from
 * another worker without a half event in between.
 */

/** One whole event with the empty line that ends it. */
export interface StreamEvent { bytes: Buffer, id: string | undefined }

const eventEnd = Buffer.from('\n\n')
const idLine = /^id: ?(.*)$/m

/** Collects bytes until they form whole events. */
export class EventSplitter {
  private held: Buffer = Buffer.alloc(0)

  /** True if bytes of an unfinished event are held. */
  get hasPartialEvent (): boolean {
    return this.held.length > 0
  }

  /** Adds bytes; returns the events that are whole now. */
  add (bytes: Uint8Array): StreamEvent[] {
    this.held = Buffer.concat([this.held, bytes])
    const events: StreamEvent[] = []
    for (let end = this.held.indexOf(eventEnd); end >= 0; end = this.held.indexOf(eventEnd)) {
      const event = this.held.subarray(0, end + eventEnd.length)
      this.held = this.held.subarray(end + eventEnd.length)
      events.push({ bytes: event, id: idLine.exec(event.toString('latin1'))?.[1] })
    }
    return events
  }
}

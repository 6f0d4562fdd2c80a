/**
 * Finds the ends of the events in the bytes of an event stream (Server-Sent Events, HTML Living Standard, section 9.2).
 * A line ends with LF, CR or CRLF, and an event with an empty line. Comment lines and empty lines between events belong
 * to no event.
 */

const lineFeed = 0x0A
const carriageReturn = 0x0D
const colon = 0x3A

/** Start of the head of a response, which a faulty worker may write into the body of another response. */
const headStart = Buffer.from('HTTP/1.')

/** Maximum size of one event, in bytes; a worker that sends more without the end of an event sends no events. */
export const maxEventBytes = 1_048_576

/** Follows the lines of an event stream. */
export class EventScanner {
  private isLineEmpty = true
  private isComment = false
  /** True if a line other than a comment has been completed since the last event ended. */
  private hasField = false
  /** True if the latest byte is a CR; an LF that follows belongs to the same line end. */
  private afterReturn = false
  /** True if the latest complete line ended with CRLF. */
  private usesBoth = false
  /** True if an empty line has ended with the CR of what has been CRLF so far. */
  private awaitsLineFeed = false
  /** True if a part of the stream ended with the latest byte. */
  private atEnd = true
  private eventBytes = 0
  /** Number of bytes of the present line that agree with `headStart`; -1 if a byte before differs. */
  private headBytes = 0

  /** True if the bytes so far end inside an event, or inside a line. */
  get isInsideEvent (): boolean {
    return this.hasField || !this.isLineEmpty || this.awaitsLineFeed
  }

  /**
   * Adds bytes. Returns the positions after which an event, or a line outside an event, ends; they do not depend on how
   * the stream is cut into pieces. Throws if an event is larger than `maxEventBytes`, or if a line is the start of the head
   * of another response.
   */
  add (bytes: Uint8Array): number[] {
    const ends: number[] = []
    for (let position = 0; position < bytes.length; position += 1) {
      const byte = bytes[position]!
      this.eventBytes += 1
      if (byte === lineFeed && this.afterReturn) {
        this.usesBoth = true
        this.afterReturn = false
        if (this.awaitsLineFeed || this.atEnd) this.end(ends, position + 1)
        continue
      }
      // The empty line ended with its CR, since no LF follows.
      if (this.awaitsLineFeed) this.end(ends, position)
      if (byte === lineFeed || byte === carriageReturn) this.endLine(byte, ends, position + 1)
      else this.extendLine(byte)
    }
    if (this.eventBytes > maxEventBytes) throw new Error(`an event is larger than ${maxEventBytes} bytes`)
    return ends
  }

  private extendLine (byte: number): void {
    if (this.isLineEmpty) {
      this.isComment = byte === colon
      this.headBytes = 0
    }
    this.headBytes = byte === headStart[this.headBytes] ? this.headBytes + 1 : -1
    if (this.headBytes === headStart.length) throw new Error('the head of another response stands in the stream')
    this.isLineEmpty = false
    this.afterReturn = false
    this.atEnd = false
  }

  private endLine (byte: number, ends: number[], position: number): void {
    const endsPart = this.isLineEmpty || (this.isComment && !this.hasField)
    if (!this.isLineEmpty && !this.isComment) this.hasField = true
    const mayBeBoth = byte === carriageReturn && this.usesBoth
    this.isLineEmpty = true
    this.afterReturn = byte === carriageReturn
    this.usesBoth = false
    this.atEnd = false
    if (!endsPart) return
    if (mayBeBoth) this.awaitsLineFeed = true
    else this.end(ends, position)
  }

  private end (ends: number[], position: number): void {
    ends.push(position)
    this.hasField = false
    this.awaitsLineFeed = false
    this.atEnd = true
    this.eventBytes = 0
  }
}

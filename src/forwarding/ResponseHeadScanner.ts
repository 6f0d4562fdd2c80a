/**
 * Finds the head of another response in the bytes of a body. A faulty worker may write an earlier response a second time
 * into a later one, whose length, chunks or end then cover bytes that are not its own.
 */

const headStart = Buffer.from('HTTP/1.')
const lineFeed = 0x0A

/** Start of a status line, at any position of a line, and each start of it at the end that is long enough to stand for it. */
const status = /HTTP\/1\.[01] \d{3}/
const partialStatus = /HTTP(\/(1(\.([01]( \d{0,2})?)?)?)?)?$/

/** Size of the longest match of `partialStatus`, in bytes. */
const maxPartialBytes = 'HTTP/1.1 20'.length

/** A line of a head, and the beginning of one. */
const field = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):/
const partialField = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+(:|$)/

/** Maximum size of a head, in bytes; the HTTP library accepts no larger one. */
const maxHeadBytes = 16_384

/** Size of a line of a head up to which all of it is kept, in bytes; the field with the id of a request is shorter. */
const maxLineBytes = 1024

/** Follows the lines of a body. */
export class ResponseHeadScanner {
  /** The end of the present line; all of it while fields may follow. */
  private line: Buffer = Buffer.alloc(0)
  private isLineCut = false
  /** True if the present line is cut and begins like a field. */
  private isCutField = false
  /** Number of bytes of the present line that are not kept. */
  private cutBytes = 0
  /** True if the part of the present line that is not kept contains the start of a status line. */
  private hasStatus = false
  /** Number of bytes that may still be fields of the head that began last; 0 if there is none. */
  private headBytesLeft = 0

  /**
   * `idField`: name of the header field with the id of the request, lower case. `isKnown`: true if the id is one of a request
   * to the worker. Others may be part of the body, as in a text about a response.
   */
  constructor (private readonly idField: string, private readonly isKnown: (id: string) => boolean) {}

  /** True if the bytes so far may end inside the head of a response. */
  get endsInsideHead (): boolean {
    const line = this.line.toString('latin1')
    return this.headBytesLeft > 0 || this.hasStatus || status.test(line) || partialStatus.test(line)
  }

  /** Adds bytes. Throws if the bytes so far contain the head of a response to a request to the worker. */
  add (bytes: Uint8Array): void {
    const buffer = Buffer.concat([this.line, bytes])
    if (this.headBytesLeft === 0 && !this.hasStatus && !buffer.includes(headStart)) {
      this.line = Buffer.from(buffer.subarray(Math.max(buffer.lastIndexOf(lineFeed) + 1, buffer.length - maxPartialBytes)))
      return
    }
    let start = 0
    for (let end = buffer.indexOf(lineFeed); end >= 0; end = buffer.indexOf(lineFeed, start)) {
      this.endLine(buffer.toString('latin1', start, end))
      start = end + 1
    }
    this.keep(buffer.subarray(start))
  }

  private endLine (line: string): void {
    if (this.headBytesLeft > 0) {
      const name = field.exec(line)?.[1]
      const isIdField = !this.isLineCut && name?.toLowerCase() === this.idField
      if (isIdField && this.isKnown(line.slice(line.indexOf(':') + 1).trim())) {
        throw new Error('the head of another response stands in the body')
      }
      const isField = this.isLineCut ? this.isCutField : name !== undefined
      this.headBytesLeft = isField ? Math.max(0, this.headBytesLeft - this.cutBytes - line.length - 1) : 0
    }
    if (this.hasStatus || status.test(line)) this.headBytesLeft = maxHeadBytes
    this.hasStatus = false
    this.isLineCut = false
    this.cutBytes = 0
  }

  private keep (line: Buffer): void {
    const isWhole = this.headBytesLeft > 0 && !this.isLineCut && line.length <= maxLineBytes
    if (isWhole) {
      this.line = Buffer.from(line)
      return
    }
    if (!this.isLineCut) this.isCutField = partialField.test(line.toString('latin1'))
    this.isLineCut = true
    this.hasStatus ||= status.test(line.toString('latin1'))
    this.line = Buffer.from(line.subarray(-maxPartialBytes))
    this.cutBytes += line.length - this.line.length
    if (this.cutBytes > this.headBytesLeft) this.headBytesLeft = 0
  }
}

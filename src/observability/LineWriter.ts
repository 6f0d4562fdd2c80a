/**
 * Writes log lines to standard output without ever blocking the process: lines are collected and written by the thread
 * pool, one write at a time. Node writes to pipes synchronously, so `process.stdout` would stand still with a slow reader.
 */
import { write } from 'node:fs'

/** Bytes that wait for the reader at most; about 1,000 lines. Later lines are dropped and counted. */
const maxHeldBytes = 262_144

/** Lines are collected for this long, in milliseconds, so that a busy process makes few writes. */
const collectMilliseconds = 50

const standardOutput = 1

/** A bounded writer of lines. */
export class LineWriter {
  private held: string[] = []
  private heldBytes = 0
  private dropped = 0
  private isWriting = false
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly fileDescriptor = standardOutput) {}

  /** Lines that were dropped because the reader was too slow. */
  get droppedLines (): number {
    return this.dropped
  }

  /** Takes a line without its end. */
  readonly writeLine = (line: string): void => {
    if (this.heldBytes + line.length > maxHeldBytes) {
      this.dropped += 1
      return
    }
    this.held.push(line)
    this.heldBytes += line.length + 1
    this.timer ??= setTimeout(() => this.flush(), collectMilliseconds)
  }

  /** Writes what is held now. */
  flush (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    if (this.isWriting || this.held.length === 0) return
    const text = Buffer.from(`${this.held.join('\n')}\n`)
    this.held = []
    this.heldBytes = 0
    this.writeAll(text)
  }

  private writeAll (text: Buffer): void {
    this.isWriting = true
    write(this.fileDescriptor, text, (error, written) => {
      this.isWriting = false
      // Nobody reads any more, so there is nobody to tell either.
      if (error !== null && error.code !== 'EAGAIN') return
      const rest = text.subarray(error === null ? written : 0)
      if (rest.length > 0) setTimeout(() => this.writeAll(rest), collectMilliseconds)
      else if (this.held.length > 0) this.timer ??= setTimeout(() => this.flush(), collectMilliseconds)
    })
  }
}

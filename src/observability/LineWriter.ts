/**
 * Writes log lines to standard output without blocking the process: lines are buffered and written by the thread
 * pool, one write at a time. `process.stdout` writes to pipes synchronously, so a slow reader would block the process.
 */
import { write } from 'node:fs'

/** Maximum number of buffered bytes, line ends included, about 1,000 lines. Lines above the limit are dropped and counted. */
export const maxPendingBytes = 262_144

/** Time for which lines are buffered before a write, so that a busy process makes few writes. */
const flushDelayMilliseconds = 50

const standardOutputDescriptor = 1

/** Writes lines through a buffer of bounded size. */
export class LineWriter {
  private pendingLines: string[] = []
  private pendingBytes = 0
  private droppedCount = 0
  private isWriting = false
  private drainWaiters: Array<() => void> = []
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly fileDescriptor = standardOutputDescriptor) {}

  /** Number of lines that were dropped because the reader was too slow. */
  get droppedLines (): number {
    return this.droppedCount
  }

  /** Buffers a line, given without a line end, or drops it if the buffer is full. */
  readonly writeLine = (line: string): void => {
    const bytes = Buffer.byteLength(line) + 1
    if (this.pendingBytes + bytes > maxPendingBytes) {
      this.droppedCount += 1
      return
    }
    this.pendingLines.push(line)
    this.pendingBytes += bytes
    this.timer ??= setTimeout(() => this.flush(), flushDelayMilliseconds)
  }

  /** Writes the buffered lines now, unless a write is in progress. */
  flush (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    if (this.isWriting || this.pendingLines.length === 0) return
    const text = Buffer.from(`${this.pendingLines.join('\n')}\n`)
    this.pendingLines = []
    this.pendingBytes = 0
    this.writeAll(text)
  }

  /** Writes the buffered lines and resolves when all are written, or when the output has no reader any more. */
  async drain (): Promise<void> {
    this.flush()
    while (this.isWriting || this.pendingLines.length > 0) {
      await new Promise<void>(resolve => { this.drainWaiters.push(resolve) })
      this.flush()
    }
  }

  private writeAll (text: Buffer): void {
    this.isWriting = true
    write(this.fileDescriptor, text, (error, written) => {
      // Any other error means that the output has no reader: the rest is discarded, and there is nowhere to report it.
      const canContinue = error === null || error.code === 'EAGAIN'
      const unwritten = text.subarray(error === null ? written : 0)
      if (canContinue && unwritten.length > 0) {
        setTimeout(() => this.writeAll(unwritten), flushDelayMilliseconds)
        return
      }
      this.isWriting = false
      if (canContinue && this.pendingLines.length > 0) this.timer ??= setTimeout(() => this.flush(), flushDelayMilliseconds)
      this.wakeDrains()
    })
  }

  private wakeDrains (): void {
    for (const wake of this.drainWaiters.splice(0)) wake()
  }
}

/**
 * A queue between the task that reads a response from an upstream and the connection to the caller. The writer waits
 * while the queue is full, so a slow caller uses a bounded amount of memory.
 */

interface QueuedItem<T> { value: T, bytes: number }

/** A queue with a limit in bytes, for one writer and one reader. */
export class BoundedQueue<T> {
  private readonly items: Array<QueuedItem<T>> = []
  private sizeBytes = 0
  private closed = false
  private wakeReader = (): void => {}
  private wakeWriter = (): void => {}

  constructor (private readonly maxBytes: number) {}

  /** Total size of the queued items, in bytes. */
  get queuedBytes (): number {
    return this.sizeBytes
  }

  /** Waits until the item fits, then adds it. An item larger than the limit is added once the queue is empty. */
  async push (value: T, bytes: number): Promise<void> {
    while (!this.closed && this.items.length > 0 && this.sizeBytes + bytes > this.maxBytes) {
      await new Promise<void>(resolve => { this.wakeWriter = resolve })
    }
    this.forcePush(value, bytes)
  }

  /** Adds an item without waiting, even if the queue is full. For items such as the end of a stream. */
  forcePush (value: T, bytes: number): void {
    if (this.closed) return
    this.items.push({ value, bytes })
    this.sizeBytes += bytes
    this.wakeReader()
  }

  /** Waits for the next item and removes it; undefined once the queue is closed. */
  async next (): Promise<T | undefined> {
    while (!this.closed && this.items.length === 0) {
      await new Promise<void>(resolve => { this.wakeReader = resolve })
    }
    const item = this.items.shift()
    if (item === undefined) return undefined
    this.sizeBytes -= item.bytes
    this.wakeWriter()
    return item.value
  }

  /** Discards all items and releases a waiting reader or writer. */
  close (): void {
    this.closed = true
    this.items.length = 0
    this.sizeBytes = 0
    this.wakeReader()
    this.wakeWriter()
  }
}

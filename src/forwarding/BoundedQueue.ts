/**
 * A queue between the task that reads from an upstream and the caller's connection. The writer waits while
 * the queue holds its limit of bytes, so a slow caller costs bounded memory.
 */

interface Item<T> { value: T, bytes: number }

/** A queue for one writer and one reader. */
export class BoundedQueue<T> {
  private readonly items: Array<Item<T>> = []
  private held = 0
  private closed = false
  private wakeReader = (): void => {}
  private wakeWriter = (): void => {}

  constructor (private readonly maxBytes: number) {}

  /** Bytes that wait for the reader. */
  get heldBytes (): number {
    return this.held
  }

  /** Adds an item; waits first while the queue is full. An item larger than the limit passes alone. */
  async push (value: T, bytes: number): Promise<void> {
    while (!this.closed && this.items.length > 0 && this.held + bytes > this.maxBytes) {
      await new Promise<void>(resolve => { this.wakeWriter = resolve })
    }
    this.put(value, bytes)
  }

  /** Adds an item that must pass even when the queue is full, such as the end of a stream. */
  put (value: T, bytes: number): void {
    if (this.closed) return
    this.items.push({ value, bytes })
    this.held += bytes
    this.wakeReader()
  }

  /** The next item; undefined when the queue was closed. */
  async next (): Promise<T | undefined> {
    while (!this.closed && this.items.length === 0) {
      await new Promise<void>(resolve => { this.wakeReader = resolve })
    }
    const item = this.items.shift()
    if (item === undefined) return undefined
    this.held -= item.bytes
    this.wakeWriter()
    return item.value
  }

  /** Drops all items and lets reader and writer go on. */
  close (): void {
    this.closed = true
    this.items.length = 0
    this.held = 0
    this.wakeReader()
    this.wakeWriter()
  }
}

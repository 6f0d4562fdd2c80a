/**
 * One watch of the configuration: the changes that its reader has not taken yet. Only the latest state of a
 * path waits, and the number of waiting paths is bounded, so a slow reader costs little memory.
 */
import type { Clock, Offset } from '../common/index.js'
import type { ConfigurationManager } from '../configuration/index.js'

/** Pending changes of one reader. */
export class Watch {
  /** Versions by path, in the order of versions. */
  private readonly waiting = new Map<string, Offset>()
  private wake: () => void = () => {}
  private readonly stopListening: () => void
  private overflowed = false
  private closed = false

  constructor (
    private readonly configuration: ConfigurationManager,
    private readonly prefix: string,
    after: Offset,
    /** Most paths that wait. A watch that overflows ends; its reader starts again from its last offset. */
    private readonly maxWaitingPaths: number
  ) {
    this.add(configuration.changedSince(after))
    this.stopListening = configuration.onChange(paths => {
      this.add(paths)
      this.wake()
    })
  }

  /** True if more paths waited than allowed. */
  get isOverflowed (): boolean {
    return this.overflowed
  }

  /** True after `close`. */
  get isClosed (): boolean {
    return this.closed
  }

  /** Waits until a change is there, the time is over or the watch is closed. */
  async wait (clock: Clock, milliseconds: number): Promise<void> {
    if (this.waiting.size > 0 || this.overflowed || this.closed) return
    const woken = new AbortController()
    this.wake = () => { woken.abort() }
    await clock.sleep(milliseconds, woken.signal)
  }

  /** Takes the oldest waiting path. `isLastOfVersion` is false if more paths of the same change follow. */
  take (): { path: string, version: Offset, isLastOfVersion: boolean } | undefined {
    const [first, second] = firstTwo(this.waiting)
    if (first === undefined) return undefined
    this.waiting.delete(first[0])
    return { path: first[0], version: first[1], isLastOfVersion: second?.[1] !== first[1] }
  }

  /** Ends the watch. */
  close (): void {
    this.closed = true
    this.stopListening()
    this.waiting.clear()
    this.wake()
  }

  private add (paths: string[]): void {
    const versions = paths
      .filter(path => path.startsWith(this.prefix))
      .map(path => [path, this.configuration.versionOf(path)] as const)
      .sort(([, left], [, right]) => left - right)
    for (const [path, version] of versions) {
      this.waiting.delete(path)
      this.waiting.set(path, version)
    }
    if (this.waiting.size > this.maxWaitingPaths) {
      this.overflowed = true
      this.waiting.clear()
    }
  }
}

function firstTwo<Entry> (entries: Iterable<Entry>): Entry[] {
  const first: Entry[] = []
  for (const entry of entries) {
    first.push(entry)
    if (first.length === 2) break
  }
  return first
}

/**
 * One watch of the configuration: holds the changes that its reader has not read yet. The watch keeps only the latest
 * version of each path, and the number of pending paths is limited, so that a slow reader cannot exhaust the host's memory.
 */
import type { Clock, Offset } from '../common/index.js'
import type { ConfigurationManager } from '../configuration/index.js'

/** Collects the pending changes for one reader until `close`. */
export class Watch {
  /** Latest version of each pending path, in ascending order of versions. */
  private readonly pendingVersions = new Map<string, Offset>()
  private notify: () => void = () => {}
  private readonly unsubscribe: () => void
  private overflowed = false
  private closed = false

  constructor (
    private readonly configuration: ConfigurationManager,
    private readonly prefix: string,
    after: Offset,
    /** Limit on the pending paths. A watch that exceeds it ends; its reader opens a new one after its last received offset. */
    private readonly maxPendingPaths: number
  ) {
    this.add(configuration.changedSince(after))
    this.unsubscribe = configuration.onChange(paths => {
      this.add(paths)
      this.notify()
    })
  }

  /** True if the number of pending paths exceeded the limit. */
  get isOverflowed (): boolean {
    return this.overflowed
  }

  /** True after `close`. */
  get isClosed (): boolean {
    return this.closed
  }

  /** Waits until a change is pending, the watch is closed or the time has passed. */
  async wait (clock: Clock, milliseconds: number): Promise<void> {
    if (this.pendingVersions.size > 0 || this.overflowed || this.closed) return
    const notified = new AbortController()
    this.notify = () => { notified.abort() }
    await clock.sleep(milliseconds, notified.signal)
  }

  /** Removes and returns the pending path with the lowest version. `isLastOfVersion`: no other path of that version follows. */
  takeNext (): { path: string, version: Offset, isLastOfVersion: boolean } | undefined {
    const [first, second] = firstTwo(this.pendingVersions)
    if (first === undefined) return undefined
    this.pendingVersions.delete(first[0])
    return { path: first[0], version: first[1], isLastOfVersion: second?.[1] !== first[1] }
  }

  /** Ends the watch. */
  close (): void {
    this.closed = true
    this.unsubscribe()
    this.pendingVersions.clear()
    this.notify()
  }

  private add (paths: string[]): void {
    const versions = paths
      .filter(path => path.startsWith(this.prefix))
      .map(path => [path, this.configuration.versionOf(path)] as const)
      .sort(([, left], [, right]) => left - right)
    for (const [path, version] of versions) {
      this.pendingVersions.delete(path)
      this.pendingVersions.set(path, version)
    }
    if (this.pendingVersions.size > this.maxPendingPaths) {
      this.overflowed = true
      this.pendingVersions.clear()
    }
  }
}

function firstTwo<Entry> (entries: Iterable<Entry>): Entry[] {
  const taken: Entry[] = []
  for (const entry of entries) {
    taken.push(entry)
    if (taken.length === 2) break
  }
  return taken
}

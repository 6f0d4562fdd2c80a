/**
 * The era of the platform's store. The store may come back from a copy that lacks its last seconds; the era that it
 * states in each response then rises by one. Whatever was concluded from responses of an earlier era may be wrong:
 * offsets are given out again, and records and group members of the lost seconds are missing.
 */
import type { EventLog } from '../observability/index.js'

/** Eras up to this number are accepted; a greater one leaves no room for the rest of a fencing number. */
const maxEra = 2 ** 20

/** The newest era that responses have stated. All clients of a host share one, since any of them may be the first to learn it. */
export class StoreEra {
  private newest = 0
  private readonly listeners = new Set<(before: number) => void>()

  constructor (private readonly events?: EventLog) {}

  /** The newest known era; 0 before a response has stated one. */
  get current (): number {
    return this.newest
  }

  /**
   * Calls the listener when the era rises, with the era before (0 if none was known), until the returned function is called.
   */
  onRise (listener: (before: number) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /**
   * Reads the era that a response states; a response without a valid one belongs to the newest known era. Returns
   * undefined if the response is from before a restore that this host knows of, so that its content no longer counts.
   */
  accept (stated: string | undefined): number | undefined {
    const era = stated !== undefined && /^\d{1,7}$/.test(stated) ? Number(stated) : this.newest
    if (era < this.newest) return undefined
    if (era > this.newest && era <= maxEra) {
      const before = this.newest
      if (before > 0) this.events?.warn('store_restored', { era, before })
      this.newest = era
      for (const listener of this.listeners) listener(before)
    }
    return this.newest
  }
}

/**
 * A signal that aborts when a time has passed by a given clock.
 */
import type { Clock } from './Clock.js'

/** A running timer. */
export interface AbortTimer {
  signal: AbortSignal
  /** Ends the timer; the signal does not abort any more. */
  end: () => void
}

/** Starts a timer that aborts its signal with the reason. */
export function abortAfter (clock: Clock, milliseconds: number, reason: Error): AbortTimer {
  const late = new AbortController()
  const over = new AbortController()
  clock.sleep(milliseconds, over.signal).then(() => {
    if (!over.signal.aborted) late.abort(reason)
  }, () => {})
  return { signal: late.signal, end: () => over.abort() }
}

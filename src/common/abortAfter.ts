/**
 * An abort signal with a timeout that is measured by a given clock.
 */
import type { Clock } from './Clock.js'

/** A running timer with the signal that it aborts. */
export interface AbortTimer {
  signal: AbortSignal
  /** Stops the timer, so that it no longer aborts the signal. */
  cancel: () => void
}

/** Reason of cancelled timers. One object for all, because an abort without a reason creates an error with its stack. */
const timerCancelled = new Error('the timer was cancelled')

/** Starts a timer that aborts its signal with the reason after the given time. */
export function abortAfter (clock: Clock, milliseconds: number, reason: Error): AbortTimer {
  const timeoutController = new AbortController()
  const endController = new AbortController()
  clock.sleep(milliseconds, endController.signal).then(() => {
    if (!endController.signal.aborted) timeoutController.abort(reason)
  }, () => {})
  return { signal: timeoutController.signal, cancel: () => endController.abort(timerCancelled) }
}

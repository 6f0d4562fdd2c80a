/**
 * An abort signal with a timeout of the system clock, which may end sooner with another signal.
 */

/** Returns a signal that aborts after the given time, or together with `signal`. */
export function timeoutSignal (milliseconds: number, signal?: AbortSignal): AbortSignal {
  const timeout = AbortSignal.timeout(milliseconds)
  if (signal === undefined) return timeout
  // Node 20 drops a timeout that only a combined signal refers to at the next garbage collection, unless it has a listener.
  timeout.addEventListener('abort', () => {}, { once: true })
  return AbortSignal.any([timeout, signal])
}

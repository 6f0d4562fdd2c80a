/**
 * Numbers of the windows for which use is reported. Window k begins k lengths after the start of 1970.
 */

/** Maximum number of windows that a host keeps, and that a holder reports after an outage. */
export const maxKeptWindows = 12

/** Number of the window that contains a Unix time in milliseconds. */
export function windowOf (at: number, windowMilliseconds: number): number {
  return Math.floor(at / windowMilliseconds)
}

/** Unix time in milliseconds of the end of a window. */
export function endOfWindow (window: number, windowMilliseconds: number): number {
  return (window + 1) * windowMilliseconds
}

/**
 * Removes the windows that are farthest from the present one, beyond `maxKeptWindows`. After a clock was set, these are the
 * ones that it counted wrongly.
 */
export function dropFarWindows (windows: Map<number, unknown>, present: number): void {
  if (windows.size <= maxKeptWindows) return
  const byDistance = [...windows.keys()].sort((left, right) => Math.abs(left - present) - Math.abs(right - present))
  for (const window of byDistance.slice(maxKeptWindows)) windows.delete(window)
}

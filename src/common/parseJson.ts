/**
 * JSON from outside, which may be no JSON at all.
 */

/** Parses JSON; undefined if the text is none. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/**
 * Parsing of text from other processes that may not be valid JSON.
 */

/** Parses JSON; returns undefined if the text is not valid JSON. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/**
 * Reads bodies up to a limit, so that a peer that sends a body without end uses up no memory.
 */

/** Reads a body to its end. Throws if it is larger than `maxBytes`; its connection is then closed. */
export async function readBounded (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Buffer> {
  const parts: Uint8Array[] = []
  let size = 0
  for await (const part of body) {
    size += part.length
    if (size > maxBytes) throw new Error(`the response is larger than ${maxBytes} bytes`)
    parts.push(part)
  }
  return Buffer.concat(parts)
}

/**
 * Sends a part of a response no faster than the caller reads it.
 */
import type { ServerResponse } from 'node:http'
import type { RequestIntake } from './RequestIntake.js'

/** Bytes that are written at once, so that the progress of a slow caller shows. */
const writeBytes = 65_536

/** Writes the bytes and resolves when the caller can take more, or when its connection has closed. */
export async function sendBody (response: ServerResponse, bytes: Uint8Array, intake: RequestIntake): Promise<void> {
  for (let start = 0; start < bytes.length && !response.destroyed; start += writeBytes) {
    if (response.write(bytes.subarray(start, start + writeBytes))) continue
    intake.beginSending()
    await waitForDrain(response)
    intake.endSending()
  }
}

async function waitForDrain (response: ServerResponse): Promise<void> {
  if (response.destroyed) return
  await new Promise<void>(resolve => {
    const settle = (): void => {
      response.off('drain', settle)
      response.off('close', settle)
      resolve()
    }
    response.once('drain', settle)
    response.once('close', settle)
  })
}

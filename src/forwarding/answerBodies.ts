/**
 * Helpers for the bodies of answers.
 */
import type { Dispatcher } from 'undici'

/** The body of a worker's answer. */
export type AnswerBody = Dispatcher.ResponseData['body']

/** Closes the connection of an answer that nobody reads on. A stream reports that as an error, to nobody here. */
export function abandon (body: AnswerBody): void {
  body.on('error', () => {}).destroy()
}

/** True if an event came before. Events carry increasing numbers as ids; a worker that resumes too early repeats some. */
export function isRepeated (id: string | undefined, lastId: string | undefined): boolean {
  if (id === undefined || lastId === undefined) return false
  return Number(id) <= Number(lastId)
}

/** The source, followed by a last step however it ends. */
export async function * endingWith (source: AsyncIterable<Uint8Array>, finish: () => Promise<void>): AsyncGenerator<Uint8Array> {
  try {
    yield * source
  } finally {
    await finish()
  }
}

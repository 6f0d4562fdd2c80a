/**
 * Helpers for the bodies of workers' responses.
 */
import type { Dispatcher } from 'undici'
import type { HeaderFields, ResponseHead } from './CallProtocol.js'

/** The body of a worker's response. */
export type ResponseBody = Dispatcher.ResponseData['body']

/**
 * Closes the connection of a response that is not read further. The body emits the close as an error, which is ignored.
 */
export function destroyBody (body: ResponseBody): void {
  body.on('error', () => {}).destroy()
}

/** Maximum size of a body that is read although it is not used, in bytes. */
const maxDiscardedBytes = 131_072

/** Time limit for the rest of a body that is not used, in milliseconds. */
const discardTimeoutMilliseconds = 1000

/**
 * Reads the rest of a short body that is not used, so that its connection can be used again. The connection is closed
 * if the body is larger than 128 KiB or does not end within a second.
 */
export function discardBody (body: ResponseBody): void {
  body.dump({ limit: maxDiscardedBytes, signal: AbortSignal.timeout(discardTimeoutMilliseconds) }).catch(() => {})
}

/** True if a response carries a stream of events. */
export function isEventStream ({ status, headers }: ResponseHead): boolean {
  return status === 200 && hasEventStreamType(headers)
}

/** True if the header fields state the type of a stream of events. */
export function hasEventStreamType (headers: HeaderFields): boolean {
  const contentType = headers['content-type']
  return typeof contentType === 'string' && /^text\/event-stream *(;|$)/i.test(contentType)
}

/**
 * True if an event was already delivered. Event ids are increasing numbers; a stream that resumes too early repeats
 * events.
 */
export function isRepeatedEvent (id: string | undefined, lastId: string | undefined): boolean {
  if (id === undefined || lastId === undefined) return false
  return Number(id) <= Number(lastId)
}

/** Yields the source and then calls `finish`, also if the source fails or is not read to its end. */
export async function * withCleanup (source: AsyncIterable<Uint8Array>, finish: () => Promise<void>): AsyncGenerator<Uint8Array> {
  try {
    yield * source
  } finally {
    await finish()
  }
}

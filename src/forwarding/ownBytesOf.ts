/**
 * Reads the body of a worker's response, and ends it as broken where it contains another response: a faulty worker may write
 * an earlier one a second time into a later one.
 */
import type { Clock } from '../common/index.js'
import type { Upstream, UpstreamManager } from '../upstreams/index.js'
import type { CallProtocol } from './CallProtocol.js'
import type { ResponseBody } from './responseBodies.js'
import { ResponseHeadScanner } from './ResponseHeadScanner.js'

/**
 * Time after a body that ends inside the head of a response within which the rest of that response puts the connections in
 * doubt, in milliseconds. The rest may wait for the acknowledgement of the bytes before it, which is sent after up to 40 ms.
 */
const surplusMilliseconds = 60

/** A body and the connection on which it arrives. */
export interface ReceivedBody {
  body: ResponseBody
  upstream: Upstream
  /** True if bytes behind the body are not read, since its length ends the use of the connection. */
  isRestUnread: boolean
}

interface ReadingContext { protocol: CallProtocol, upstreams: UpstreamManager, clock: Clock }

/** The bytes of a body as they arrive. Throws if they contain the head of another response, or may end inside one. */
export async function * ownBytesOf (
  { body, upstream, isRestUnread }: ReceivedBody,
  { protocol: { requestIdField }, upstreams, clock }: ReadingContext
): AsyncGenerator<Buffer> {
  if (requestIdField === undefined) return yield * body
  const scanner = new ResponseHeadScanner(requestIdField, id => upstream.hasCarried(id))
  for await (const piece of body) {
    try {
      scanner.add(piece)
    } catch (caught) {
      upstreams.doubtConnections(upstream, 'foreign_response')
      throw caught
    }
    yield piece
  }
  if (!scanner.endsInsideHead) return
  if (!isRestUnread) await clock.sleep(surplusMilliseconds)
  if (isRestUnread || upstream.isDoubted) throw new Error('the body ends inside the head of another response')
}

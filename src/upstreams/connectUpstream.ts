/**
 * Opens connections to upstreams.
 */
import { buildConnector } from 'undici'

/** Code of a reset connection, in place of the system's. */
const resetCode = 'UPSTREAM_RESET'

/**
 * A connector for undici. The library takes a reset within an answer without a length for the answer's end, and tells
 * it by the error's code; another code makes it an error of the answer.
 */
export function connectUpstream (timeoutMilliseconds: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMilliseconds })
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result
      socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNRESET') error.code = resetCode
      })
      callback(...result)
    })
  }
}

/**
 * Progress queries and cancellations sent to engines. Each uses a new connection, since open ones may be stalled.
 */
import type { AttemptId, RequestId } from '../common/index.js'
import { HttpClient } from '../clients/index.js'
import { engineProgressSchema } from './engineProtocol.js'

const responseTimeoutMilliseconds = 1000

/**
 * Progress of a request: the number of generated tokens; `unknown` if the engine does not know the request; `no_answer`
 * if the query received no valid response.
 */
export type EngineProgress = number | 'unknown' | 'no_answer'

async function withFreshConnection<T> (origin: string, run: (http: HttpClient) => Promise<T>): Promise<T> {
  const http = new HttpClient(origin)
  try {
    return await run(http)
  } finally {
    await http.close()
  }
}

/** Asks an engine how many tokens it has generated for a request. */
export async function queryProgress (origin: string, requestId: RequestId, signal?: AbortSignal): Promise<EngineProgress> {
  const response = await withFreshConnection(origin, http => http.send({
    method: 'GET',
    path: `/requests/${encodeURIComponent(requestId)}`,
    timeoutMilliseconds: responseTimeoutMilliseconds,
    signal
  }))
  if (response.isErr) return 'no_answer'
  if (response.value.status === 404) return 'unknown'
  const progress = engineProgressSchema.safeParse(response.value.body)
  return progress.success ? progress.data.position : 'no_answer'
}

/** Tells an engine to stop working on an attempt. Cancelling an attempt that has finished is not an error. */
export async function cancelAttempt (origin: string, requestId: RequestId, attemptId: AttemptId): Promise<void> {
  await withFreshConnection(origin, http => http.send({
    method: 'POST',
    path: `/requests/${encodeURIComponent(requestId)}/cancel`,
    body: { attempt_id: attemptId },
    timeoutMilliseconds: responseTimeoutMilliseconds
  }))
}

/**
 * Short control calls to an engine. Each uses a connection of its own, since the ones in use may be silent.
 */
import type { AttemptId, RequestId } from '../common/index.js'
import { HttpClient } from '../clients/index.js'
import { engineProgressSchema } from './engineProtocol.js'

const answerTimeoutMilliseconds = 1000

/** Progress of a request: its number of tokens, `unknown` to the engine, or `no_answer`. */
export type EngineProgress = number | 'unknown' | 'no_answer'

async function withFreshConnection<T> (origin: string, use: (http: HttpClient) => Promise<T>): Promise<T> {
  const http = new HttpClient(origin)
  try {
    return await use(http)
  } finally {
    await http.close()
  }
}

/** Asks an engine how far a request is. */
export async function queryProgress (origin: string, requestId: RequestId, signal?: AbortSignal): Promise<EngineProgress> {
  const sent = await withFreshConnection(origin, http => http.send({
    method: 'GET',
    path: `/requests/${encodeURIComponent(requestId)}`,
    timeoutMilliseconds: answerTimeoutMilliseconds,
    signal
  }))
  if (sent.isErr) return 'no_answer'
  if (sent.value.status === 404) return 'unknown'
  const progress = engineProgressSchema.safeParse(sent.value.body)
  return progress.success ? progress.data.position : 'no_answer'
}

/** Tells an engine to stop working on an attempt. The engine finishing first is no error. */
export async function cancelAttempt (origin: string, requestId: RequestId, attemptId: AttemptId): Promise<void> {
  await withFreshConnection(origin, http => http.send({
    method: 'POST',
    path: `/requests/${encodeURIComponent(requestId)}/cancel`,
    body: { attempt_id: attemptId },
    timeoutMilliseconds: answerTimeoutMilliseconds
  }))
}

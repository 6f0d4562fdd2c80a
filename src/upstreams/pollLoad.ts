/**
 * The poll task of one upstream: updates its load from the reports, and its health from answered and unanswered polls.
 */
import type { Clock } from '../common/index.js'
import { HttpClient } from '../clients/index.js'
import { loadReportSchema } from './LoadReport.js'
import type { Upstream } from './Upstream.js'

/** Upper limit on the assumed age of a report, so that a wrong clock has a bounded effect. */
const maxReportAgeMilliseconds = 10_000

/** Options of `pollLoad`. */
export interface PollOptions {
  clock: Clock
  intervalMilliseconds: number
  /** Called after each round of the poll loop, whether or not the upstream answered. */
  onPoll: (upstream: Upstream) => void
}

/** Polls until the signal aborts. For an upstream without load reports, each round only calls `onPoll`. */
export async function pollLoad (upstream: Upstream, options: PollOptions, signal: AbortSignal): Promise<void> {
  const http = new HttpClient(upstream.origin)
  const close = (): void => { http.close().catch(() => {}) }
  signal.addEventListener('abort', close, { once: true })
  while (!signal.aborted) {
    if (upstream.description.worker.reportsLoad) await pollOnce(upstream, http, options)
    if (!signal.aborted) options.onPoll(upstream)
    await options.clock.sleep(options.intervalMilliseconds, signal)
  }
  await http.close()
}

async function pollOnce (upstream: Upstream, http: HttpClient, options: PollOptions): Promise<void> {
  const sentAt = options.clock.monotonic()
  const response = await http.send({
    method: 'GET',
    path: '/load',
    timeoutMilliseconds: Math.max(1000, options.intervalMilliseconds)
  })
  if (response.isErr) {
    if (response.error.kind === 'platform_unavailable') upstream.health.connectionRefused()
    else upstream.health.pollUnanswered()
    return
  }
  const report = loadReportSchema.safeParse(response.value.body)
  if (response.value.status !== 200 || !report.success) {
    upstream.health.pollUnanswered()
    return
  }
  upstream.health.pollAnswered()
  upstream.leaving = report.data.leaving
  const reportAge = Math.min(maxReportAgeMilliseconds, Math.max(0, options.clock.wall() - report.data.at))
  upstream.load.apply(report.data, Math.min(sentAt, options.clock.monotonic() - reportAge))
}

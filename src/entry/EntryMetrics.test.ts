/**
 * Guards against responses and latencies that are missing from the metrics or counted under the wrong kind of call.
 */
import { expect, test } from '@jest/globals'
import { Metrics } from '../observability/index.js'
import { callKindOf, EntryMetrics } from './EntryMetrics.js'

test.each([
  ['/v1/completions', 'model'],
  ['/v1/chat/completions', 'model'],
  ['/v1/models', 'other'],
  ['/services/app-foro/votes', 'service'],
  ['/keys', 'other']
])('%s is a call of kind %s', (path, kind) => {
  expect(callKindOf(path)).toBe(kind)
})

test('the exposition has response counts by kind and status, latency quantiles and the current request counts', async () => {
  const metrics = new Metrics()
  const entry = new EntryMetrics(metrics, { openRequests: () => 3, runningRequests: () => 2, queuedRequests: () => 1 })
  for (let index = 0; index < 99; index += 1) entry.recordResponse('model', 200, 10)
  entry.recordResponse('model', 200, 1000)
  entry.recordResponse('service', 429, 1)
  entry.recordGeneration(50)
  const page = await metrics.exposition()
  const valueOf = (name: string): number => Number(page.split('\n').find(line => line.startsWith(`${name} `))?.split(' ')[1])
  expect(valueOf('dogwooddale_answers_total{kind="model",status="200"}')).toBe(100)
  expect(valueOf('dogwooddale_answers_total{kind="service",status="429"}')).toBe(1)
  expect(valueOf('dogwooddale_model_first_byte_seconds{quantile="0.5"}')).toBeCloseTo(0.01, 3)
  expect(valueOf('dogwooddale_model_first_byte_seconds{quantile="0.999"}')).toBeCloseTo(1, 1)
  expect(valueOf('dogwooddale_model_total_seconds_count')).toBe(1)
  expect([valueOf('dogwooddale_requests_open'), valueOf('dogwooddale_requests_running'), valueOf('dogwooddale_requests_queued')]).toEqual([3, 2, 1])
})

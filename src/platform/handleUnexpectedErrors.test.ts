/**
 * Guards against a single error that no code handles taking down the process with all its requests.
 */
import { EventEmitter } from 'node:events'
import { expect, test } from '@jest/globals'
import { SystemClock } from '../common/index.js'
import { EventLog, HybridClock, Metrics, Timeline } from '../observability/index.js'
import { handleUnexpectedErrors } from './handleUnexpectedErrors.js'

test.each([
  ['uncaughtException', new Error('a broken message')],
  ['unhandledRejection', 'a text']
])('%s is logged and counted', async (kind, error) => {
  const lines: string[] = []
  const timeline = new Timeline('test', new HybridClock(new SystemClock()))
  const metrics = new Metrics()
  const emitter = new EventEmitter()
  handleUnexpectedErrors(emitter, new EventLog({ timeline, level: 'info', write: line => { lines.push(line) } }), metrics)
  emitter.emit(kind, error)
  expect(lines).toEqual([expect.stringMatching(`event=unexpected_error kind=${kind} reason=`)])
  expect(await metrics.exposition()).toContain(`unexpected_errors_total{kind="${kind}"} 1`)
})

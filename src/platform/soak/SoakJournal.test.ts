/**
 * Guards against a soak that passes because its checks detect nothing: each violated guarantee has to be reported.
 */
import { beforeEach, expect, test } from '@jest/globals'
import { requestBodyOf, type RequestKind, type Run, SoakJournal } from './SoakJournal.js'

let journal: SoakJournal

beforeEach(() => {
  journal = new SoakJournal()
  journal.allowServices('votes', ['app'])
  journal.allowServices('reads', ['app'])
})

function send (id: string, kind: RequestKind): { path: string, body: string, request: Parameters<SoakJournal['recordStatus']>[0] } {
  const request = { id, kind, path: `/${kind}/${id}`, body: requestBodyOf(id), host: 'host-1', sentAt: performance.now() }
  journal.recordSent(request)
  return { ...request, request }
}

function run (id: string, overrides: Partial<Run> = {}): Run {
  return { id, worker: 'app-1', service: 'app', at: performance.now(), drainingSince: undefined, ...overrides }
}

function violatedGuarantees (): string[] {
  return journal.violations.map(violation => violation.split(':')[0]!)
}

test('requests that run unchanged and only as often as allowed cause no violation', () => {
  const vote = send('vote', 'votes')
  journal.recordRun(run('vote'), 'POST', vote.path, vote.body)
  journal.recordStatus(vote.request, 502)
  const read = send('read', 'reads')
  for (const worker of ['app-1', 'app-2']) journal.recordRun(run('read', { worker }), 'POST', read.path, read.body)
  journal.recordStatus(read.request, 503)
  expect(violatedGuarantees()).toEqual([])
})

test('a run of a request that no caller sent, or that was changed, is a violation', () => {
  const vote = send('vote', 'votes')
  journal.recordRun(run('other'), 'POST', vote.path, vote.body)
  journal.recordRun(run('vote'), 'POST', vote.path, `${vote.body}x`)
  expect(violatedGuarantees()).toEqual(['UNASKED', 'UNASKED'])
})

test('a second run of a non-idempotent request is a violation', () => {
  const vote = send('vote', 'votes')
  for (const worker of ['app-1', 'app-2']) journal.recordRun(run('vote', { worker }), 'POST', vote.path, vote.body)
  expect(violatedGuarantees()).toEqual(['TWICE'])
})

test.each(['before', 'after'])('a run %s the response that states that the request did not run is a violation', when => {
  const vote = send('vote', 'votes')
  if (when === 'after') journal.recordStatus(vote.request, 503)
  journal.recordRun(run('vote'), 'POST', vote.path, vote.body)
  if (when === 'before') journal.recordStatus(vote.request, 503)
  expect(violatedGuarantees()).toEqual(['REFUSED'])
})

test('a run by a service to which no configuration sends the request is a violation', () => {
  const vote = send('vote', 'votes')
  journal.recordRun(run('vote', { service: 'llm' }), 'POST', vote.path, vote.body)
  expect(violatedGuarantees()).toEqual(['ROUTE'])
})

test('a request to a worker 2.5 s after the worker reported that it is draining is a violation only if the host was undisturbed', () => {
  const vote = send('vote', 'votes')
  const drainingWorker = { drainingSince: performance.now() - 2500 }
  journal.recordRun(run('vote', drainingWorker), 'POST', vote.path, vote.body)
  expect(violatedGuarantees()).toEqual([])
  journal.isUndisturbed = () => true
  const second = send('vote-2', 'votes')
  journal.recordRun(run('vote-2', drainingWorker), 'POST', second.path, second.body)
  expect(violatedGuarantees()).toEqual(['DRAIN'])
})

test('an order of another holder within the lease, or with a smaller fencing number, is a violation', () => {
  const leaseMilliseconds = 1500
  journal.recordOrder({ worker: 'llm-1', holder: 'host-1', fencing: 4, at: 0 }, leaseMilliseconds)
  journal.recordOrder({ worker: 'llm-2', holder: 'host-1', fencing: 4, at: 10 }, leaseMilliseconds)
  journal.recordOrder({ worker: 'llm-1', holder: 'host-2', fencing: 5, at: 2000 }, leaseMilliseconds)
  expect(violatedGuarantees()).toEqual([])
  journal.recordOrder({ worker: 'llm-1', holder: 'host-1', fencing: 4, at: 2500 }, leaseMilliseconds)
  expect(violatedGuarantees()).toEqual(['ONE', 'ONE'])
})

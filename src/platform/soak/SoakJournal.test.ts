/**
 * Guards against a soak that passes because its checks see nothing: each broken promise has to be found.
 */
import { beforeEach, expect, test } from '@jest/globals'
import { bodyOf, type RequestKind, type Run, SoakJournal } from './SoakJournal.js'

let journal: SoakJournal

beforeEach(() => {
  journal = new SoakJournal()
  journal.allow('votes', ['app'])
  journal.allow('reads', ['app'])
})

function send (id: string, kind: RequestKind): { path: string, body: string, request: Parameters<SoakJournal['noteStatus']>[0] } {
  const request = { id, kind, path: `/${kind}/${id}`, body: bodyOf(id), host: 'host-1', sentAt: performance.now() }
  journal.noteSent(request)
  return { ...request, request }
}

function run (id: string, more: Partial<Run> = {}): Run {
  return { id, worker: 'app-1', service: 'app', at: performance.now(), leavingSince: undefined, ...more }
}

function promises (): string[] {
  return journal.violations.map(violation => violation.split(':')[0]!)
}

test('requests that run as they were sent break nothing', () => {
  const vote = send('vote', 'votes')
  journal.noteRun(run('vote'), 'POST', vote.path, vote.body)
  journal.noteStatus(vote.request, 502)
  const read = send('read', 'reads')
  for (const worker of ['app-1', 'app-2']) journal.noteRun(run('read', { worker }), 'POST', read.path, read.body)
  journal.noteStatus(read.request, 503)
  expect(promises()).toEqual([])
})

test('a request that nobody sent, or that was changed, is found', () => {
  const vote = send('vote', 'votes')
  journal.noteRun(run('other'), 'POST', vote.path, vote.body)
  journal.noteRun(run('vote'), 'POST', vote.path, `${vote.body}x`)
  expect(promises()).toEqual(['UNASKED', 'UNASKED'])
})

test('a request that may run once and runs twice is found', () => {
  const vote = send('vote', 'votes')
  for (const worker of ['app-1', 'app-2']) journal.noteRun(run('vote', { worker }), 'POST', vote.path, vote.body)
  expect(promises()).toEqual(['TWICE'])
})

test.each(['before', 'after'])('a refusal as not run is found when the request runs %s it', when => {
  const vote = send('vote', 'votes')
  if (when === 'after') journal.noteStatus(vote.request, 503)
  journal.noteRun(run('vote'), 'POST', vote.path, vote.body)
  if (when === 'before') journal.noteStatus(vote.request, 503)
  expect(promises()).toEqual(['REFUSED'])
})

test('a run by a service that no configuration allowed is found', () => {
  const vote = send('vote', 'votes')
  journal.noteRun(run('vote', { service: 'llm' }), 'POST', vote.path, vote.body)
  expect(promises()).toEqual(['ROUTE'])
})

test('a request to a worker that said long ago that it leaves is found, if nothing disturbed the host', () => {
  const vote = send('vote', 'votes')
  const late = { leavingSince: performance.now() - 2500 }
  journal.noteRun(run('vote', late), 'POST', vote.path, vote.body)
  expect(promises()).toEqual([])
  journal.isCalm = () => true
  const second = send('vote-2', 'votes')
  journal.noteRun(run('vote-2', late), 'POST', second.path, second.body)
  expect(promises()).toEqual(['DRAIN'])
})

test('orders of two holders without the lease between them, or with a falling number, are found', () => {
  const lease = 1500
  journal.noteOrder({ worker: 'llm-1', holder: 'host-1', fencing: 4, at: 0 }, lease)
  journal.noteOrder({ worker: 'llm-2', holder: 'host-1', fencing: 4, at: 10 }, lease)
  journal.noteOrder({ worker: 'llm-1', holder: 'host-2', fencing: 5, at: 2000 }, lease)
  expect(promises()).toEqual([])
  journal.noteOrder({ worker: 'llm-1', holder: 'host-1', fencing: 4, at: 2500 }, lease)
  expect(promises()).toEqual(['ONE', 'ONE'])
})

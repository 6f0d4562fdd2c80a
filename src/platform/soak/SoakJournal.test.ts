/**
 * Guards against a soak that passes because its checks detect nothing: each violated guarantee has to be reported.
 */
import { beforeEach, expect, test } from '@jest/globals'
import { type CutRequest, requestBodyOf, type RequestKind, type Run, SoakJournal } from './SoakJournal.js'

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

// Guards against answers that go on from the prompt of another request, also one whose prompt was taken before.
test.each<[string, string[], boolean, string[]]>([
  ['its own prompt', ['vote'], true, []],
  ['its own prompt twice', ['vote', 'vote'], false, []],
  ['the prompt of another request', ['other'], true, ['MIXED']],
  ['a prompt that its request has taken', ['vote', 'other'], false, ['MIXED']]
])('a request that continues from %s', (_name, takers, isAvailable, expected) => {
  journal.promptOwners.set('127.0.0.1:1/handle-1', 'vote')
  expect(takers.map(id => journal.takePrompt('127.0.0.1:1/handle-1', id)).at(-1)).toBe(isAvailable)
  expect(violatedGuarantees()).toEqual(expected)
})

test.each([
  ['has run it', 'app-1', []],
  ['has not run it', 'app-2', ['MIXED']],
  ['is not stated', '', ['MIXED']]
])('a complete response to a request whose worker %s', (_name, worker, expected) => {
  const vote = send('vote', 'votes')
  journal.recordRun(run('vote'), 'POST', vote.path, vote.body)
  journal.checkAnswer('vote', worker)
  expect(violatedGuarantees()).toEqual(expected)
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

// Guards against stops that give up requests which the process has read, and against a check that excuses them.
test.each<{ name: string, cut?: Partial<CutRequest>, sentAt?: number, limit?: number, run?: Partial<Run>, violated: boolean }>([
  { name: 'a request that reached a worker', run: {}, violated: true },
  { name: 'a request that the worker had answered', run: { endedAt: 4500 }, violated: true },
  { name: 'a request whose worker broke off', run: { isBrokenOff: () => true }, violated: false },
  { name: 'a request whose time limit has passed', run: {}, limit: 900, violated: false },
  { name: 'a long request from the start of the stop', run: {}, sentAt: 2900, violated: false },
  { name: 'a short request from the start of the stop', run: { endedAt: 4900 }, sentAt: 2900, violated: true },
  { name: 'a request that crossed the close', cut: { writtenAt: 5400 }, violated: false },
  { name: 'a request that was never read', cut: { writtenAt: 5200 }, violated: true },
  { name: 'a request that was never read, while times are not checked', cut: { writtenAt: 5200, checksUnread: false }, violated: false },
  { name: 'a request that was not sent completely', cut: { writtenAt: undefined }, violated: false }
])('a planned stop that cuts $name: violation $violated', ({ cut, sentAt = 4500, limit = 7000, run: worked, violated }) => {
  const { request } = send('vote', 'votes')
  if (worked !== undefined) journal.recordRun(run('vote', worked), 'POST', request.path, request.body)
  journal.recordCut({
    sent: { ...request, sentAt, limitMilliseconds: limit },
    connection: 'request 1',
    stoppedAt: 0,
    endedAt: 5500,
    writtenAt: sentAt + 1,
    graceMilliseconds: 6000,
    checksUnread: true,
    ...cut
  })
  expect(violatedGuarantees()).toEqual(violated ? ['LOST'] : [])
})

// Guards against checks of workers' statements that pass whatever reaches the worker, or that blame a restarted host.
test.each<[string, number, boolean, string[]]>([
  ['later than 2 s after its host passed on that the worker leaves is a violation', 2001, false, ['DRAIN']],
  ['2 s after it is none', 2000, false, []],
  ['after its host was restarted is none', 5000, true, []]
])('a run of a request that was sent %s', (_name, milliseconds, isRestarted, expected) => {
  const read = send('read', 'reads')
  journal.notices.recordLeaving('host-1', 'app-1', read.request.sentAt - milliseconds)
  if (isRestarted) journal.notices.forget('host-1')
  journal.recordRun(run('read'), 'POST', read.path, read.body)
  expect(violatedGuarantees()).toEqual(expected)
})

/** Lets a worker receive requests at a steady rate, from two hosts in turn. */
function receive (milliseconds: number, count: number): void {
  for (let number = 0; number < count; number += 1) {
    const at = 10_000 + number * milliseconds / count
    const { request } = send(`r${number}`, 'reads')
    journal.checkNotices({ ...request, host: `host-${number % 2}` }, 'app-1', at)
  }
}

test.each<[string, number, boolean, string[]]>([
  ['more than one and a half times its limit and 5', 18, false, ['LIMIT']],
  ['no more than that', 17, false, []],
  ['more, half of them from a host that was cut off', 18, true, []]
])('a limited worker that receives %s in 4 s', (_name, count, isCut, expected) => {
  journal.notices.setLimit('app-1', 2, 5000)
  for (const host of ['host-0', 'host-1']) journal.notices.recordLimit(host, 'app-1', 5000)
  if (isCut) journal.notices.forgetRates('host-1')
  receive(3900, count)
  expect(violatedGuarantees()).toEqual(expected)
})

test.each<[string, number, string[]]>([
  ['three requests', 6, ['BUDGET']],
  ['two requests', 4, []]
])('a worker that receives %s from a host of which it wants nothing', (_name, count, expected) => {
  journal.notices.recordPause('host-0', 'app-1', 5000, 9000)
  receive(1000, count)
  expect(violatedGuarantees()).toEqual(expected)
})

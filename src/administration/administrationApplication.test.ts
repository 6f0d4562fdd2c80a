/**
 * Guards against unauthenticated access, errors that do not follow the table of error kinds, settings or token hashes
 * shown to the wrong team, changes without a version condition, and watches that lose changes, do not end or use
 * unlimited memory.
 */
import { describe, expect, test } from '@jest/globals'
import { errorResponses, type ErrorKind, toOffset } from '../common/index.js'
import { ConfigurationProjection, tokenHashOf } from '../configuration/index.js'
import { forumToken, operatorToken } from '../configuration/exampleConfiguration.js'
import { createExampleApplication, type SentRequest } from './administrationTestSupport.js'
import type { AdministrationOptions } from './index.js'

const rolePath = '/settings/fleet/roles/engine-1'
const ifMatchVersion1 = { 'if-match': '"1"' }

describe('error responses', () => {
  const routes = [
    ['GET', '/settings'], ['GET', rolePath], ['PUT', rolePath], ['DELETE', rolePath], ['POST', '/settings'], ['GET', '/history/fleet/shares'],
    ['GET', '/changes/x'], ['GET', '/watch'], ['GET', '/export'], ['POST', '/restore'], ['GET', '/fleet'], ['GET', '/use'],
    ['GET', '/timeline'], ['POST', '/drain'], ['POST', '/drain/engine-1'], ['POST', '/orders/o/confirm'], ['GET', '/nothing']
  ] as const
  test.each(routes)('%s %s: a missing, an unknown and a malformed token receive the same 401 response', async (method, path) => {
    const { send, calls } = await createExampleApplication()
    const responses = await Promise.all(['', 'unknown', 'old-token x'].map(async token => {
      const { status, response } = await send(method, path, { token })
      return [status, await response.text()]
    }))
    expect(new Set(responses.map(String)).size).toBe(1)
    expect(responses[0]?.[0]).toBe(401)
    expect(calls).toEqual([])
  })

  test.each<[string, string, string, SentRequest, ErrorKind]>([
    ['unknown route', 'GET', '/nothing', {}, 'not_found'],
    ['wrong method', 'PATCH', rolePath, {}, 'not_found'],
    ['path without a document', 'GET', '/settings/fleet/roles/engine-2', {}, 'not_found'],
    ['malformed document path', 'GET', '/settings/fleet/roles/Engine%202', {}, 'bad_request'],
    ['path traversal', 'GET', '/settings/teams/forum/..%2fharbour/account', {}, 'bad_request'],
    ['body that is not JSON', 'PUT', rolePath, { body: '{"role":', headers: ifMatchVersion1 }, 'bad_request'],
    ['empty body', 'PUT', rolePath, { body: '', headers: ifMatchVersion1 }, 'bad_request'],
    ['null document', 'PUT', rolePath, { body: 'null', headers: ifMatchVersion1 }, 'bad_request'],
    ['change without a version condition', 'PUT', rolePath, { body: { role: 'mixed' } }, 'bad_request'],
    ['malformed version condition', 'PUT', rolePath, { body: { role: 'mixed' }, headers: { 'if-match': '1' } }, 'bad_request'],
    ['two version conditions', 'PUT', rolePath, { body: { role: 'mixed' }, headers: { ...ifMatchVersion1, 'if-none-match': '*' } }, 'bad_request'],
    ['change of a stale version', 'PUT', rolePath, { body: { role: 'mixed' }, headers: { 'if-match': '"0"' } }, 'conflict'],
    ['creation of a document that exists', 'PUT', rolePath, { body: { role: 'mixed' }, headers: { 'if-none-match': '*' } }, 'conflict'],
    ['deletion of a stale version', 'DELETE', rolePath, { headers: { 'if-match': '"0"' } }, 'conflict'],
    ['invalid document', 'PUT', rolePath, { body: { role: 'x' }, headers: ifMatchVersion1 }, 'invalid_configuration'],
    ['deletion of a document that is referenced', 'DELETE', '/settings/fleet/models/danio', { headers: ifMatchVersion1 }, 'invalid_configuration'],
    ['malformed change id', 'PUT', rolePath, { body: { role: 'mixed' }, headers: { ...ifMatchVersion1, 'x-change-id': 'a b' } }, 'bad_request'],
    ['body over the limit', 'PUT', rolePath, { body: `"${'x'.repeat(5000)}"`, headers: ifMatchVersion1 }, 'body_too_large'],
    ['edits that are not a list', 'POST', '/settings', { body: { edits: 1 } }, 'bad_request'],
    ['unknown field', 'POST', '/settings', { body: { edits: [], extra: 1 } }, 'bad_request'],
    ['unknown change id', 'GET', '/changes/x', {}, 'not_found'],
    ['malformed offset', 'GET', '/watch?after=x', {}, 'bad_request'],
    ['malformed owner', 'GET', '/use?owner=A', {}, 'bad_request'],
    ['malformed worker', 'POST', '/drain/A', {}, 'bad_request'],
    ['unknown worker', 'POST', '/drain/engine-9', {}, 'not_found'],
    ['restore without confirmation', 'POST', '/restore', { body: { state: { documents: [], deleted: [], history: [], outcomes: [] } } }, 'bad_request'],
    ['restore of an invalid state', 'POST', '/restore', { body: { confirm: true, state: { documents: [{ path: '/fleet/x', version: 1, changeId: 'c', author: 'a', at: 0, value: 1 }], deleted: [], history: [], outcomes: [] } } }, 'bad_request'],
    ['change of the fleet by a team', 'PUT', rolePath, { token: forumToken, body: { role: 'mixed' }, headers: ifMatchVersion1 }, 'forbidden'],
    ['read of another team\'s account', 'GET', '/settings/teams/harbour/account', { token: forumToken }, 'forbidden'],
    ['read of another team\'s settings', 'GET', '/settings/teams/harbour/settings/x', { token: forumToken }, 'forbidden'],
    ['read of another team\'s history', 'GET', '/history/teams/harbour/account', { token: forumToken }, 'forbidden'],
    ['read of another team\'s change', 'GET', '/changes/seed?author=harbour', { token: forumToken }, 'forbidden'],
    ['read of the timeline by a team', 'GET', '/timeline', { token: forumToken }, 'forbidden'],
    ['export by a team', 'GET', '/export', { token: forumToken }, 'forbidden'],
    ['restore by a team', 'POST', '/restore', { token: forumToken, body: {} }, 'forbidden'],
    ['host drain by a team', 'POST', '/drain', { token: forumToken }, 'forbidden'],
    ['worker drain by a team', 'POST', '/drain/engine-1', { token: forumToken }, 'forbidden'],
    ['confirmation of an order by a team', 'POST', '/orders/o/confirm', { token: forumToken }, 'forbidden']
  ])('%s: the request fails with the error kind of its case and has no effect', async (_name, method, path, request, kind) => {
    const { send, calls, snapshots, writer } = await createExampleApplication({ maxBodyBytes: 4096 })
    const response = await send(method, path, request)
    const body = await response.json()
    expect([response.status, body.error.type]).toEqual([errorResponses[kind].status, kind])
    expect([calls, snapshots]).toEqual([[], []])
    expect(writer.records.length).toBeLessThanOrEqual(2)
  })

  test('errors of a log outage and of a lost response of the log contain the change id, by which the outcome can be read later', async () => {
    const { send, writer } = await createExampleApplication()
    const put = async () => await send('PUT', rolePath, { body: { role: 'mixed' }, headers: { ...ifMatchVersion1, 'x-change-id': 'c1' } })
    writer.mode = 'outage'
    expect(await (await put()).json()).toMatchObject({ error: { type: 'platform_unavailable', not_run: true, detail: { changeId: 'c1' } } })
    writer.mode = 'lost_answer'
    expect(await (await put()).json()).toMatchObject({ error: { type: 'outcome_unknown', not_run: false, detail: { changeId: 'c1' } } })
    expect(await (await send('GET', '/changes/c1')).json()).toMatchObject({ kind: 'unresolved' })
    writer.deliver()
    expect(await (await send('GET', '/changes/c1')).json()).toMatchObject({ kind: 'accepted', offset: 2 })
  })

  test('an exception in a handler causes a 500 response without the message of the exception', async () => {
    const { send } = await createExampleApplication({ fleetReport: () => { throw new Error('secret') } })
    const response = await send('GET', '/fleet')
    expect([response.status, JSON.stringify(await response.json())]).toEqual([500, expect.not.stringContaining('secret')])
  })
})

describe('settings', () => {
  test('a document can be read, changed, deleted and created again, with its version as entity tag', async () => {
    const { send } = await createExampleApplication()
    const getResponse = await send('GET', rolePath)
    expect([getResponse.headers.get('etag'), await getResponse.json()]).toEqual(['"1"', { path: '/fleet/roles/engine-1', version: 1, value: { role: 'prefill' } }])
    expect((await send('GET', rolePath, { headers: { 'if-none-match': '"1"' } })).status).toBe(304)
    const putResponse = await send('PUT', rolePath, { body: { role: 'mixed' }, headers: { ...ifMatchVersion1, 'x-change-id': 'c2' } })
    expect([putResponse.headers.get('etag'), await putResponse.json()]).toEqual(['"2"', { changeId: 'c2', version: 2 }])
    expect((await send('DELETE', rolePath, { headers: { 'if-match': '"2"' } })).status).toBe(200)
    expect(await (await send('GET', rolePath)).json()).toMatchObject({ error: { type: 'not_found', detail: { version: 3 } } })
    expect((await send('PUT', rolePath, { body: { role: 'decode' }, headers: { 'if-none-match': '*' } })).headers.get('etag')).toBe('"4"')
    const history = await (await send('GET', `/history${rolePath.slice('/settings'.length)}`)).json()
    expect(history.entries.map((entry: any) => [entry.version, entry.author, entry.value?.role]))
      .toEqual([[1, 'harbour', 'prefill'], [2, 'harbour', 'mixed'], [3, 'harbour', undefined], [4, 'harbour', 'decode']])
  })

  test('a change with several edits applies all of them, or none if one conflicts', async () => {
    const { send, configuration } = await createExampleApplication()
    const account = { path: '/teams/acopio/account', expectedVersion: 0, value: { owner: 'o', tokens: [] } }
    const shares = { path: '/fleet/shares', expectedVersion: 1, value: { acopio: 5 } }
    expect((await send('POST', '/settings', { body: { edits: [{ ...account, expectedVersion: 1 }, shares] } })).status).toBe(409)
    expect(configuration.get(account.path)).toBeUndefined()
    expect((await send('POST', '/settings', { body: { edits: [account, shares] } })).status).toBe(200)
    expect([configuration.get(account.path)?.version, configuration.get(shares.path)?.version]).toEqual([2, 2])
  })

  test('a team can read the fleet and its own subtree but no token hashes; an export for operators has the hashes', async () => {
    const { send, writer } = await createExampleApplication()
    await writer.submit('configuration', {
      kind: 'change', changeId: 'x', author: 'harbour', at: 0, basedOn: 0, edits: [{ path: '/teams/harbour/settings/secret', expectedVersion: 0, value: 1 }]
    })
    const list = await (await send('GET', '/settings', { token: forumToken })).json()
    expect(list.documents.map((document: any) => document.path).filter((path: string) => path.startsWith('/teams')))
      .toEqual(['/teams/forum/account', '/teams/forum/settings/limits'])
    const texts = await Promise.all(['/settings', '/history/teams/forum/account', '/settings/teams/forum/account']
      .map(async path => await (await send('GET', path, { token: forumToken })).response.text()))
    expect(texts.join()).not.toContain(tokenHashOf(forumToken))
    expect(JSON.stringify(await (await send('GET', '/export')).json())).toContain(tokenHashOf(forumToken))
  })

  test('restore writes a snapshot of the exported state with versions limited to the through offset of the snapshot', async () => {
    const { send, writer, snapshots } = await createExampleApplication()
    for (let version = 1; version <= 8; version += 1) {
      await send('PUT', '/settings/fleet/shares', { body: { forum: version }, headers: { 'if-match': `"${version}"` } })
    }
    const { state, through } = await (await send('GET', '/export')).json()
    expect([through, writer.records.length]).toEqual([9, 9])
    expect(await (await send('POST', '/restore', { body: { confirm: true, state } })).json()).toEqual({ offset: 6 })
    const restored = new ConfigurationProjection()
    expect(restored.restore(snapshots[0], toOffset(5)).isOk).toBe(true)
    expect(restored.get('/fleet/shares')).toMatchObject({ version: 5, value: { forum: 8 } })
    expect(new ConfigurationProjection().restore(state, toOffset(5)).isErr).toBe(true)
  })
})

describe('host routes', () => {
  test.each<[string, string, string, number, unknown]>([
    ['GET', '/health/live', '', 200, { live: true }],
    ['GET', '/health/ready', '', 503, { error: { type: 'not_ready', detail: { reasons: ['no_configuration'] } } }],
    ['GET', '/fleet', forumToken, 200, { reportedBy: 'guayaquil-a-1' }],
    ['GET', '/use', forumToken, 200, { through: 0, lines: [] }],
    ['GET', '/use?owner=kontenerowo', forumToken, 200, { asked: 'kontenerowo' }],
    ['GET', '/timeline', operatorToken, 200, { events: [] }],
    ['POST', '/drain', operatorToken, 202, { draining: 'guayaquil-a-1' }],
    ['POST', '/drain/engine-1', operatorToken, 202, { draining: 'engine-1' }],
    ['POST', '/orders/o-1/confirm', operatorToken, 200, { confirmed: 'o-1' }]
  ])('%s %s with the token "%s" returns status %d and the expected body', async (method, path, token, status, body) => {
    const { send } = await createExampleApplication()
    const response = await send(method, path, { token })
    expect({ status: response.status, body: await response.json() }).toMatchObject({ status, body })
  })

  test('drains and confirmations are passed on with the team of the operator', async () => {
    const { send, calls } = await createExampleApplication()
    for (const path of ['/drain', '/drain/engine-1', '/orders/o-1/confirm']) await send('POST', path)
    expect(calls).toEqual([['host', 'harbour'], ['engine-1', 'harbour'], ['o-1', 'harbour']])
  })

  test('GET /metrics without a token returns the metrics as text', async () => {
    const { send } = await createExampleApplication()
    const response = await send('GET', '/metrics', { token: '' })
    expect([response.status, response.headers.get('content-type')]).toEqual([200, expect.stringContaining('text/plain')])
  })
})

describe('watch', () => {
  async function setUpWatch (path: string, token = operatorToken, overrides: Partial<AdministrationOptions> = {}) {
    const example = await createExampleApplication(overrides)
    const open = async () => {
      const reader = (await example.send('GET', path, { token })).response.body!.getReader()
      const next = async (): Promise<string> => {
        const { value, done } = await reader.read()
        return done ? 'end' : new TextDecoder().decode(value)
      }
      expect(await next()).toBe(': watching\n\n')
      return { next, cancel: async () => { await reader.cancel() } }
    }
    const putSetting = async (name: string, value: unknown, version = 0) => await example.send('PUT', `/settings/teams/forum/settings/${name}`, {
      token: forumToken, body: value, headers: { 'if-match': `"${version}"` }
    })
    return { ...example, open, putSetting }
  }

  test('a change under the prefix is sent with its offset as event id, other changes are not sent', async () => {
    const { open, putSetting, send } = await setUpWatch('/watch?prefix=/teams/forum', forumToken)
    const { next } = await open()
    await send('DELETE', rolePath, { headers: ifMatchVersion1 })
    await putSetting('colour', { name: 'blue' })
    expect(await next()).toBe('event: change\nid: 3\ndata: {"path":"/teams/forum/settings/colour","version":3,"value":{"name":"blue"}}\n\n')
  })

  test('a watch with after sends the changes and deletions since that offset, and only the last path of a change has an event id', async () => {
    const { open, writer } = await setUpWatch('/watch?after=1')
    const edits = [{ path: '/fleet/roles/engine-1', expectedVersion: 1, value: null }, { path: '/fleet/roles/engine-2', expectedVersion: 0, value: { role: 'mixed' } }]
    await writer.submit('configuration', { kind: 'change', changeId: 'x', author: 'harbour', at: 0, basedOn: 0, edits })
    const { next } = await open()
    const events = [await next(), await next()]
    expect(events.map(event => /id: (\d+)/.exec(event)?.[1])).toEqual([undefined, '2'])
    expect(events.join()).toContain('{"path":"/fleet/roles/engine-1","version":2,"value":null}')
  })

  test('a slow reader receives only the latest version of each path, in the order of versions', async () => {
    const { open, putSetting } = await setUpWatch('/watch')
    const { next } = await open()
    for (let version = 1; version <= 50; version += 1) await putSetting('counter', version, version === 1 ? 0 : version)
    await putSetting('other', 1)
    await putSetting('counter', 51, 51)
    // A reader resumes after the last id that it received, so no pending change may have a lower version than that id.
    expect(await next()).toContain('id: 52\ndata: {"path":"/teams/forum/settings/other"')
    expect(await next()).toContain('id: 53\ndata: {"path":"/teams/forum/settings/counter","version":53,"value":51}')
  })

  test('a change is sent at once to a reader that is waiting', async () => {
    const { open, putSetting } = await setUpWatch('/watch')
    const { next } = await open()
    const pending = next()
    await putSetting('colour', 1)
    expect(await pending).toContain('/teams/forum/settings/colour')
  })

  test('a heartbeat is sent after 10 s without a change', async () => {
    const { open, clock } = await setUpWatch('/watch')
    const { next } = await open()
    const pending = next()
    await clock.advance(9_999)
    expect(await Promise.race([pending, Promise.resolve('silent')])).toBe('silent')
    await clock.advance(1)
    expect(await pending).toBe(': heartbeat\n\n')
  })

  test('changes of documents that the team may not read are not sent', async () => {
    const { open, writer, putSetting } = await setUpWatch('/watch', forumToken)
    const { next } = await open()
    const edits = [{ path: '/teams/harbour/settings/secret', expectedVersion: 0, value: 1 }]
    await writer.submit('configuration', { kind: 'change', changeId: 'x', author: 'harbour', at: 0, basedOn: 0, edits })
    await putSetting('visible', 1)
    expect(await next()).toContain('/teams/forum/settings/visible')
  })

  test('the watch ends with the error unauthenticated when its token is removed from the account', async () => {
    const { open, send } = await setUpWatch('/watch', forumToken)
    const { next } = await open()
    await send('PUT', '/settings/teams/forum/account', { body: { owner: 'acuarios', tokens: [] }, headers: ifMatchVersion1 })
    expect(await next()).toContain('"type":"unauthenticated"')
    expect(await next()).toBe('end')
  })

  test('the watch ends with the error overloaded when more paths are pending than the limit', async () => {
    const { open, putSetting } = await setUpWatch('/watch', operatorToken, { maxPendingPaths: 2 })
    const { next } = await open()
    for (const name of ['a', 'b', 'c']) await putSetting(name, 1)
    expect(await next()).toContain('"type":"overloaded"')
    expect(await next()).toBe('end')
  })

  test('watches above the limit fail with status 429, a cancelled watch frees its place, and all watches end when the host closes', async () => {
    const closing = new AbortController()
    const { open, send } = await setUpWatch('/watch', operatorToken, { closing: closing.signal, maxWatches: 2 })
    const watches = [await open(), await open()]
    expect((await send('GET', '/watch')).status).toBe(429)
    await watches[0]?.cancel()
    const last = await open()
    const ends = [watches[1]?.next(), last.next()]
    closing.abort()
    expect(await Promise.all(ends)).toEqual(['end', 'end'])
  })
})

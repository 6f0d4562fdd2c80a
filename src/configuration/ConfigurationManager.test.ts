/**
 * Guards against appends for changes that are certain to fail, changes whose outcome stays unknown after an outage
 * or a lost response, expired tokens that are accepted, authentication failures that reveal their cause, and rights that
 * exceed the table below.
 */
import { describe, expect, test } from '@jest/globals'
import { ManualClock, type Team, type Owner } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { ConfigurationProjection } from './ConfigurationProjection.js'
import { ConfigurationManager } from './ConfigurationManager.js'
import { type AuthenticatedTeam, FixedConfiguration } from './ConfigurationReader.js'
import { InMemoryRecordWriter } from './InMemoryRecordWriter.js'
import { exampleConfiguration, exampleEdits, forumToken, oldTokenExpiry, operatorToken } from './exampleConfiguration.js'
import { mayChange, mayRead, visibleValue } from './rights.js'
import { TeamAuthenticator } from './TeamAuthenticator.js'

const operator: AuthenticatedTeam = { team: 'harbour' as Team, owner: 'acuarios' as Owner, operator: true }
const forum: AuthenticatedTeam = { team: 'forum' as Team, owner: 'acuarios' as Owner, operator: false }

function createSilentEventLog (clock: ManualClock): EventLog {
  return new EventLog({ timeline: new Timeline('test', new HybridClock(clock)), level: 'error', write: () => {} })
}

async function createExampleManager () {
  const clock = new ManualClock()
  const projection = new ConfigurationProjection()
  const writer = new InMemoryRecordWriter([projection], clock)
  const manager = new ConfigurationManager({ projection, writer, clock, events: createSilentEventLog(clock) })
  const seedResult = await writer.submit('configuration', {
    kind: 'change', changeId: 'seed', author: 'harbour', at: 0, basedOn: 0, edits: exampleEdits
  })
  expect(seedResult.isOk && seedResult.value.outcome).toEqual({ accepted: true })
  return { manager, writer, projection, clock }
}

const rolePath = '/fleet/roles/engine-1'

describe('ConfigurationManager', () => {
  test.each<[string, AuthenticatedTeam, Parameters<ConfigurationManager['change']>[1], string]>([
    ['an outdated expected version', operator, [{ path: rolePath, expectedVersion: 0, value: null }], 'conflict'],
    ['a malformed document', operator, [{ path: rolePath, expectedVersion: 1, value: { role: 'x' } }], 'invalid_configuration'],
    ['shares of more than 100 percent in total', operator, [{ path: '/fleet/shares', expectedVersion: 1, value: { forum: 101 } }], 'invalid_configuration'],
    ['a malformed path', operator, [{ path: 'x', expectedVersion: 1, value: 1 }], 'bad_request'],
    ['a change without edits', operator, [], 'bad_request'],
    ['a change of the fleet by a team without operator rights', forum, [{ path: rolePath, expectedVersion: 1, value: null }], 'forbidden'],
    ['a change of another team\'s setting by an operator', operator, [{ path: '/teams/forum/settings/x', expectedVersion: 0, value: 1 }], 'forbidden']
  ])('refuses %s without appending a record', async (_name, author, edits, kind) => {
    const { manager, writer } = await createExampleManager()
    const changed = await manager.change(author, edits, 'c')
    expect(changed.isErr && changed.error).toMatchObject({ kind, detail: { changeId: 'c' } })
    expect(writer.records).toHaveLength(1)
  })

  test('appends a change whose expected version is greater than the through offset; it fails with conflict when its record is applied', async () => {
    const { manager, writer } = await createExampleManager()
    const changed = await manager.change(operator, [{ path: rolePath, expectedVersion: 7, value: null }])
    expect(changed.isErr && changed.error.kind).toBe('conflict')
    expect(writer.records).toHaveLength(2)
  })

  test('appends a change that refers to an unknown document; it fails with invalid_configuration when its record is applied', async () => {
    const { manager, writer } = await createExampleManager()
    const edits = [{ path: '/fleet/roles/engine-9', expectedVersion: 0, value: { role: 'mixed' } }]
    const changed = await manager.change(operator, edits)
    expect(changed.isErr && changed.error).toMatchObject({ kind: 'invalid_configuration', detail: { problems: [{ path: '/fleet/roles/engine-9' }] } })
    expect(writer.records).toHaveLength(2)
  })

  test('the second of two concurrent changes fails with conflict; the detail has the author, version and value of the accepted one', async () => {
    const { manager, writer } = await createExampleManager()
    writer.mode = 'lost_answer'
    await manager.change(operator, [{ path: rolePath, expectedVersion: 1, value: { role: 'decode' } }], 'winner')
    writer.mode = 'normal'
    const changed = await manager.change(operator, [{ path: rolePath, expectedVersion: 1, value: { role: 'mixed' } }], 'loser')
    expect(changed.isErr && changed.error).toMatchObject({
      kind: 'conflict',
      detail: { changeId: 'loser', conflicts: [{ path: rolePath, version: 2, author: 'harbour', value: { role: 'decode' } }] }
    })
    expect(manager.outcomeOf('harbour', 'winner')).toMatchObject({ kind: 'accepted', offset: 2 })
  })

  test('a change during an outage fails with platform_unavailable; a change whose response is lost is unresolved until its record is read', async () => {
    const { manager, writer } = await createExampleManager()
    const edits = [{ path: rolePath, expectedVersion: 1, value: { role: 'decode' } }]
    writer.mode = 'outage'
    const outageResult = await manager.change(operator, edits, 'c1')
    expect(outageResult.isErr && outageResult.error).toMatchObject({ kind: 'platform_unavailable', detail: { changeId: 'c1' } })
    expect(manager.outcomeOf('harbour', 'c1')).toBeUndefined()
    writer.mode = 'lost_answer'
    const lostResponseResult = await manager.change(operator, edits, 'c1')
    expect(lostResponseResult.isErr && lostResponseResult.error).toMatchObject({ kind: 'outcome_unknown', detail: { changeId: 'c1' } })
    expect(manager.outcomeOf('harbour', 'c1')).toEqual({ kind: 'unresolved', changeId: 'c1', author: 'harbour' })
    writer.deliver()
    expect(manager.outcomeOf('harbour', 'c1')).toMatchObject({ kind: 'accepted', offset: 2 })
    const repeated = await manager.change(operator, edits, 'c1')
    expect(repeated.isOk && repeated.value).toEqual({ changeId: 'c1', version: 2 })
    expect(writer.records).toHaveLength(2)
  })

  test('a change that is submitted again before its first record is read takes effect once', async () => {
    const { manager, writer } = await createExampleManager()
    const edits = [{ path: rolePath, expectedVersion: 1, value: { role: 'decode' } }]
    writer.mode = 'lost_answer'
    await manager.change(operator, edits, 'c1')
    writer.mode = 'normal'
    const repeated = await manager.change(operator, edits, 'c1')
    expect(repeated.isOk && repeated.value).toEqual({ changeId: 'c1', version: 2 })
    expect(manager.historyOf(rolePath).map(entry => entry.version)).toEqual([1, 2])
  })

  test('when one listener throws, the other listeners are still called', async () => {
    const { manager } = await createExampleManager()
    const notifiedPaths: string[][] = []
    manager.onChange(() => { throw new Error('faulty') })
    const stop = manager.onChange(paths => notifiedPaths.push(paths))
    await manager.change(operator, [{ path: rolePath, expectedVersion: 1, value: null }])
    stop()
    await manager.change(operator, [{ path: rolePath, expectedVersion: 2, value: { role: 'mixed' } }])
    expect(notifiedPaths).toEqual([[rolePath]])
  })
})

describe('TeamAuthenticator', () => {
  test('the failure is the same for missing, malformed, unknown and expired tokens', async () => {
    const clock = new ManualClock(oldTokenExpiry - 1)
    const authenticator = new TeamAuthenticator(new FixedConfiguration(exampleConfiguration), clock)
    expect(authenticator.authenticate('Bearer old-token').map(team => team.team).unwrapOr('none' as Team)).toBe('forum')
    await clock.advance(1)
    const invalidHeaders = [
      undefined, '', 'Bearer', 'Bearer  ', `Basic ${forumToken}`, 'Bearer unknown', 'Bearer old-token', `Bearer ${forumToken} x`
    ]
    const authenticationResults = invalidHeaders.map(header => authenticator.authenticate(header)
      .map(String)
      .unwrapOrElse(failed => JSON.stringify(failed)))
    expect(new Set(authenticationResults).size).toBe(1)
    expect(authenticationResults[0]).toContain('unauthenticated')
  })

  test('a token that one change moves to another account authenticates the team of that account', async () => {
    const { manager, clock } = await createExampleManager()
    const authenticator = new TeamAuthenticator(manager, clock)
    const teamOf = (token: string): string => authenticator.authenticate(`Bearer ${token}`)
      .map(by => String(by.team))
      .unwrapOr('none')
    expect([operatorToken, forumToken].map(teamOf)).toEqual(['harbour', 'forum'])
    const account = exampleConfiguration['/teams/forum/account'] as { tokens: unknown[] }
    await manager.change(operator, [
      { path: '/teams/acopio/account', expectedVersion: 0, value: account },
      { path: '/teams/forum/account', expectedVersion: 1, value: { ...account, tokens: [] } }
    ])
    expect(teamOf(forumToken)).toBe('acopio')
  })
})

describe('rights', () => {
  test.each<[string, boolean, boolean, boolean, boolean]>([
    // path, operator changes, operator reads, team forum changes, team forum reads
    ['/fleet/shares', true, true, false, true],
    ['/fleet/pools/modelos-foro', true, true, false, true],
    ['/teams/forum/account', true, true, false, true],
    ['/teams/harbour/account', true, true, false, false],
    ['/teams/forum/settings/limits', false, true, true, true],
    ['/teams/forum/settings/a/b', false, true, true, true],
    ['/teams/other/settings/limits', false, true, false, false],
    ['/teams/forum2/settings/limits', false, true, false, false]
  ])('an operator and the team forum can change and read %s exactly as the table says', (path, operatorChanges, operatorReads, teamChanges, teamReads) => {
    expect([mayChange(operator, path), mayRead(operator, path), mayChange(forum, path), mayRead(forum, path)])
      .toEqual([operatorChanges, operatorReads, teamChanges, teamReads])
  })

  test('a team without operator rights sees no token hash of its own account; an operator sees the hashes', () => {
    const account = exampleConfiguration['/teams/forum/account']
    expect(JSON.stringify(visibleValue(forum, '/teams/forum/account', account))).not.toMatch(/[0-9a-f]{64}|sha256/)
    expect(visibleValue(operator, '/teams/forum/account', account)).toEqual(account)
  })
})

/**
 * Guards against hosts that decide the same change differently, invalid configurations in force, changes that are applied
 * twice, problems that full validation finds and incremental validation misses, and snapshots that lose state.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { toOffset } from '../common/index.js'
import type { StreamRecord } from '../streams/index.js'
import { ChangeHistory } from './ChangeHistory.js'
import { ConfigurationProjection } from './ConfigurationProjection.js'
import { ConfigurationTree } from './ConfigurationTree.js'
import { exampleConfiguration, exampleEdits } from './exampleConfiguration.js'
import { checkDocument, validateTree } from './validateTree.js'

interface EditInput { path: string, expectedVersion: number, value: unknown }

function changeRecord (offset: number, edits: EditInput[], change: { changeId?: string, author?: string } = {}): StreamRecord {
  return {
    offset: toOffset(offset),
    at: 0,
    value: {
      version: 1, kind: 'change', id: `record-${offset}`, changeId: `change-${offset}`, author: 'harbour', at: offset, basedOn: 0, ...change, edits
    }
  }
}

function createExampleProjection (): ConfigurationProjection {
  const projection = new ConfigurationProjection()
  expect(projection.apply(changeRecord(1, exampleEdits))).toEqual({ accepted: true })
  return projection
}

function edit (path: string, value: unknown, expectedVersion = exampleConfiguration[path] === undefined ? 0 : 1): EditInput {
  return { path, expectedVersion, value }
}

function rebuiltTreeOf (projection: ConfigurationProjection): ConfigurationTree {
  const tree = new ConfigurationTree()
  for (const document of projection.list('')) tree.put(document.path, document)
  return tree
}

const sharesEntry = { path: '/fleet/shares', version: 1, changeId: 'c', author: 'harbour', at: 0 }
const enginePool = exampleConfiguration['/fleet/pools/modelos-foro'] as { workers: Array<Record<string, unknown>> }
const forumAccount = exampleConfiguration['/teams/forum/account'] as { tokens: unknown[] }

describe('validation', () => {
  test.each<[string, EditInput[], string]>([
    ['adapter of an unknown model', [edit('/fleet/adapters/a', { model: 'x', version: '1' })], 'unknown model "x"'],
    ['adapter of an unknown model version', [edit('/fleet/adapters/a', { model: 'danio', version: '2' })], 'no version "2"'],
    ['adapter with the name of a model', [edit('/fleet/adapters/danio', { model: 'danio', version: '1' })], 'same name'],
    ['default version that is not one of the versions', [edit('/fleet/models/danio', { versions: ['1'], defaultVersion: '3', contextTokens: 1 })], 'defaultVersion "3"'],
    ['model without a version that an adapter uses', [edit('/fleet/models/carassius', { versions: ['1'], defaultVersion: '1', contextTokens: 1 })], 'no version "2"'],
    ['deleted model that a pool uses', [edit('/fleet/models/danio', null)], '/fleet/pools/modelos-foro: unknown model "danio"'],
    ['model with the name of an adapter', [edit('/fleet/models/tagging', { versions: ['1'], defaultVersion: '1', contextTokens: 1 })], 'same name'],
    ['pool of an unknown model', [edit('/fleet/pools/p', { kind: 'engines', workers: [], models: ['x'] })], 'unknown model "x"'],
    ['worker id that occurs twice in a pool', [edit('/fleet/pools/modelos-foro', { ...enginePool, workers: [enginePool.workers[0], { ...enginePool.workers[1], id: 'engine-1' }] })], '"engine-1" occurs more than once'],
    ['worker id that occurs in two pools', [edit('/fleet/pools/p', { kind: 'engines', models: ['danio'], workers: [{ id: 'engine-2', zone: 'z', address: '127.0.0.1:9' }] })], '"engine-2" is also in /fleet/pools/modelos-foro'],
    ['worker address that occurs in two pools', [edit('/fleet/pools/p', { kind: 'engines', models: ['danio'], workers: [{ id: 'e', zone: 'z', address: '127.0.0.1:7002' }] })], 'is also in'],
    ['role of an unknown worker', [edit('/fleet/roles/engine-9', { role: 'mixed' })], 'no engine pool has a worker "engine-9"'],
    ['role of a service worker', [edit('/fleet/roles/application-1', { role: 'mixed' })], 'service worker'],
    ['unknown role', [edit('/fleet/roles/engine-2', { role: 'speaker' })], 'role:'],
    ['pool without a worker that has a role', [edit('/fleet/pools/modelos-foro', { ...enginePool, workers: [enginePool.workers[1]] })], 'no engine pool has a worker "engine-1"'],
    ['deleted pool with a worker that has a role', [edit('/fleet/pools/modelos-foro', null)], 'no engine pool has a worker "engine-1"'],
    ['shares of more than 100 percent in total', [edit('/fleet/shares', { forum: 60, harbour: 41 })], 'add up to 101'],
    ['share of an unknown team', [edit('/fleet/shares', { nobody: 1 })], 'unknown team "nobody"'],
    ['limits of an unknown team', [edit('/teams/nobody/settings/limits', { maxConcurrent: 1, requestsPerSecond: 1 })], 'unknown team "nobody"'],
    ['account without an owner', [edit('/teams/x/account', { tokens: [] })], 'owner:'],
    ['token hash that occurs in two accounts', [edit('/teams/x/account', { owner: 'o', tokens: forumAccount.tokens })], 'more than one account'],
    ['deleted account of a team that has a share', [edit('/teams/forum/account', null), edit('/teams/forum/settings/limits', null)], '/fleet/shares: unknown team "forum"'],
    ['deleted account of a team that has settings', [edit('/teams/forum/account', null), edit('/fleet/shares', {})], 'unknown team "forum"'],
    ['settings of a team whose values are too long in total', [edit('/teams/forum/settings/a', 'x'.repeat(9000)), edit('/teams/forum/settings/b', 'x'.repeat(9000))], 'at most 16384'],
    ['settings of a team whose paths are too long in total', Array.from({ length: 700 }, (_, index) => edit(`/teams/forum/settings/s${index}`, 1)), 'at most 16384'],
    ['path that is not valid for any kind of document', [edit('/fleet/nothing/x', {})], 'no document can stand at this path'],
    ['document with an unknown field', [edit('/fleet/roles/engine-2', { role: 'mixed', rol: 1 })], 'rol']
  ])('refuses a change as invalid and adds only its outcome to the state: %s', (_name, edits, expected) => {
    const projection = createExampleProjection()
    const before = projection.snapshot()
    const outcome = projection.apply(changeRecord(2, edits))
    const recorded = projection.outcomeOf('harbour', 'change-2')
    expect(outcome.accepted ? 'accepted' : outcome.failure.kind).toBe('invalid_configuration')
    const problems = recorded?.kind === 'invalid' ? recorded.problems.map(({ path, problem }) => `${path}: ${problem}`) : []
    expect(problems.join('\n')).toContain(expected)
    expect(projection.snapshot()).toEqual({ ...before, outcomes: [...before.outcomes, expect.anything()] })
    expect(validateTree(rebuiltTreeOf(projection))).toEqual([])
  })

  test('accepts edits that are valid only together, and reports the problems of all edits of an invalid change', () => {
    const projection = createExampleProjection()
    const dependentEdits = [
      edit('/fleet/models/x', { versions: ['1'], defaultVersion: '1', contextTokens: 1 }),
      edit('/fleet/adapters/y', { model: 'x', version: '1' })
    ]
    expect(projection.apply(changeRecord(2, [...dependentEdits].reverse()))).toEqual({ accepted: true })
    projection.apply(changeRecord(3, [edit('/fleet/shares', { nobody: 1 }), edit('/fleet/roles/engine-9', { role: 'mixed' })]))
    expect(projection.outcomeOf('harbour', 'change-3')).toMatchObject({ kind: 'invalid', problems: [{}, {}] })
  })
})

describe('change records', () => {
  test.each<[string, unknown]>([
    ['no edits', []],
    ['two edits of one path', [edit('/fleet/roles/engine-2', null), edit('/fleet/roles/engine-2', null)]],
    ['a malformed path', [edit('fleet', {})]],
    ['a missing value', [{ path: '/fleet/shares', expectedVersion: 1 }]],
    ['a value nested too deeply', [edit('/teams/forum/settings/a', JSON.parse('['.repeat(33) + ']'.repeat(33)))]],
    ['too many edits', Array.from({ length: 1001 }, (_, index) => edit(`/teams/forum/settings/s${index}`, 1))]
  ])('refuses a record with %s and advances the through offset', (_name, edits) => {
    const projection = createExampleProjection()
    expect(projection.apply(changeRecord(2, edits as EditInput[]))).toMatchObject({ accepted: false, failure: { kind: 'bad_request' } })
    expect(projection.through).toBe(2)
  })

  test('the first of two concurrent changes is accepted; the conflict of the second has the version, author and value of the first', () => {
    const projection = createExampleProjection()
    projection.apply(changeRecord(2, [edit('/fleet/roles/engine-1', { role: 'decode' })]))
    const outcome = projection.apply(changeRecord(3, [edit('/fleet/roles/engine-1', { role: 'mixed' })], { author: 'other' }))
    expect(outcome).toMatchObject({ accepted: false, failure: { kind: 'conflict' } })
    expect(projection.outcomeOf('other', 'change-3')).toEqual({
      kind: 'conflict',
      changeId: 'change-3',
      author: 'other',
      offset: 3,
      count: 1,
      conflicts: [{ path: '/fleet/roles/engine-1', expectedVersion: 1, version: 2, author: 'harbour', value: { role: 'decode' } }]
    })
  })

  test('the failure of a change with 30 problems lists all; the stored outcome has the first 10 and the number 30', () => {
    const projection = createExampleProjection()
    const edits = Array.from({ length: 30 }, (_, index) => edit(`/fleet/roles/engine-${index + 10}`, { role: 'mixed' }))
    const outcome = projection.apply(changeRecord(2, edits))
    expect(outcome.accepted ? [] : outcome.failure.detail?.problems).toHaveLength(30)
    const storedOutcome = projection.outcomeOf('harbour', 'change-2')
    expect(storedOutcome?.kind === 'invalid' && [storedOutcome.problems.length, storedOutcome.count]).toEqual([10, 30])
  })

  test('a repeated change is applied once, also by a projection that was restored from a snapshot', () => {
    const projection = createExampleProjection()
    const paths: string[][] = []
    const setColour = [edit('/teams/forum/settings/colour', 'blue')]
    projection.apply(changeRecord(2, setColour, { changeId: 'same' }))
    projection.apply(changeRecord(3, [edit('/teams/forum/settings/colour', 'red', 2)]))
    const restored = new ConfigurationProjection()
    restored.restore(projection.snapshot(), projection.through)
    for (const replica of [projection, restored]) {
      replica.onChange(changed => paths.push(changed))
      expect(replica.apply(changeRecord(4, setColour, { changeId: 'same' }))).toEqual({ accepted: true })
      expect(replica.get('/teams/forum/settings/colour')).toMatchObject({ version: 3, value: 'red' })
      expect(replica.outcomeOf('harbour', 'same')).toMatchObject({ kind: 'accepted', offset: 2 })
      expect(replica.apply(changeRecord(5, [edit('/teams/forum/settings/x', 1)], { changeId: 'same' })))
        .toMatchObject({ accepted: false, failure: { kind: 'bad_request' } })
    }
    expect(paths).toEqual([])
  })

  test('a deleted path keeps its version, so that creating it with expected version 0 is not accepted', () => {
    const projection = createExampleProjection()
    projection.apply(changeRecord(2, [edit('/fleet/roles/engine-1', null)]))
    expect(projection.versionOf('/fleet/roles/engine-1')).toBe(2)
    expect(projection.apply(changeRecord(3, [edit('/fleet/roles/engine-1', { role: 'mixed' }, 0)]))).toMatchObject({ accepted: false })
    expect(projection.apply(changeRecord(4, [edit('/fleet/roles/engine-1', { role: 'mixed' }, 2)]))).toEqual({ accepted: true })
  })

  test('after 150 changes of a path, its history has the last 100', () => {
    const projection = createExampleProjection()
    const path = '/teams/forum/settings/counter'
    for (let offset = 2; offset < 152; offset += 1) {
      projection.apply(changeRecord(offset, [edit(path, offset, offset === 2 ? 0 : offset - 1)]))
    }
    expect(projection.historyOf(path).map(entry => entry.value)).toEqual(Array.from({ length: 100 }, (_, index) => 52 + index))
  })

  test('when the entries exceed the maximum total length, the history drops the entries that were superseded first', () => {
    const history = new ChangeHistory(10_000)
    for (let version = 1; version <= 30; version += 1) {
      const path = version % 2 === 0 ? '/even' : '/odd'
      history.add({ path, version: toOffset(version), changeId: 'c', author: 'a', at: 0, value: 'x'.repeat(898) })
    }
    expect(history.all().map(entry => entry.version)).toEqual([21, 22, 23, 24, 25, 26, 27, 28, 29, 30])
    expect(history.entriesOf('/even').map(entry => entry.version)).toEqual([22, 24, 26, 28, 30])
  })

  test.each<[string, unknown]>([
    ['a state that does not match the schema', { documents: 1 }],
    ['an invalid document', { documents: [{ ...sharesEntry, value: { a: 'x' } }], deleted: [], history: [], outcomes: [] }],
    ['a reference to a missing document', { documents: [{ ...sharesEntry, value: { a: 1 } }], deleted: [], history: [], outcomes: [] }]
  ])('refuses to restore a snapshot with %s and keeps the state', (_name, state) => {
    const projection = createExampleProjection()
    expect(projection.restore(state, toOffset(9)).isErr).toBe(true)
    expect(projection.through).toBe(1)
    expect(projection.get('/fleet/roles/engine-1')).toBeDefined()
  })

  test('restoring a snapshot calls the listeners with the paths that changed', () => {
    const [projection, outdatedProjection] = [createExampleProjection(), createExampleProjection()]
    const paths: string[][] = []
    outdatedProjection.onChange(changed => paths.push(changed))
    projection.apply(changeRecord(2, [edit('/fleet/roles/engine-1', null), edit('/fleet/roles/engine-2', { role: 'mixed' })]))
    outdatedProjection.restore(projection.snapshot(), projection.through)
    expect(paths.map(changed => changed.sort())).toEqual([['/fleet/roles/engine-1', '/fleet/roles/engine-2']])
  })
})

const names = fc.constantFrom('a', 'b', 'c')
const worker = fc.record({ id: names, zone: fc.constant('z'), address: names.map(name => `${name}:1`) })
const pools = fc.oneof(
  fc.record({ kind: fc.constant('engines'), workers: fc.array(worker, { maxLength: 2 }), models: fc.array(names, { minLength: 1, maxLength: 2 }) }),
  fc.record({ kind: fc.constant('service'), workers: fc.array(worker, { maxLength: 1 }), service: fc.constant({ routes: [] }) })
)
const token = names.map(name => ({ sha256: name.repeat(64) }))
const versions = fc.constantFrom('1', '2')
const documents: Array<[(name: string) => string, fc.Arbitrary<unknown>]> = [
  [name => `/fleet/models/${name}`, versions.map(version => ({ versions: [version], defaultVersion: version, contextTokens: 1 }))],
  [name => `/fleet/adapters/x${name}`, fc.record({ model: names, version: versions })],
  [name => `/fleet/adapters/${name}`, fc.record({ model: names, version: versions })],
  [name => `/fleet/pools/${name}`, pools],
  [name => `/fleet/roles/${name}`, fc.constant({ role: 'mixed' })],
  [() => '/fleet/shares', fc.dictionary(names, fc.constantFrom(20, 60), { maxKeys: 2 })],
  [name => `/teams/${name}/account`, fc.record({ owner: names, tokens: fc.array(token, { maxLength: 1 }) })],
  [name => `/teams/${name}/settings/limits`, fc.constant({ maxConcurrent: 1, requestsPerSecond: 1 })],
  [name => `/teams/${name}/settings/note`, fc.constantFrom('short', 'x'.repeat(16_300))]
]
const pathAndValue = fc.constantFrom(...documents).chain(([pathOf, value]) =>
  fc.record({ path: names.map(pathOf), value: fc.option(value, { freq: 4 }), stale: fc.integer({ min: 0, max: 9 }) }))
const changes = fc.array(fc.record({
  author: fc.constantFrom('left', 'right'),
  repeats: fc.integer({ min: 0, max: 4 }),
  edits: fc.uniqueArray(pathAndValue, { selector: ({ path }) => path, minLength: 1, maxLength: 3 })
}), { minLength: 30, maxLength: 60 })

describe('several projections of one stream (random edits, fixed seed)', () => {
  test('all projections reach the same decisions, also one restored from a snapshot, and incremental validation agrees with full validation', () => {
    const verdictCounts = { accepted: 0, conflict: 0, invalid_configuration: 0, bad_request: 0 }
    fc.assert(fc.property(changes, fc.integer({ min: 0, max: 60 }), (generatedChanges, snapshotAt) => {
      const replicas = [new ConfigurationProjection(), new ConfigurationProjection()]
      const [firstReplica] = replicas as [ConfigurationProjection]
      generatedChanges.forEach(({ author, repeats, edits }, index) => {
        if (index === snapshotAt) {
          const restored = new ConfigurationProjection()
          expect(restored.restore(JSON.parse(JSON.stringify(firstReplica.snapshot())), firstReplica.through).isOk).toBe(true)
          replicas.push(restored)
        }
        // One in ten edits expects a wrong version; one in five changes has the id of an earlier change.
        const versionedEdits = edits.map(({ path, value, stale }) => {
          const version = firstReplica.versionOf(path)
          return { path, value, expectedVersion: stale === 0 ? Math.abs(version - 1) : version }
        })
        const changeId = repeats === 0 ? 'change-1' : `change-${index + 1}`
        const expected = fullValidationVerdict(firstReplica, versionedEdits)
        const isRepeat = firstReplica.outcomeOf(author, changeId) !== undefined
        const outcomes = replicas.map(replica => replica.apply(changeRecord(index + 1, versionedEdits, { author, changeId })))
        const [decided] = outcomes
        const kind = decided?.accepted === true ? 'accepted' : decided?.failure.kind as keyof typeof verdictCounts
        verdictCounts[kind] += 1
        for (const outcome of outcomes) expect(outcome).toEqual(decided)
        if (!isRepeat) expect(kind).toBe(expected)
      })
      for (const replica of replicas) expect(replica.snapshot()).toEqual(firstReplica.snapshot())
    }), { seed: 20261204, numRuns: 50 })
    // The property is meaningful only if the generator reaches each verdict often.
    for (const count of Object.values(verdictCounts)) expect(count).toBeGreaterThan(100)
  })
})

/** The verdict on the edits by full validation of a copy of the tree. */
function fullValidationVerdict (projection: ConfigurationProjection, edits: EditInput[]): string {
  if (edits.some(({ path, expectedVersion }) => projection.versionOf(path) !== expectedVersion)) return 'conflict'
  const tree = rebuiltTreeOf(projection)
  for (const { path, value } of edits) {
    const checked = value === null ? undefined : checkDocument(path, value)
    if (checked?.valid === false) return 'invalid_configuration'
    const document = checked && {
      path, version: toOffset(0), changeId: 'c', author: 'a', at: 0, value: checked.value, length: JSON.stringify(checked.value).length
    }
    tree.put(path, document)
  }
  return validateTree(tree).length === 0 ? 'accepted' : 'invalid_configuration'
}

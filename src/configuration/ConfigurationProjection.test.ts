/**
 * Guards against hosts that decide alike changes differently, invalid configurations in force, changes that
 * are applied twice, incremental validation that misses what a full one finds, and snapshots that lose state.
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

interface PlainEdit { path: string, expectedVersion: number, value: unknown }

function changeRecord (offset: number, edits: PlainEdit[], change: { changeId?: string, author?: string } = {}): StreamRecord {
  return {
    offset: toOffset(offset),
    at: 0,
    value: {
      version: 1, kind: 'change', id: `record-${offset}`, changeId: `change-${offset}`, author: 'harbour', at: offset, basedOn: 0, ...change, edits
    }
  }
}

function exampleProjection (): ConfigurationProjection {
  const projection = new ConfigurationProjection()
  expect(projection.apply(changeRecord(1, exampleEdits))).toEqual({ accepted: true })
  return projection
}

function edit (path: string, value: unknown, expectedVersion = exampleConfiguration[path] === undefined ? 0 : 1): PlainEdit {
  return { path, expectedVersion, value }
}

function fullTreeOf (projection: ConfigurationProjection): ConfigurationTree {
  const tree = new ConfigurationTree()
  for (const document of projection.list('')) tree.put(document.path, document)
  return tree
}

const sharesEntry = { path: '/fleet/shares', version: 1, changeId: 'c', author: 'harbour', at: 0 }
const engines = exampleConfiguration['/fleet/pools/modelos-foro'] as { workers: Array<Record<string, unknown>> }
const forum = exampleConfiguration['/teams/forum/account'] as { tokens: unknown[] }

describe('validation', () => {
  test.each<[string, PlainEdit[], string]>([
    ['adapter of an unknown model', [edit('/fleet/adapters/a', { model: 'x', version: '1' })], 'unknown model "x"'],
    ['adapter of an unknown version', [edit('/fleet/adapters/a', { model: 'danio', version: '2' })], 'no version "2"'],
    ['adapter with the name of a model', [edit('/fleet/adapters/danio', { model: 'danio', version: '1' })], 'same name'],
    ['default version that is no version', [edit('/fleet/models/danio', { versions: ['1'], defaultVersion: '3', contextTokens: 1 })], 'defaultVersion "3"'],
    ['version dropped under an adapter', [edit('/fleet/models/carassius', { versions: ['1'], defaultVersion: '1', contextTokens: 1 })], 'no version "2"'],
    ['model deleted under a pool', [edit('/fleet/models/danio', null)], '/fleet/pools/modelos-foro: unknown model "danio"'],
    ['model with the name of an adapter', [edit('/fleet/models/tagging', { versions: ['1'], defaultVersion: '1', contextTokens: 1 })], 'same name'],
    ['pool of an unknown model', [edit('/fleet/pools/p', { kind: 'engines', workers: [], models: ['x'] })], 'unknown model "x"'],
    ['worker id twice in a pool', [edit('/fleet/pools/modelos-foro', { ...engines, workers: [engines.workers[0], { ...engines.workers[1], id: 'engine-1' }] })], '"engine-1" occurs more than once'],
    ['worker id in two pools', [edit('/fleet/pools/p', { kind: 'engines', models: ['danio'], workers: [{ id: 'engine-2', zone: 'z', address: '127.0.0.1:9' }] })], '"engine-2" is also in /fleet/pools/modelos-foro'],
    ['address in two pools', [edit('/fleet/pools/p', { kind: 'engines', models: ['danio'], workers: [{ id: 'e', zone: 'z', address: '127.0.0.1:7002' }] })], 'is also in'],
    ['role of an unknown worker', [edit('/fleet/roles/engine-9', { role: 'mixed' })], 'no engine pool has a worker "engine-9"'],
    ['role of a service worker', [edit('/fleet/roles/application-1', { role: 'mixed' })], 'service worker'],
    ['unknown role', [edit('/fleet/roles/engine-2', { role: 'speaker' })], 'role:'],
    ['worker removed under its role', [edit('/fleet/pools/modelos-foro', { ...engines, workers: [engines.workers[1]] })], 'no engine pool has a worker "engine-1"'],
    ['pool deleted under a role', [edit('/fleet/pools/modelos-foro', null)], 'no engine pool has a worker "engine-1"'],
    ['shares over 100', [edit('/fleet/shares', { forum: 60, harbour: 41 })], 'add up to 101'],
    ['share of an unknown team', [edit('/fleet/shares', { nobody: 1 })], 'unknown team "nobody"'],
    ['limits of an unknown team', [edit('/teams/nobody/settings/limits', { maxConcurrent: 1, requestsPerSecond: 1 })], 'unknown team "nobody"'],
    ['account without owner', [edit('/teams/x/account', { tokens: [] })], 'owner:'],
    ['token hash in two accounts', [edit('/teams/x/account', { owner: 'o', tokens: forum.tokens })], 'more than one account'],
    ['account deleted under its share', [edit('/teams/forum/account', null), edit('/teams/forum/settings/limits', null)], '/fleet/shares: unknown team "forum"'],
    ['account deleted under its settings', [edit('/teams/forum/account', null), edit('/fleet/shares', {})], 'unknown team "forum"'],
    ['settings too long', [edit('/teams/forum/settings/a', 'x'.repeat(9000)), edit('/teams/forum/settings/b', 'x'.repeat(9000))], 'at most 16384'],
    ['settings with long paths', Array.from({ length: 700 }, (_, index) => edit(`/teams/forum/settings/s${index}`, 1)), 'at most 16384'],
    ['unknown path', [edit('/fleet/nothing/x', {})], 'no document can stand'],
    ['unknown member', [edit('/fleet/roles/engine-2', { role: 'mixed', rol: 1 })], 'rol']
  ])('refuses: %s', (_name, edits, expected) => {
    const projection = exampleProjection()
    const before = projection.snapshot()
    const outcome = projection.apply(changeRecord(2, edits))
    const known = projection.outcomeOf('harbour', 'change-2')
    expect(outcome.accepted ? 'accepted' : outcome.failure.kind).toBe('invalid_configuration')
    const problems = known?.kind === 'invalid' ? known.problems.map(({ path, problem }) => `${path}: ${problem}`) : []
    expect(problems.join('\n')).toContain(expected)
    expect(projection.snapshot()).toEqual({ ...before, outcomes: [...before.outcomes, expect.anything()] })
    expect(validateTree(fullTreeOf(projection))).toEqual([])
  })

  test('accepts as a whole what is invalid in parts, and reports all problems at once', () => {
    const projection = exampleProjection()
    const together = [
      edit('/fleet/models/x', { versions: ['1'], defaultVersion: '1', contextTokens: 1 }),
      edit('/fleet/adapters/y', { model: 'x', version: '1' })
    ]
    expect(projection.apply(changeRecord(2, [...together].reverse()))).toEqual({ accepted: true })
    projection.apply(changeRecord(3, [edit('/fleet/shares', { nobody: 1 }), edit('/fleet/roles/engine-9', { role: 'mixed' })]))
    expect(projection.outcomeOf('harbour', 'change-3')).toMatchObject({ kind: 'invalid', problems: [{}, {}] })
  })
})

describe('change records', () => {
  test.each<[string, unknown]>([
    ['no edits', []],
    ['a path twice', [edit('/fleet/roles/engine-2', null), edit('/fleet/roles/engine-2', null)]],
    ['a malformed path', [edit('fleet', {})]],
    ['a missing value', [{ path: '/fleet/shares', expectedVersion: 1 }]],
    ['a value nested too deeply', [edit('/teams/forum/settings/a', JSON.parse('['.repeat(33) + ']'.repeat(33)))]],
    ['too many edits', Array.from({ length: 1001 }, (_, index) => edit(`/teams/forum/settings/s${index}`, 1))]
  ])('skips a record with %s', (_name, edits) => {
    const projection = exampleProjection()
    expect(projection.apply(changeRecord(2, edits as PlainEdit[]))).toMatchObject({ accepted: false, failure: { kind: 'bad_request' } })
    expect(projection.through).toBe(2)
  })

  test('the first of two racing changes wins; the loser learns version, author and value', () => {
    const projection = exampleProjection()
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

  test('the answer lists all problems, the kept outcome the first ones and their number', () => {
    const projection = exampleProjection()
    const edits = Array.from({ length: 30 }, (_, index) => edit(`/fleet/roles/engine-${index + 10}`, { role: 'mixed' }))
    const outcome = projection.apply(changeRecord(2, edits))
    expect(outcome.accepted ? [] : outcome.failure.detail?.problems).toHaveLength(30)
    const kept = projection.outcomeOf('harbour', 'change-2')
    expect(kept?.kind === 'invalid' && [kept.problems.length, kept.count]).toEqual([10, 30])
  })

  test('a repeated change is applied once, also after a restored snapshot', () => {
    const projection = exampleProjection()
    const paths: string[][] = []
    const set = [edit('/teams/forum/settings/colour', 'blue')]
    projection.apply(changeRecord(2, set, { changeId: 'same' }))
    projection.apply(changeRecord(3, [edit('/teams/forum/settings/colour', 'red', 2)]))
    const restored = new ConfigurationProjection()
    restored.restore(projection.snapshot(), projection.through)
    for (const reader of [projection, restored]) {
      reader.onChange(changed => paths.push(changed))
      expect(reader.apply(changeRecord(4, set, { changeId: 'same' }))).toEqual({ accepted: true })
      expect(reader.get('/teams/forum/settings/colour')).toMatchObject({ version: 3, value: 'red' })
      expect(reader.outcomeOf('harbour', 'same')).toMatchObject({ kind: 'accepted', offset: 2 })
      expect(reader.apply(changeRecord(5, [edit('/teams/forum/settings/x', 1)], { changeId: 'same' })))
        .toMatchObject({ accepted: false, failure: { kind: 'bad_request' } })
    }
    expect(paths).toEqual([])
  })

  test('a deleted path keeps its version, so that a stale creation loses', () => {
    const projection = exampleProjection()
    projection.apply(changeRecord(2, [edit('/fleet/roles/engine-1', null)]))
    expect(projection.versionOf('/fleet/roles/engine-1')).toBe(2)
    expect(projection.apply(changeRecord(3, [edit('/fleet/roles/engine-1', { role: 'mixed' }, 0)]))).toMatchObject({ accepted: false })
    expect(projection.apply(changeRecord(4, [edit('/fleet/roles/engine-1', { role: 'mixed' }, 2)]))).toEqual({ accepted: true })
  })

  test('history keeps the last 100 changes of a path', () => {
    const projection = exampleProjection()
    const path = '/teams/forum/settings/counter'
    for (let offset = 2; offset < 152; offset += 1) {
      projection.apply(changeRecord(offset, [edit(path, offset, offset === 2 ? 0 : offset - 1)]))
    }
    expect(projection.historyOf(path).map(entry => entry.value)).toEqual(Array.from({ length: 100 }, (_, index) => 52 + index))
  })

  test('history as a whole stays below its length and drops the oldest entries first', () => {
    const history = new ChangeHistory(10_000)
    for (let version = 1; version <= 30; version += 1) {
      const path = version % 2 === 0 ? '/even' : '/odd'
      history.add({ path, version: toOffset(version), changeId: 'c', author: 'a', at: 0, value: 'x'.repeat(898) })
    }
    expect(history.all().map(entry => entry.version)).toEqual([21, 22, 23, 24, 25, 26, 27, 28, 29, 30])
    expect(history.of('/even').map(entry => entry.version)).toEqual([22, 24, 26, 28, 30])
  })

  test.each<[string, unknown]>([
    ['another shape', { documents: 1 }],
    ['an invalid document', { documents: [{ ...sharesEntry, value: { a: 'x' } }], deleted: [], history: [], outcomes: [] }],
    ['a broken reference', { documents: [{ ...sharesEntry, value: { a: 1 } }], deleted: [], history: [], outcomes: [] }]
  ])('refuses a snapshot with %s and keeps its state', (_name, state) => {
    const projection = exampleProjection()
    expect(projection.restore(state, toOffset(9)).isErr).toBe(true)
    expect(projection.through).toBe(1)
    expect(projection.get('/fleet/roles/engine-1')).toBeDefined()
  })

  test('a restored snapshot tells the listeners the paths that differ', () => {
    const [projection, behind] = [exampleProjection(), exampleProjection()]
    const paths: string[][] = []
    behind.onChange(changed => paths.push(changed))
    projection.apply(changeRecord(2, [edit('/fleet/roles/engine-1', null), edit('/fleet/roles/engine-2', { role: 'mixed' })]))
    behind.restore(projection.snapshot(), projection.through)
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

describe('several readers (random edits, fixed seed)', () => {
  test('decide alike, whole or from a snapshot, and the incremental validation agrees with the full one', () => {
    const seen = { accepted: 0, conflict: 0, invalid_configuration: 0, bad_request: 0 }
    fc.assert(fc.property(changes, fc.integer({ min: 0, max: 60 }), (generated, snapshotAt) => {
      const readers = [new ConfigurationProjection(), new ConfigurationProjection()]
      const [first] = readers as [ConfigurationProjection]
      generated.forEach(({ author, repeats, edits }, index) => {
        if (index === snapshotAt) {
          const late = new ConfigurationProjection()
          expect(late.restore(JSON.parse(JSON.stringify(first.snapshot())), first.through).isOk).toBe(true)
          readers.push(late)
        }
        // One in ten edits is based on an old version, one in five changes repeats the identity of an earlier one.
        const based = edits.map(({ path, value, stale }) => {
          const version = first.versionOf(path)
          return { path, value, expectedVersion: stale === 0 ? Math.abs(version - 1) : version }
        })
        const changeId = repeats === 0 ? 'change-1' : `change-${index + 1}`
        const expected = fullVerdict(first, based)
        const isRepeat = first.outcomeOf(author, changeId) !== undefined
        const outcomes = readers.map(reader => reader.apply(changeRecord(index + 1, based, { author, changeId })))
        const [decided] = outcomes
        const kind = decided?.accepted === true ? 'accepted' : decided?.failure.kind as keyof typeof seen
        seen[kind] += 1
        for (const outcome of outcomes) expect(outcome).toEqual(decided)
        if (!isRepeat) expect(kind).toBe(expected)
      })
      for (const reader of readers) expect(reader.snapshot()).toEqual(first.snapshot())
    }), { seed: 20261204, numRuns: 50 })
    // The generator must reach every verdict often, or the property shows little.
    for (const count of Object.values(seen)) expect(count).toBeGreaterThan(100)
  })
})

/** The verdict by validation of a copy of the whole tree. */
function fullVerdict (projection: ConfigurationProjection, edits: PlainEdit[]): string {
  if (edits.some(({ path, expectedVersion }) => projection.versionOf(path) !== expectedVersion)) return 'conflict'
  const tree = fullTreeOf(projection)
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

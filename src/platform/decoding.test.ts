/**
 * Guards the decoders of the platform against routes that match too much, entries of other programs that are taken for
 * workers, delayed entries that restore a worker's earlier state, and records that extend beyond their page.
 */
import { describe, expect, test } from '@jest/globals'
import { decodeRouteConfiguration, RouteTable, chooseService } from './RouteConfiguration.js'
import { parseRecords } from './StoreClient.js'
import { configurationDocument } from './testing/platformTestSupport.js'
import { encodeRecords } from './testing/FakeStore.js'
import { decodeWorkerEntry, isOlder } from './WorkerEntry.js'

function createTable (routes: unknown[] = []): RouteTable {
  const decoded = decodeRouteConfiguration(Buffer.from(JSON.stringify(configurationDocument(3, { routes }))))
  if (decoded.isErr) throw new Error(decoded.error.message)
  return new RouteTable(decoded.value)
}

const inner = { name: 'inner', host: 'forum.example', 'path-prefix': '/reads/old/', kind: 'safe', 'timeout-ms': 900, service: 'app' }

describe('routes', () => {
  test.each([
    ['forum.example', '/reads/1', 'reads'],
    ['forum.example', '/reads/old/1', 'inner'],
    ['forum.example', '/reads/', 'reads'],
    ['FORUM.example:8080', '/reads/1', 'reads'],
    ['forum.example', '/reads', undefined],
    ['forum.example', '/reads-archive/', undefined],
    ['other.example', '/reads/1', undefined]
  ])('%s%s matches the route %s', (host, path, name) => {
    expect(createTable([inner]).find(host, path)?.name).toBe(name)
  })

  test.each([[0, 'a'], [0.89, 'a'], [0.91, 'b'], [0.999, 'b']])('a traffic split of 90 to 10 sends the fraction %d to service %s', (fraction, pool) => {
    const split = [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }]
    const route = createTable([{ ...inner, service: undefined, 'traffic-split': split }]).find('forum.example', '/reads/old/1')!
    expect(chooseService(route, fraction) as string).toBe(pool)
  })

  test.each(['', '{', '{"version":3}', '{"version":"3","routes":[],"services":[]}'])('the document "%s" is rejected as an invalid configuration', text => {
    const decoded = decodeRouteConfiguration(Buffer.from(text))
    expect(decoded.isErr && decoded.error.kind).toBe('invalid_configuration')
  })
})

describe('entries of workers', () => {
  const validEntry = { service: 'llm', address: '10.1.2.3:80', zone: 'zone-a', slots: 8, state: 'ready', stage: 'prefill', born: 5, sequence: 2 }
  const decode = (entry: unknown) => decodeWorkerEntry('i-1', Buffer.from(JSON.stringify(entry)))

  test('of a spot worker states so', () => {
    expect(decode({ ...validEntry, spot: true })).toMatchObject({ spot: true })
  })

  test('with all fields are decoded into a WorkerEntry', () => {
    expect(decode(validEntry)).toEqual({
      id: 'i-1', pool: 'llm', zone: 'zone-a', address: '10.1.2.3:80', leaving: false, role: 'prefill', slots: 8, startedAt: 5, report: 2, spot: false
    })
  })

  test.each([
    ['without an address', { ...validEntry, address: undefined }],
    ['with a host name as the address', { ...validEntry, address: 'worker.example:80' }],
    ['with a number as the service', { ...validEntry, service: 7 }],
    ['with an unknown state', { ...validEntry, state: 'resting' }],
    ['with an unknown stage', { ...validEntry, stage: 'both' }],
    ['that are lists', [validEntry]],
    ['that are null', null]
  ])('%s are rejected', (_name, entry) => {
    expect(decode(entry)).toBeUndefined()
  })

  // Guards against an entry of another writer whose number is so large that all later entries of the worker seem older.
  test.each(['born', 'sequence', 'slots'].flatMap(field =>
    ['1e400', '-1e400', '1e308', '9007199254740992', '9007199254740991', '-1', '1.5', '"1"', '"NaN"', 'null'].map(number => [number, field])
  ))('with %s as %s are rejected', (number, field) => {
    const text = JSON.stringify(validEntry).replace(/}$/, `,"${field}":${number}}`)
    expect(decodeWorkerEntry('i-1', Buffer.from(text))).toBeUndefined()
  })

  test.each([
    ['the same report', { ...validEntry }, false],
    ['a later report', { ...validEntry, sequence: 3 }, false],
    ['an earlier report', { ...validEntry, sequence: 1 }, true],
    ['a later start with fewer reports', { ...validEntry, born: 9, sequence: 1 }, false],
    ['an earlier start with more reports', { ...validEntry, born: 1, sequence: 50 }, true]
  ])('isOlder of an entry with %s returns %s', (_name, entry, older) => {
    expect(isOlder(decode(entry)!, decode(validEntry)!)).toBe(older)
  })
})

describe('urgency', () => {
  const routeOfRank = (rank: number) => ({ ...inner, name: `rank-${rank}`, 'path-prefix': `/rank-${rank}/`, kind: 'streaming', priority: rank })
  const fractions = [0, 0.2, 0.4, 0.6, 0.8, 0.999]
  const levels = (ranks: number[], rank: number): number[] => {
    const routes = createTable(ranks.map(routeOfRank))
    return fractions.map(fraction => routes.urgencyOf(routes.find('forum.example', `/rank-${rank}/x`)!, fraction))
  }

  test('of requests of one rank is spread over the levels of the rank', () => {
    expect(levels([0, 1, 2], 2)).toEqual([6, 6, 7, 7, 8, 8])
  })

  test.each([[[0, 1]], [[0, 1, 2]], [[0, 3, 9]]])('has lower levels for the requests of a rank than for those of any later rank (ranks %j)', ranks => {
    const levelsByRank = ranks.map(rank => levels(ranks, rank))
    for (const [index, later] of levelsByRank.slice(1).entries()) {
      expect(Math.min(...later)).toBeGreaterThan(Math.max(...levelsByRank[index]!))
    }
    expect(Math.max(...levelsByRank.flat())).toBeLessThanOrEqual(9)
  })
})

describe('records of a read', () => {
  const page = encodeRecords([{ key: 'a', value: '1' }, { key: 'b', value: undefined }], 9, 0)

  test('are parsed with their keys, deletions and the next offset', () => {
    expect(parseRecords(page, 7)).toEqual({
      records: [{ key: 'a', value: Buffer.from('1') }, { key: 'b', value: undefined }], next: 9
    })
  })

  test.each([1, 2, 5, 20])('are rejected as malformed if the last %d bytes are missing', missing => {
    expect(parseRecords(page.subarray(0, page.length - missing), 7)).toBeUndefined()
  })
})

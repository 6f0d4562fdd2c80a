/**
 * Guards the decoders at the edge of the adapter: routes that match too much, entries of other writers that are taken
 * for workers, delayed entries that bring a worker back, and records that run over their page.
 */
import { describe, expect, test } from '@jest/globals'
import { decodeRouteConfiguration, RouteTable, targetOf } from './RouteConfiguration.js'
import { parseRecords } from './StoreClient.js'
import { configurationDocument } from './testing/platformTestSupport.js'
import { encodeRecords } from './testing/FakeStore.js'
import { decodeWorkerEntry, isOlder } from './WorkerEntry.js'

function table (routes: unknown[] = []): RouteTable {
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
  ])('%s%s is route %s', (host, path, name) => {
    expect(table([inner]).find(host, path)?.name).toBe(name)
  })

  test.each([[0, 'a'], [0.89, 'a'], [0.91, 'b'], [0.999, 'b']])('a split at %d goes to %s', (fraction, pool) => {
    const split = [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }]
    const route = table([{ ...inner, service: undefined, 'traffic-split': split }]).find('forum.example', '/reads/old/1')!
    expect(targetOf(route, fraction) as string).toBe(pool)
  })

  test.each(['', '{', '{"version":3}', '{"version":"3","routes":[],"services":[]}'])('%s is no configuration', text => {
    const decoded = decodeRouteConfiguration(Buffer.from(text))
    expect(decoded.isErr && decoded.error.kind).toBe('invalid_configuration')
  })
})

describe('entries of workers', () => {
  const whole = { service: 'llm', address: '10.1.2.3:80', zone: 'zone-a', slots: 8, state: 'ready', stage: 'prefill', born: 5, sequence: 2 }
  const decode = (entry: unknown) => decodeWorkerEntry('i-1', Buffer.from(JSON.stringify(entry)))

  test('are decoded into what they hold', () => {
    expect(decode(whole)).toEqual({
      id: 'i-1', pool: 'llm', zone: 'zone-a', address: '10.1.2.3:80', leaving: false, role: 'prefill', startedAt: 5, report: 2
    })
  })

  test.each([
    ['without an address', { ...whole, address: undefined }],
    ['with a name for an address', { ...whole, address: 'worker.example:80' }],
    ['with a number for a service', { ...whole, service: 7 }],
    ['with an unknown state', { ...whole, state: 'resting' }],
    ['with an unknown stage', { ...whole, stage: 'both' }],
    ['that are lists', [whole]],
    ['that are null', null]
  ])('%s name no worker', (_name, entry) => {
    expect(decode(entry)).toBeUndefined()
  })

  test.each([
    ['the same report', { ...whole }, false],
    ['a later report', { ...whole, sequence: 3 }, false],
    ['an earlier report', { ...whole, sequence: 1 }, true],
    ['a new life with fewer reports', { ...whole, born: 9, sequence: 1 }, false],
    ['a former life with more reports', { ...whole, born: 1, sequence: 50 }, true]
  ])('%s: older is %s', (_name, entry, older) => {
    expect(isOlder(decode(entry)!, decode(whole)!)).toBe(older)
  })
})

describe('urgency', () => {
  const ranked = (rank: number) => ({ ...inner, name: `rank-${rank}`, 'path-prefix': `/rank-${rank}/`, kind: 'streaming', priority: rank })
  const fractions = [0, 0.2, 0.4, 0.6, 0.8, 0.999]
  const levels = (ranks: number[], rank: number): number[] => {
    const routes = table(ranks.map(ranked))
    return fractions.map(fraction => routes.urgencyOf(routes.find('forum.example', `/rank-${rank}/x`)!, fraction))
  }

  test('of requests of one rank is spread, so that not all of them are late together', () => {
    expect(levels([0, 1, 2], 2)).toEqual([6, 6, 7, 7, 8, 8])
  })

  test.each([[[0, 1]], [[0, 1, 2]], [[0, 3, 9]]])('never puts a request behind one of a later rank (%j)', ranks => {
    const all = ranks.map(rank => levels(ranks, rank))
    for (const [index, later] of all.slice(1).entries()) expect(Math.min(...later)).toBeGreaterThan(Math.max(...all[index]!))
    expect(Math.max(...all.flat())).toBeLessThanOrEqual(9)
  })
})

describe('records of a read', () => {
  const page = encodeRecords([{ key: 'a', value: '1' }, { key: 'b', value: undefined }], 9, 0)

  test('come back with their keys, deletions and the next offset', () => {
    expect(parseRecords(page, 7)).toEqual({
      records: [{ key: 'a', value: Buffer.from('1') }, { key: 'b', value: undefined }], next: 9
    })
  })

  test.each([1, 2, 5, 20])('without their last %d bytes are malformed, not shorter', missing => {
    expect(parseRecords(page.subarray(0, page.length - missing), 7)).toBeUndefined()
  })
})

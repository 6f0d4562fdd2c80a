/**
 * Guards against input from outside that makes a decoder of the platform throw, grow without limit or pass on what its
 * users cannot handle. Counterexamples that were found are kept as cases of their own.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import type { IncomingMessage } from 'node:http'
import { LineDecoder, encodeLine, maxLineBytes, schedulerRequestSchema } from '../placement/schedulerMessages.js'
import { decodeRequest } from './decodeRequest.js'
import { decodeRouteConfiguration, RouteTable } from './RouteConfiguration.js'
import { parseRecords } from './StoreClient.js'
import { encodeRecords } from './testing/FakeStore.js'
import { configurationDocument } from './testing/platformTestSupport.js'
import { decodeWorkerEntry } from './WorkerEntry.js'
import { headerNames, hopByHopHeaderNames, systemHeaderNames } from './WorkerProtocol.js'

const parameters = { seed: 20, numRuns: 1000 }

function createTable (): RouteTable {
  const decoded = decodeRouteConfiguration(Buffer.from(JSON.stringify(configurationDocument(3))))
  if (decoded.isErr) throw new Error(decoded.error.message)
  return new RouteTable(decoded.value)
}

type HeaderPair = [string, string]

/** A request as Node's HTTP server presents it, apart from its stream. */
function createMessage (pairs: HeaderPair[], url: string): IncomingMessage {
  const headers: Record<string, string> = Object.create(null) as Record<string, string>
  for (const [name, value] of pairs) {
    const key = name.toLowerCase()
    headers[key] = headers[key] === undefined ? value : `${headers[key]}, ${value}`
  }
  return { method: 'POST', url, headers, rawHeaders: pairs.flat() } as unknown as IncomingMessage
}

const routes = createTable()

function expectSound (pairs: HeaderPair[], url: string): void {
  const message = createMessage(pairs, url)
  const decoded = decodeRequest(message, { routes, now: 1000, hashToFraction: () => 0.5, isConfigurationCurrent: () => true })
  if (decoded.isErr) return
  const { call, route } = decoded.value
  expect(call.deadline).toBeGreaterThan(1000)
  expect(call.deadline).toBeLessThanOrEqual(1000 + route.timeoutMilliseconds)
  const connectionOptions = new Set((message.headers.connection ?? '').split(',').map(name => name.trim().toLowerCase()))
  const dropped = [hopByHopHeaderNames, systemHeaderNames, connectionOptions]
  const isForwarded = (name: string): boolean => dropped.every(names => !names.has(name))
  const sent = Object.entries(call.headers)
    .filter(([name]) => name !== headerNames.urgency)
    .flatMap(([name, value]) => [value].flat().map(item => [name, item]))
  const wanted = pairs.map(([name, value]) => [name.toLowerCase(), value]).filter(([name]) => isForwarded(name!))
  expect(sent.map(pair => JSON.stringify(pair)).sort()).toEqual(wanted.map(pair => JSON.stringify(pair)).sort())
  if (call.prompt === undefined) return
  const { promptTokens, promptBlocks, blockTokens = [] } = call.prompt
  expect(Number.isSafeInteger(promptTokens)).toBe(true)
  expect(promptBlocks).toHaveLength(blockTokens.length)
  const parts = promptBlocks.map((block, index) => [block, blockTokens[index]])
  const line = JSON.stringify({ kind: 'place', pool: call.pool, id: call.requestId, parts, due: call.startDueAt, lost: call.startLostAt })
  expect(schedulerRequestSchema.safeParse(JSON.parse(line)).success).toBe(true)
}

const tokens = fc.oneof(fc.nat().map(String), fc.constantFrom('', '-1', '1e999', 'NaN', '0x10', '1.5', ' 7', '99999999999999999999', 'x'))
const promptParts = fc.array(fc.tuple(fc.constantFrom('aa', 'b:c', '', 'é'), tokens).map(([id, count]) => `${id}:${count}`), { minLength: 1 })
const headerPair: fc.Arbitrary<HeaderPair> = fc.oneof(
  fc.tuple(fc.constantFrom('x-a', 'X-A', 'constructor', '__proto__', 'toString', 'connection', 'te', 'kv-fetch', 'cookie'), fc.constantFrom('a', '', 'x-a, te', 'é')),
  fc.tuple(fc.constant(headerNames.promptParts as string), promptParts.map(list => list.join(','))),
  fc.tuple(fc.constant(headerNames.remainingTime as string), tokens),
  fc.tuple(fc.constant(headerNames.model as string), fc.constantFrom('m', '', 'é'))
)

describe('a request', () => {
  test('never makes its decoder throw, and is passed on with its fields, a valid deadline and a valid prompt', () => {
    fc.assert(fc.property(fc.array(headerPair, { maxLength: 8 }), fc.constantFrom('/tags/1', '/reads/', '/', 'x', '/tags/?a=/b/'), (pairs, url) => {
      expectSound([['host', 'forum.example'], [headerNames.requestId, 'r1'], ...pairs], url)
    }), parameters)
  })

  test.each([
    ['a field named like a property of all objects', [['constructor', 'a']]],
    ['a field named like the prototype', [['__proto__', 'a']]],
    ['an infinite number of tokens', [[headerNames.promptParts, 'aa:1e999']]],
    ['a fraction of a token', [[headerNames.promptParts, 'aa:1.5']]]
  ] as Array<[string, HeaderPair[]]>)('with %s is passed on as valid', (_name, pairs) => {
    expectSound([['host', 'forum.example'], [headerNames.requestId, 'r1'], ...pairs], '/tags/1')
  })
})

/** A valid document with some of its values replaced by any others. */
function mutationsOf (document: unknown): fc.Arbitrary<unknown> {
  const replacement = fc.oneof(fc.jsonValue(), fc.constantFrom(0, -1, 1e300, '', null, [], {}))
  return fc.array(fc.tuple(fc.constantFrom(...pathsOf(document)), replacement), { maxLength: 3 })
    .map(changes => changes.reduce((changed, [path, value]) => replaceAt(changed, path, value), document))
}

function * pathsOf (value: unknown, path: string[] = []): Generator<string[]> {
  yield path
  if (typeof value !== 'object' || value === null) return
  for (const [key, item] of Object.entries(value)) yield * pathsOf(item, [...path, key])
}

function replaceAt (value: unknown, [key, ...rest]: string[], replacement: unknown): unknown {
  if (key === undefined) return replacement
  if (typeof value !== 'object' || value === null) return value
  const entries = Object.entries(value as Record<string, unknown>)
    .map(([name, item]) => [name, name === key ? replaceAt(item, rest, replacement) : item] as const)
  return Array.isArray(value) ? entries.map(([, item]) => item) : Object.fromEntries(entries)
}

const tenants = [{ name: 'kiosk', 'api-keys': ['k1', 'k2'], priority: 2 }, { name: 'press', 'api-keys': ['p1'] }]

const anyBytes = fc.uint8Array({ maxLength: 200 }).map(bytes => Buffer.from(bytes))
const encoded = (documents: fc.Arbitrary<unknown>): fc.Arbitrary<Buffer> => documents.map(document => Buffer.from(JSON.stringify(document) ?? ''))

test('a configuration never makes its decoder or the table of its routes throw', () => {
  const document = configurationDocument(3, { tenants })
  fc.assert(fc.property(fc.oneof(anyBytes, encoded(fc.jsonValue()), encoded(mutationsOf(document))), bytes => {
    const decoded = decodeRouteConfiguration(bytes)
    if (decoded.isErr) return expect(decoded.error.kind).toBe('invalid_configuration')
    const table = new RouteTable(decoded.value)
    for (const route of decoded.value.routes) {
      expect(table.urgencyOf(route, 0.5)).toBeGreaterThanOrEqual(0)
      table.find(route.host, `${route.pathPrefix}x`)
    }
  }), parameters)
})

const entry = { service: 'llm', address: '10.1.2.3:80', zone: 'zone-a', slots: 8, state: 'ready', stage: 'prefill', born: 5, sequence: 2 }

function expectUsable (bytes: Buffer): void {
  const worker = decodeWorkerEntry('i-1', bytes)
  if (worker === undefined) return
  expect(new URL(`http://${worker.address}`).hostname).toBe(worker.address.split(':')[0])
  expect(Number(worker.address.split(':')[1])).toBeGreaterThan(0)
  for (const value of [worker.slots, worker.startedAt, worker.report]) expect(Number.isFinite(value)).toBe(true)
}

describe('an entry of a worker', () => {
  test('never makes its decoder throw, and names a worker only with an address that can be used', () => {
    const octet = fc.constantFrom('0', '10', '255', '256', '999', '010')
    const address = fc.tuple(octet, octet, fc.constantFrom('0', '00', '80', '65535', '65536', '99999'))
      .map(([first, last, port]) => ({ ...entry, address: `${first}.1.2.${last}:${port}` }))
    const anyEntry = fc.oneof(anyBytes, encoded(fc.jsonValue()), encoded(mutationsOf(entry)), encoded(address))
    fc.assert(fc.property(anyEntry, expectUsable), parameters)
  })

  test.each(['999.1.2.3:80', '10.1.2.3:99999', '10.1.2.3:0', '010.1.2.3:80'])('with the address %s is rejected', address => {
    expect(decodeWorkerEntry('i-1', Buffer.from(JSON.stringify({ ...entry, address })))).toBeUndefined()
  })
})

describe('records of the store', () => {
  test('never make their parser throw, and hold no more bytes than were read', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 300 }), bytes => {
      const page = parseRecords(Buffer.from(bytes), 0)
      const size = page?.records.reduce((sum, { key, value }) => sum + Math.min(key.length, 255) + (value?.length ?? 0), 0) ?? 0
      expect(size).toBeLessThanOrEqual(bytes.length)
    }), parameters)
  })

  test('are parsed as they were written', () => {
    const record = fc.record({
      key: fc.string({ minLength: 1, maxLength: 20 }),
      value: fc.option(fc.string({ minLength: 1 }), { nil: undefined })
    })
    fc.assert(fc.property(fc.array(record, { maxLength: 10 }), records => {
      const page = parseRecords(encodeRecords(records, 50, 0), 40)
      const parsed = page?.records.map(({ key, value }) => ({ key, value: value?.toString() }))
      expect({ records: parsed, next: page?.next }).toEqual({ records, next: 40 + records.length })
    }), parameters)
  })
})

describe('messages between schedulers and hosts', () => {
  const place = fc.record({
    kind: fc.constant('place' as const),
    pool: fc.constant('llm'),
    id: fc.string({ minLength: 1, maxLength: 20, unit: 'binary' }),
    parts: fc.array(fc.tuple(fc.string({ unit: 'binary' }), fc.nat()), { maxLength: 5 }),
    due: fc.integer(),
    lost: fc.integer()
  })

  /** Decodes a message that arrives in the given pieces. */
  function decodePieces (bytes: Buffer, cuts: number[]): unknown[] {
    const decoder = new LineDecoder(schedulerRequestSchema)
    const positions = [0, ...cuts.map(cut => cut % (bytes.length + 1)).sort((left, right) => left - right), bytes.length]
    return positions.slice(1).flatMap((end, index) => decoder.add(bytes.subarray(positions[index], end)).unwrapOr([]))
  }

  test('are the same in whatever pieces they arrive', () => {
    fc.assert(fc.property(fc.array(place, { maxLength: 4 }), fc.array(fc.nat(1000), { maxLength: 8 }), (messages, cuts) => {
      const bytes = Buffer.from(messages.map(message => encodeLine(message as never)).join(''))
      expect(decodePieces(bytes, cuts)).toEqual(JSON.parse(JSON.stringify(messages)))
    }), parameters)
  })

  test('keep a character that arrives in two pieces', () => {
    const message = { kind: 'end', pool: 'llm', id: 'é', outcome: 'computed' } as const
    const bytes = Buffer.from(encodeLine(message as never))
    expect(decodePieces(bytes, [bytes.indexOf(0xC3) + 1])).toEqual([message])
  })

  test('never make the decoder throw or hold more than one line', () => {
    fc.assert(fc.property(fc.array(anyBytes, { maxLength: 5 }), pieces => {
      const decoder = new LineDecoder(schedulerRequestSchema)
      for (const piece of pieces) decoder.add(piece)
    }), parameters)
  })

  test.each([
    ['without an end', 'x'.repeat(maxLineBytes + 1)],
    ['with its end', `${'x'.repeat(maxLineBytes + 1)}\n`],
    ['in characters of two bytes', 'é'.repeat(maxLineBytes / 2 + 1)]
  ])('that are longer than a line may be, %s, are rejected', (_name, text) => {
    const added = new LineDecoder(schedulerRequestSchema).add(Buffer.from(text))
    expect(added.isErr && added.error.message).toContain('is longer than')
  })
})

/**
 * Guards against input from outside that makes a decoder of the platform throw, grow without limit or pass on what its
 * users cannot handle. Counterexamples that were found are kept as cases of their own.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import type { IncomingMessage } from 'node:http'
import { schedulerRequestSchema } from '../placement/schedulerMessages.js'
import { decodeRequest } from './decodeRequest.js'
import { decodeRouteConfiguration, RouteTable } from './RouteConfiguration.js'
import { configurationDocument } from './testing/platformTestSupport.js'
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
  const decoded = decodeRequest(message, { routes, now: 1000, hashToFraction: () => 0.5 })
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

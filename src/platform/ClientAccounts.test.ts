/**
 * Guards against requests without a known key that run, requests with one that are refused, keys that reach a worker or a
 * log line, accounts that callers state themselves, and invalid accounts that replace valid ones.
 */
import { afterEach, describe, expect, jest, test } from '@jest/globals'
import type { IncomingMessage } from 'node:http'
import type { Result } from 'true-myth'
import type { Failure } from '../common/index.js'
import { PromptScheduler } from '../placement/index.js'
import { decodeRequest } from './decodeRequest.js'
import { decodeRouteConfiguration, type RouteConfiguration, RouteTable } from './RouteConfiguration.js'
import { configurationDocument, type PlatformTest, RawCaller, requestHeaders, startPlatform, waitUntil } from './testing/platformTestSupport.js'

const open = { name: 'open', host: 'forum.example', 'path-prefix': '/open/', kind: 'safe', 'timeout-ms': 1000, priority: 1, service: 'app', anonymous: true }
const kiosk = { name: 'kiosk', 'api-keys': ['kiosk-1', 'clé à'], priority: 3 }
const press = { name: 'press', 'api-keys': ['press-1'] }
const documentOf = (version: number, tenants?: unknown) => configurationDocument(version, { routes: [open], tenants })

function valueOf<Value> (result: Result<Value, Failure>): Value {
  return result.unwrapOrElse(failed => { throw new Error(failed.message) })
}

function decode (tenants: unknown): RouteConfiguration {
  return valueOf(decodeRouteConfiguration(Buffer.from(JSON.stringify(documentOf(1, tenants)))))
}

describe('a configuration is refused', () => {
  test.each([
    ['with a key of two accounts', [kiosk, { ...press, 'api-keys': ['kiosk-1'] }], 'the accounts kiosk and press have the same key'],
    ['with an account without a list of keys', [{ name: 'press' }], 'at tenants[0]["api-keys"]'],
    ['with two accounts of one name', [kiosk, { ...press, name: 'kiosk' }], 'two accounts have the name kiosk'],
    ['with an empty key', [{ ...press, 'api-keys': ['press-1', ''] }], 'the key is empty'],
    ['with a name that would end the header field', [{ ...press, name: 'a\r\nx-b: c' }], 'must be visible ASCII'],
    ['with accounts that are no list', { kiosk }, 'tenants']
  ])('%s, with the reason and no key', (_name, tenants, reason) => {
    expect(() => decode(tenants)).toThrow(reason)
    expect(() => decode(tenants)).not.toThrow(/(kiosk|press)-1/)
  })

  test('as no JSON without quoting a key', () => {
    const decoded = decodeRouteConfiguration(Buffer.from('{"tenants":[{"api-keys":["kiosk-1",}]'))
    expect(decoded.isErr && decoded.error.message).toMatch(/^the configuration is not JSON: Unexpected token '?}'?/)
    expect(decoded.isErr && decoded.error.message).not.toContain('kiosk-1')
  })
})

describe('a request', () => {
  const latin1 = (text: string): string => Buffer.from(text).toString('latin1')
  const decodeFor = (tenants: unknown, path: string, authorization?: string, isCurrent = true) => {
    const pairs = Object.entries({ host: 'forum.example', ...requestHeaders('r1', { 'Dogwooddale-Tenant': 'forged' }) })
    if (authorization !== undefined) pairs.push(['Authorization', authorization])
    const headers = Object.fromEntries(pairs.map(([name, value]) => [name.toLowerCase(), value]))
    const message = { method: 'GET', url: path, headers, rawHeaders: pairs.flat() } as unknown as IncomingMessage
    const routes = new RouteTable(decode(tenants))
    return decodeRequest(message, { routes, now: 0, hashToFraction: () => 0, isConfigurationCurrent: () => isCurrent })
  }

  test.each([
    ['/reads/1', 'Bearer kiosk-1', 'kiosk', 3],
    ['/reads/1', latin1('bearer  clé à'), 'kiosk', 3],
    ['/reads/1', 'Bearer press-1', 'press', 0],
    ['/open/1', 'Bearer press-1', 'press', 1],
    ['/open/1', 'Bearer unknown', undefined, 1],
    ['/open/1', undefined, undefined, 1]
  ])('to %s with %s has the account %s and rank %d, without the key and a stated account', (path, authorization, account, rank) => {
    const { call } = valueOf(decodeFor([kiosk, press], path, authorization))
    expect([call.account, call.urgency]).toEqual([account, rank])
    expect(Object.keys(call.headers)).toEqual(['host', 'dogwooddale-request-id', 'dogwooddale-deadline-ms'])
  })

  // Guards against a configuration that is refused as a whole, with its other changes, since an account lost its last key.
  test('of an account that has lost all its keys is refused, and the other accounts are served', () => {
    const accounts = [{ ...kiosk, 'api-keys': [] }, press]
    const refused = decodeFor(accounts, '/reads/1', 'Bearer kiosk-1')
    expect(refused.isErr && refused.error.kind).toBe('unauthenticated')
    expect(valueOf(decodeFor(accounts, '/reads/1', 'Bearer press-1')).call.account).toBe('press')
  })

  test.each([
    ['Bearer unknown', true, 'unauthenticated'],
    ['Bearer unknown', false, 'not_ready'],
    ['Bearer kiosk-1x', true, 'unauthenticated'],
    ['Basic kiosk-1', false, 'unauthenticated'],
    ['Bearer ', true, 'unauthenticated'],
    [undefined, true, 'unauthenticated']
  ])('with %s while the configuration is current: %s, is refused as %s', (authorization, isCurrent, kind) => {
    const decoded = decodeFor([kiosk, press], '/reads/1', authorization, isCurrent)
    expect(decoded.isErr && decoded.error.kind).toBe(kind)
  })

  test('on a deployment without accounts needs no key and keeps its authorization', () => {
    const { call } = valueOf(decodeFor(undefined, '/reads/1', 'Bearer any'))
    expect(call.headers).toMatchObject({ authorization: 'Bearer any' })
    expect(call.headers).not.toHaveProperty('dogwooddale-tenant')
    expect(call.account).toBeUndefined()
  })
})

test('the urgency levels are distributed over the ranks of routes and accounts', () => {
  const table = new RouteTable(decode([kiosk, press]))
  expect([0, 1, 2, 3].map(rank => table.urgencyOf({ rank }, 0.99))).toEqual([1, 3, 5, 7])
})

describe('on a host', () => {
  let platform: PlatformTest | undefined

  afterEach(async () => {
    await platform?.stop()
    platform = undefined
  })

  const bearer = (key: string): Record<string, string> => ({ authorization: `Bearer ${key}`, 'dogwooddale-tenant': 'forged' })

  /** Repeats a request on new connections until it is answered with the status; changes reach the host at any time. */
  async function sendUntil (status: number, key: string): Promise<void> {
    for (let tries = 0; ; tries += 1) {
      const caller = await RawCaller.connect(platform!.host.addresses.callers)
      caller.send('GET', '/reads/1', requestHeaders(`${key}-${tries}`, bearer(key)))
      const response = await caller.readResponse()
      caller.socket.destroy()
      if (response.status === status) return
    }
  }

  test('a new version adds and removes keys on an open connection, also for a request whose body is incomplete', async () => {
    platform = await startPlatform({ appWorkers: 1, configuration: documentOf(1, [kiosk, press]) })
    const { host: { addresses: { callers } }, store, app: [worker] } = platform
    const [kept, slow] = [await RawCaller.connect(callers), await RawCaller.connect(callers)]
    await sendUntil(200, 'press-1')
    expect(worker!.requests[0]!.headers).toMatchObject({ 'dogwooddale-tenant': 'press' })
    expect(worker!.requests[0]!.headers).not.toHaveProperty('authorization')
    await sendUntil(401, 'kiosk-2')
    kept.send('GET', '/reads/1', requestHeaders('kept-1', bearer('kiosk-1')))
    expect((await kept.readResponse()).status).toBe(200)
    slow.socket.write('POST /votes/1 HTTP/1.1\r\nhost: forum.example\r\ndogwooddale-request-id: slow\r\nauthorization: Bearer kiosk-1\r\ncontent-length: 4\r\n\r\nye')
    await sendUntil(200, 'kiosk-1')
    store.write('keyed.op', 'config', documentOf(2, [kiosk, { ...press, 'api-keys': ['kiosk-1'] }]))
    store.write('keyed.op', 'config', documentOf(3, [{ ...kiosk, 'api-keys': ['kiosk-2'] }, press]))
    await sendUntil(200, 'kiosk-2')
    kept.send('GET', '/reads/1', requestHeaders('kept-2', bearer('kiosk-1')))
    expect((await kept.readResponse()).status).toBe(401)
    slow.socket.write('s!')
    expect(await slow.readResponse()).toMatchObject({ status: 401, headers: { 'www-authenticate': 'Bearer' } })
    expect(worker!.requests.map(({ method }) => method)).not.toContain('POST')
  })

  // Guards against fair shares that take all prompts for those of one account.
  test('the account of a prompt reaches the scheduler', async () => {
    const place = jest.spyOn(PromptScheduler.prototype, 'place')
    platform = await startPlatform({ configuration: documentOf(1, [kiosk]), hasPeers: true })
    const { host, store, models: [prefill] } = platform
    store.write('keyed.servers', prefill!.id, prefill!.createEntry('llm', { sequence: 2, stage: 'prefill' }))
    await waitUntil(() => host.workers().some(({ id, role }) => id === prefill!.id && role === 'prefill'))
    const prompt = { 'dogwooddale-prompt-prefix': 'aa:20,bb:10', ...bearer('kiosk-1') }
    for (let tries = 0; place.mock.calls.length === 0; tries += 1) {
      const caller = await RawCaller.connect(host.addresses.callers)
      caller.send('POST', '/tags/1', requestHeaders(`prompt-${tries}`, prompt), 'text')
      await caller.readResponse()
      caller.socket.destroy()
    }
    expect(place.mock.calls[0]![1].account).toBe('kiosk')
    place.mockRestore()
  })

  test('that has lost the store, a request with an unknown key is answered 503, and one with a known key is served', async () => {
    platform = await startPlatform({ configuration: documentOf(1, [kiosk]) })
    await sendUntil(401, 'unknown')
    platform.store.mode = 'refused'
    await sendUntil(503, 'unknown')
    await sendUntil(200, 'kiosk-1')
    platform.store.mode = 'normal'
    await sendUntil(401, 'unknown')
  })
})

/**
 * Guards against stand-ins of the log and the host list that deviate from the guarantees of the platform: tests of
 * other folders, which run against them, would then pass for the wrong reason.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { ManualClock, toOffset } from '../common/index.js'
import { HttpHostListClient, HttpLogClient, type ListedHost } from '../clients/index.js'
import { HostListStandIn } from './HostListStandIn.js'
import { LogStandIn } from './LogStandIn.js'
import type { FaultInput } from './Fault.js'

const cleanups: Array<() => Promise<void>> = []
afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup()
})

/** A manual clock with a promise that resolves at the first call of `sleep`. */
class SleepSignallingClock extends ManualClock {
  resolveFirstSleep = () => {}
  readonly firstSleep = new Promise<void>(resolve => { this.resolveFirstSleep = resolve })

  override sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    const slept = super.sleep(milliseconds, signal)
    this.resolveFirstSleep()
    return slept
  }
}

async function startLog (settings: Parameters<typeof LogStandIn.start>[0] = {}, clock = new ManualClock()) {
  const log = await LogStandIn.start(settings, { clock })
  const client = new HttpLogClient(log.origin)
  cleanups.push(() => log.stop(), () => client.close())
  const read = async (from: number, waitMilliseconds = 0) => {
    return (await client.read('leases', { from: toOffset(from), limit: 100, waitMilliseconds })).unwrapOrElse(failed => { throw new Error(failed.message) })
  }
  return { log, client, clock, read }
}

describe('LogStandIn', () => {
  test('assigns consecutive offsets from 1 to the records of each stream', async () => {
    const { client, read } = await startLog()
    const offsets = []
    for (const values of [['a'], ['b', 'c'], ['d']]) offsets.push((await client.append('leases', values)).unwrapOr(toOffset(0)))
    expect(offsets).toEqual([1, 2, 4])
    expect((await client.append('orders', ['x'])).unwrapOr(toOffset(0))).toBe(1)
    const page = await read(2)
    expect(page.records.map(({ offset, value }) => `${offset}${value}`)).toEqual(['2b', '3c', '4d'])
    expect(page).toMatchObject({ startOffset: 1, nextOffset: 5 })
  })

  test('drops records after the retention time and does not reuse their offsets', async () => {
    const { client, clock, read } = await startLog({ retentionSeconds: 10 })
    await client.append('leases', ['a', 'b'])
    await clock.advance(6000)
    await client.append('leases', ['c'])
    await clock.advance(5000)
    expect(await read(1)).toMatchObject({ startOffset: 3, nextOffset: 4, records: [{ offset: 3, value: 'c' }] })
    await clock.advance(10_000)
    expect(await read(1)).toMatchObject({ startOffset: 4, nextOffset: 4, records: [] })
    expect((await client.append('leases', ['d'])).unwrapOr(toOffset(0))).toBe(4)
  })

  test('rejects an append over the limit of 2 appends/s as overloaded and accepts one after half a second', async () => {
    const { client, clock } = await startLog({ appendsPerSecond: 2 })
    const accepted = []
    for (let call = 0; call < 3; call += 1) accepted.push((await client.append('leases', ['a'])).isOk)
    const rejectedAppend = await client.append('leases', ['a'])
    await clock.advance(500)
    accepted.push((await client.append('leases', ['a'])).isOk)
    expect(accepted).toEqual([true, true, false, true])
    expect(rejectedAppend.isErr && rejectedAppend.error.kind).toBe('overloaded')
  })

  test('answers a waiting read with the records of the next append', async () => {
    const { client, read } = await startLog()
    const waitingRead = read(1, 30_000)
    await client.append('leases', ['a'])
    expect((await waitingRead).records).toMatchObject([{ offset: 1, value: 'a' }])
  })

  test.each<[string, FaultInput, string, number]>([
    ['an outage that answers with status 503', { kind: 'outage' }, 'platform_unavailable', 0],
    ['an outage that closes connections', { kind: 'outage', mode: 'disconnect' }, 'outcome_unknown', 0],
    ['an outage that refuses connections', { kind: 'outage', mode: 'refused', durationMilliseconds: 1000 }, 'platform_unavailable', 0],
    ['a refusal before the effect', { kind: 'refuse' }, 'not_run', 0],
    ['a lost response', { kind: 'lose_answer' }, 'outcome_unknown', 1],
    ['a reset during the response', { kind: 'reset_after_bytes', bytes: 20 }, 'outcome_unknown', 1],
    ['a failure after the effect', { kind: 'refuse', when: 'after', status: 500 }, 'outcome_unknown', 1]
  ])('under %s, an append fails with the expected error and takes effect only if the fault applies afterwards', async (_name, fault, kind, stored) => {
    const { log, client, clock, read } = await startLog()
    log.addFault(fault)
    const appended = await client.append('leases', ['a'])
    log.clearFaults()
    await clock.advance(1000)
    expect(appended.isErr && appended.error.kind).toBe(kind)
    expect((await read(1)).records).toHaveLength(stored)
  })

  test('with a silent fault, an existing connection stays open without a response and a new one is served', async () => {
    const { log, client, read } = await startLog()
    await client.append('leases', ['a'])
    const controller = new AbortController()
    log.addFault({ kind: 'silent' })
    const silentAppend = client.append('leases', ['b'], controller.signal)
    const other = new HttpLogClient(log.origin)
    cleanups.push(() => other.close())
    const page = await other.read('leases', { from: toOffset(2), limit: 10, waitMilliseconds: 30_000 })
    expect(page.isOk && page.value.records).toHaveLength(1)
    controller.abort()
    expect((await silentAppend).isErr).toBe(true)
    expect((await read(1)).records).toHaveLength(2)
  })

  test('a fault with a count of 2 fails two calls, and /faults lists, rejects and clears faults', async () => {
    const { log, client } = await startLog()
    const faultsUrl = `${log.origin}/faults`
    const setResponse = await fetch(faultsUrl, { method: 'POST', body: JSON.stringify({ kind: 'refuse', method: 'POST', count: 2 }) })
    expect(await setResponse.json()).toEqual({ faults: [{ kind: 'refuse', method: 'POST', count: 2, status: 503, when: 'before' }] })
    const results = []
    for (let call = 0; call < 3; call += 1) results.push((await client.append('leases', ['a'])).isOk)
    expect(results).toEqual([false, false, true])
    expect(await (await fetch(faultsUrl)).json()).toEqual({ faults: [] })
    expect((await fetch(faultsUrl, { method: 'POST', body: '{"kind":"flood"}' })).status).toBe(400)
    expect(await (await fetch(faultsUrl, { method: 'DELETE' })).json()).toEqual({ faults: [] })
  })

  test('calls onCrash when a crash fault is set', async () => {
    const crashed = new Promise<void>(resolve => {
      LogStandIn.start({}, { onCrash: resolve }).then(log => log.addFault({ kind: 'crash' }), () => {})
    })
    await crashed
  })

  test('a drain ends a waiting read with no records', async () => {
    const clock = new SleepSignallingClock()
    const { log, read } = await startLog({}, clock)
    const waitingRead = read(1, 30_000)
    await clock.firstSleep
    await log.drain()
    expect((await waitingRead).records).toEqual([])
  })
})

describe('HostListStandIn', () => {
  const createHost = (incarnation: string, state: 'live' | 'leaving' = 'live') => ({
    hostId: 'guayaquil-a-1',
    incarnation,
    zone: 'guayaquil-a',
    region: 'costa',
    addresses: { callers: ['127.0.0.1:1'], administration: '127.0.0.1:2', peers: '127.0.0.1:3' },
    state
  }) as ListedHost
  const firstEntry = createHost('00000000000000aa')
  const secondEntry = createHost('00000000000000bb')

  async function startList (lagMilliseconds: number) {
    const clock = new ManualClock()
    const list = await HostListStandIn.start({ lagMilliseconds }, { clock })
    const client = new HttpHostListClient(list.origin)
    cleanups.push(() => list.stop(), () => client.close())
    const states = async () => {
      const seen = await client.read()
      return seen.isOk && seen.value !== 'unchanged' ? seen.value.hosts.map(({ incarnation, state }) => `${incarnation} ${state}`) : []
    }
    return { list, client, clock, states }
  }

  test.each<[string, (client: HttpHostListClient) => Promise<unknown>, string[]]>([
    ['an entry without a change', async () => {}, ['00000000000000aa live']],
    ['an entry registered again as leaving', client => client.register(createHost('00000000000000aa', 'leaving')), ['00000000000000aa leaving']],
    ['an entry replaced by a new incarnation', client => client.register(secondEntry), ['00000000000000bb live']],
    ['a removed entry', client => client.remove(firstEntry), []],
    ['an entry whose removal names another incarnation', client => client.remove(secondEntry), ['00000000000000aa live']]
  ])('%s: readers see the initial entry after the lag and the final state later', async (_name, act, expected) => {
    const { client, clock, states } = await startList(5000)
    await client.register(firstEntry)
    await clock.advance(3000)
    await act(client)
    expect(await states()).toEqual([])
    await clock.advance(2000)
    expect(await states()).toEqual(['00000000000000aa live'])
    await clock.advance(1_000_000)
    expect(await states()).toEqual(expected)
  })

  test('answers "unchanged" to a read with the current version and the list to one with an older version', async () => {
    const { client } = await startList(0)
    await client.register(firstEntry)
    expect((await client.read(1)).unwrapOr({ version: 0, hosts: [] })).toBe('unchanged')
    expect((await client.read(0)).unwrapOr('unchanged')).toMatchObject({ version: 1 })
  })

  test('under a lag fault, a read returns the earlier list, and the current one after the fault is cleared', async () => {
    const { list, client, clock, states } = await startList(0)
    await client.register(firstEntry)
    await clock.advance(1000)
    await client.remove(firstEntry)
    list.addFault({ kind: 'lag', milliseconds: 500 })
    expect(await states()).toEqual(['00000000000000aa live'])
    list.clearFaults()
    expect(await states()).toEqual([])
  })
})

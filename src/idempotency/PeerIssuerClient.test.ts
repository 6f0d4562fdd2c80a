/**
 * Guards against calls that cannot be sent to their issuer, and against `not_run` for a call that an earlier attempt
 * may have run.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type Failure, failure, type HostId, type Incarnation, ManualClock, type Pool, type Team } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { type PeerIdentity, PeerPool, PeerServer } from '../peers/index.js'
import type { OnceAnswer, OnceCall } from './IssuerClient.js'
import { onceAnswerMessageOf, PeerIssuerClient } from './PeerIssuerClient.js'

const issuer: PeerIdentity = { hostId: 'issuer' as HostId, incarnation: '00000000000000aa' as Incarnation }
const caller: PeerIdentity = { hostId: 'caller' as HostId, incarnation: '00000000000000bb' as Incarnation }
const call: OnceCall = {
  key: 'k',
  team: 't' as Team,
  pool: 'p' as Pool,
  method: 'POST',
  path: '/votes',
  headers: { 'content-type': 'application/json' },
  body: Buffer.from('{}'),
  // Timeouts can have fractions of milliseconds, since deadlines come from a clock that has them.
  timeoutMilliseconds: 4999.25
}

function silentLog (hybridClock: HybridClock): EventLog {
  return new EventLog({ timeline: new Timeline('test', hybridClock), level: 'error', write: () => {} })
}

const cleanups: Array<() => Promise<void>> = []
afterEach(async () => {
  for (const cleanUp of cleanups.splice(0)) await cleanUp()
})

async function createClient (result: Result<OnceAnswer, Failure>, incarnation = issuer.incarnation): Promise<PeerIssuerClient> {
  const hybridClock = new HybridClock(new ManualClock())
  const events = silentLog(hybridClock)
  const message = onceAnswerMessageOf(result)
  const handlers = { executeOnce: async () => Result.ok<typeof message, Failure>(message) }
  const started = await PeerServer.start({ identity: issuer, address: '127.0.0.1:0', handlers, hybridClock, events })
  if (started.isErr) throw new Error(started.error.message)
  const pool = new PeerPool({ identity: caller, hybridClock, events })
  cleanups.push(async () => {
    pool.close()
    await started.value.stop(0)
  })
  return new PeerIssuerClient(pool, async () => ({ hostId: issuer.hostId, incarnation, address: started.value.address }))
}

describe('PeerIssuerClient', () => {
  test('returns the response of the issuer', async () => {
    const client = await createClient(Result.ok({ status: 201, headers: { 'x-a': 'b' }, body: Buffer.from('done') }))
    const response = await client.execute(issuer.hostId, issuer.incarnation, call)
    expect(response.isOk && [response.value.status, response.value.headers['x-a'], Buffer.from(response.value.body).toString()])
      .toEqual([201, 'b', 'done'])
  })

  test.each(['not_run', 'conflict', 'outcome_unknown'] as const)('returns a failure of kind %s from the issuer', async kind => {
    const client = await createClient(Result.err(failure(kind, 'failure of the issuer')))
    const response = await client.execute(issuer.hostId, issuer.incarnation, call)
    expect(response.isErr && response.error.kind).toBe(kind)
  })

  test('returns outcome_unknown when another incarnation responds at the issuer\'s address', async () => {
    const client = await createClient(Result.ok({ status: 200, headers: {}, body: Buffer.alloc(0) }), '00000000000000cc' as Incarnation)
    const response = await client.execute(issuer.hostId, issuer.incarnation, call)
    expect(response.isErr && response.error.kind).toBe('outcome_unknown')
  })

  test.each<[string, () => Promise<{ hostId: HostId, address: string } | undefined>]>([
    ['is not known', async () => undefined],
    ['does not listen', async () => ({ hostId: issuer.hostId, address: '127.0.0.1:1' })]
  ])('returns outcome_unknown when the issuer %s', async (_name, lookup) => {
    const hybridClock = new HybridClock(new ManualClock())
    const pool = new PeerPool({ identity: caller, hybridClock, events: silentLog(hybridClock) })
    cleanups.push(async () => { pool.close() })
    const client = new PeerIssuerClient(pool, lookup)
    const response = await client.execute(issuer.hostId, issuer.incarnation, { ...call, timeoutMilliseconds: 500 })
    expect(response.isErr && response.error.kind).toBe('outcome_unknown')
  })
})

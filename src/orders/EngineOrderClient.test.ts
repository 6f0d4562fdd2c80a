/**
 * Guards against a client that misreads an engine's responses: an order that was refused, repeated or not
 * received must not be taken for one that was carried out, nor the other way round.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import type { FencingNumber, Incarnation, WorkerId } from '../common/index.js'
import { EngineStandIn } from '../standins/index.js'
import { type EngineTarget, HttpEngineOrderClient, type OrderMessage } from './EngineOrderClient.js'

const client = new HttpEngineOrderClient()
let engine: EngineStandIn | undefined

afterEach(async () => {
  await client.close()
  await engine?.stop()
  engine = undefined
})

async function start (): Promise<{ target: EngineTarget, message: OrderMessage }> {
  engine = await EngineStandIn.start({ checksFencing: true, timeScale: 0.001 })
  const target = { worker: 'engine-1' as WorkerId, address: new URL(engine.origin).host, checksFencing: true }
  const state = await client.state(target)
  const engineIncarnation = state.isOk ? state.value.incarnation : '' as Incarnation
  const message = { orderId: 'a', fencingNumber: 7 as FencingNumber, order: { kind: 'change_role', role: 'decode' } as const, engineIncarnation }
  return { target, message }
}

describe('HttpEngineOrderClient', () => {
  test('sends an order and reads the resulting state', async () => {
    const { target, message } = await start()
    const sent = await client.send(target, message)
    expect(sent.isOk).toBe(true)
    for (;;) {
      const state = await client.state(target)
      if (state.isErr) throw new Error(state.error.message)
      if (state.value.runningOrderId !== null) continue
      expect(state.value).toMatchObject({ role: 'decode', lastOrderId: 'a', greatestFencingNumber: 7 })
      break
    }
  })

  test.each([
    ['an older fencing number', { fencingNumber: 6 as FencingNumber, orderId: 'b' }, 'lost_authority'],
    ['another incarnation', { engineIncarnation: 'f'.repeat(16) as Incarnation, orderId: 'b' }, 'wrong_incarnation'],
    ['an unknown kind of order', { order: { kind: 'explode' } as never, orderId: 'b' }, 'bad_request']
  ])('returns the failure kind of the engine for %s', async (_name, change, kind) => {
    const { target, message } = await start()
    await client.send(target, { ...message, order: { kind: 'fence' } })
    const sent = await client.send(target, { ...message, ...change })
    expect(sent.isErr && sent.error.kind).toBe(kind)
  })

  test('returns not_run for an order and upstream_failed for a state read if the engine\'s port is closed', async () => {
    const { target, message } = await start()
    await engine?.stop()
    engine = undefined
    await client.close()
    const sent = await client.send(target, message)
    const state = await client.state(target)
    expect([sent.isErr && sent.error.kind, state.isErr && state.error.kind]).toEqual(['not_run', 'upstream_failed'])
  })

  test('returns outcome_unknown when the response to an order is lost', async () => {
    const { target, message } = await start()
    await fetch(`${engine?.origin}/faults`, { method: 'POST', body: JSON.stringify({ kind: 'lose_answer', path: '/orders' }) })
    const sent = await client.send(target, message)
    expect(sent.isErr && sent.error.kind).toBe('outcome_unknown')
  })
})

/**
 * Guards against calls without a time limit after a garbage collection, which drops a timeout that nothing refers to.
 */
import { expect, test } from '@jest/globals'
import { collectGarbage } from './testing/collectGarbage.js'
import { timeoutSignal } from './timeoutSignal.js'

/** Resolves with the name of the reason for which a signal aborts; keeps no reference to the signal. */
async function reasonOf (createSignal: () => AbortSignal): Promise<string> {
  return await new Promise(resolve => {
    const signal = createSignal()
    signal.addEventListener('abort', event => { resolve(((event.target as AbortSignal).reason as Error).name) }, { once: true })
  })
}

test.each([
  ['alone', () => timeoutSignal(100)],
  ['beside another signal', () => timeoutSignal(100, new AbortController().signal)]
])('a timeout %s ends after a garbage collection', async (_name, createSignal) => {
  const reason = reasonOf(createSignal)
  await collectGarbage()
  expect(await reason).toBe('TimeoutError')
})

test('a signal beside the timeout ends it at once', async () => {
  const controller = new AbortController()
  const signal = timeoutSignal(60_000, controller.signal)
  controller.abort()
  expect(signal.aborted).toBe(true)
})

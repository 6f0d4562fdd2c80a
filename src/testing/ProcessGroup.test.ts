/**
 * Guards against processes that are used before they listen, that fail to start without an error, or that keep
 * running after their test.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { toOffset } from '../common/index.js'
import { HttpLogClient } from '../clients/index.js'
import { ProcessGroup, settingsTextOf } from './ProcessGroup.js'

const group = new ProcessGroup()
afterEach(() => group.stopAll())

const logOptions = { name: 'log', command: ['stand-in', 'log'], settings: { retentionSeconds: 60 } }

describe('ProcessGroup', () => {
  test('starts a process, pauses and resumes it, and terminates it with exit status 0', async () => {
    const started = await group.start(logOptions)
    const client = new HttpLogClient(started.origin())
    expect((await client.append('leases', ['a'])).unwrapOr(toOffset(0))).toBe(1)
    started.pause()
    const appended = client.append('leases', ['b'])
    started.resume()
    expect((await appended).unwrapOr(toOffset(0))).toBe(2)
    await client.close()
    expect(await started.terminate()).toEqual({ code: 0, signal: null })
    expect(group.running()).toEqual([])
  })

  test('starts another process under the name of a killed one, but not under that of a running one', async () => {
    const first = await group.start(logOptions)
    expect(await first.kill()).toEqual({ code: null, signal: 'SIGKILL' })
    const second = await group.start(logOptions)
    expect(second.pid).not.toBe(first.pid)
    await expect(group.start(logOptions)).rejects.toThrow('is already running')
  })

  test('waiting for a log line rejects if the process exits without it', async () => {
    const started = await group.start(logOptions)
    const missingLine = started.waitForLogLine(/never/)
    await started.kill()
    await expect(missingLine).rejects.toThrow('"log" exited without a log line that matches /never/')
  })

  test('a failed start rejects with the reason that the process printed', async () => {
    await expect(group.start({ ...logOptions, settings: { retentionSecond: 60 } }))
      .rejects.toThrow('retention_second: found an unknown key; allowed: did you mean "retention_seconds"?')
  })

  test('stopAll ends running and paused processes', async () => {
    const started = await Promise.all(['log-1', 'log-2'].map(name => group.start({ ...logOptions, name })))
    started[0]?.pause()
    await group.stopAll()
    expect(started.map(({ isRunning }) => isRunning)).toEqual([false, false])
  })

  test.each([
    ['engine', { models: [{ model: 'carassius' }], timeScale: 0.01 }],
    ['service', { processingMilliseconds: 1 }],
    ['host-list', { lagMilliseconds: 100 }],
    ['weight-store', { otherBytes: 10 }]
  ])('starts the %s stand-in and terminates it with exit status 0', async (kind, settings) => {
    const started = await group.start({ name: kind, command: ['stand-in', kind], settings })
    expect((await fetch(`${started.origin()}/faults`)).status).toBe(200)
    expect(await started.terminate()).toEqual({ code: 0, signal: null })
  })

  test('a stand-in with the fault "crash" exits with status 1', async () => {
    const started = await group.start(logOptions)
    await fetch(`${started.origin()}/faults`, { method: 'POST', body: '{"kind":"crash"}' }).catch(() => {})
    expect(await started.exited).toEqual({ code: 1, signal: null })
  })
})

test('settingsTextOf writes nested tables with snake_case keys and omits undefined members', () => {
  const text = settingsTextOf({ listen: '127.0.0.1:0', logLevel: undefined, peerTls: { keyFile: 'k', list: [{ aB: 1 }] } })
  expect(text.trim().split(/\n+/)).toEqual(['listen = "127.0.0.1:0"', '[peer_tls]', 'key_file = "k"', '[[peer_tls.list]]', 'a_b = 1'])
})

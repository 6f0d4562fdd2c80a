/**
 * Guards against processes that are used before they listen, whose failure to start goes unseen, or that
 * outlive their test.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { toOffset } from '../common/index.js'
import { HttpLogClient } from '../clients/index.js'
import { ProcessGroup, settingsTextOf } from './ProcessGroup.js'

const group = new ProcessGroup()
afterEach(() => group.stopAll())

const log = { name: 'log', command: ['stand-in', 'log'], settings: { retentionSeconds: 60 } }

describe('ProcessGroup', () => {
  test('starts, pauses, resumes and terminates a process', async () => {
    const started = await group.start(log)
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

  test('kills a process and starts another under its name', async () => {
    const first = await group.start(log)
    expect(await first.kill()).toEqual({ code: null, signal: 'SIGKILL' })
    const second = await group.start(log)
    expect(second.pid).not.toBe(first.pid)
    await expect(group.start(log)).rejects.toThrow('is running')
  })

  test('waits for log lines', async () => {
    const started = await group.start(log)
    const never = started.logLine(/never/)
    await started.kill()
    await expect(never).rejects.toThrow('"log" ended without a log line like /never/')
  })

  test('tells why a process did not start', async () => {
    await expect(group.start({ ...log, settings: { retentionSecond: 60 } }))
      .rejects.toThrow('retention_second: found an unknown key; allowed: did you mean "retention_seconds"?')
  })

  test('stops paused processes too and leaves no file', async () => {
    const started = await Promise.all(['log-1', 'log-2'].map(name => group.start({ ...log, name })))
    started[0]?.pause()
    await group.stopAll()
    expect(started.map(({ isRunning }) => isRunning)).toEqual([false, false])
  })

  test.each([
    ['engine', { models: [{ model: 'carassius' }], timeScale: 0.01 }],
    ['service', { processingMilliseconds: 1 }],
    ['host-list', { lagMilliseconds: 100 }],
    ['weight-store', { otherBytes: 10 }]
  ])('starts the stand-in %s', async (kind, settings) => {
    const started = await group.start({ name: kind, command: ['stand-in', kind], settings })
    expect((await fetch(`${started.origin()}/faults`)).status).toBe(200)
    expect(await started.terminate()).toEqual({ code: 0, signal: null })
  })

  test('a crash ends the process', async () => {
    const started = await group.start(log)
    await fetch(`${started.origin()}/faults`, { method: 'POST', body: '{"kind":"crash"}' }).catch(() => {})
    expect(await started.exited).toEqual({ code: 1, signal: null })
  })
})

test('settingsTextOf writes nested tables in snake case', () => {
  const text = settingsTextOf({ listen: '127.0.0.1:0', logLevel: undefined, peerTls: { keyFile: 'k', list: [{ aB: 1 }] } })
  expect(text.trim().split(/\n+/)).toEqual(['listen = "127.0.0.1:0"', '[peer_tls]', 'key_file = "k"', '[[peer_tls.list]]', 'a_b = 1'])
})

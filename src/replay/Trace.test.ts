/**
 * Guards against traces that are read with silent mistakes, and against generators that are not repeatable.
 */
import { describe, expect, test } from '@jest/globals'
import { type ModelArrival, parseTrace, promptOf } from './Trace.js'
import { generateTrace, profileOf } from './TraceGenerator.js'

const header = '{"kind":"trace","version":1,"name":"t","durationMilliseconds":10}'
const call = (at: number): string =>
  `{"kind":"service","at":${at},"team":"foro","timeoutMilliseconds":5,"idempotent":true,"pool":"app","method":"GET","path":"/x"}`

describe('parseTrace', () => {
  test('reads a trace', () => {
    const trace = parseTrace(`${header}\n${call(1)}\n${call(2)}\n`)
    expect(trace.isOk && trace.value.entries.length).toBe(2)
  })

  test.each([
    ['no header', call(1), 'line 1'],
    ['newer version', header.replace('"version":1', '"version":2'), 'line 1'],
    ['malformed line', `${header}\n{`, 'line 2'],
    ['times that go back', `${header}\n${call(5)}\n${call(4)}`, 'line 3'],
    ['unknown member', `${header}\n${call(1).replace('"at"', '"extra":1,"at"')}`, 'line 2']
  ])('refuses %s', (_name, text, place) => {
    const trace = parseTrace(text)
    expect(trace.isErr && trace.error.message).toContain(place)
  })
})

describe('generateTrace', () => {
  test.each(['acuarios', 'kontenerowo'] as const)('%s: the seed decides the trace', name => {
    const profile = profileOf(name, 20_000)
    expect(generateTrace(profile, 1)).toEqual(generateTrace(profile, 1))
    expect(generateTrace(profile, 1)).not.toEqual(generateTrace(profile, 2))
  })

  test.each(['acuarios', 'kontenerowo'] as const)('%s: the mix alternates between long and short prompts', name => {
    const profile = profileOf(name, 60_000)
    const models = generateTrace(profile, 3).entries.filter((entry): entry is ModelArrival => entry.kind === 'model')
    const meanPrompt = (from: number): number => {
      const phase = models.filter(entry => entry.at >= from && entry.at < from + profile.phaseMilliseconds)
      return phase.reduce((sum, entry) => sum + entry.promptTokens, 0) / phase.length
    }
    expect(meanPrompt(0)).toBeGreaterThan(5 * meanPrompt(profile.phaseMilliseconds))
  })
})

describe('promptOf', () => {
  test('requests of one topic share exactly the prefix', () => {
    const arrival = { promptTokens: 5, prefixTokens: 3, prefix: 'topic1' } as ModelArrival
    const first = promptOf(arrival, 1).split(' ')
    const second = promptOf(arrival, 2).split(' ')
    expect(first.length).toBe(5)
    expect(first.map((word, index) => word === second[index])).toEqual([true, true, true, false, false])
  })
})

/**
 * Guards against malformed traces that are accepted, and against traces that their seed does not reproduce.
 */
import { describe, expect, test } from '@jest/globals'
import { type ModelArrival, parseTrace, promptOf } from './Trace.js'
import { generateTrace, profileOf } from './TraceGenerator.js'

const header = '{"kind":"trace","version":1,"name":"t","durationMilliseconds":10}'
const serviceCallLine = (at: number): string =>
  `{"kind":"service","at":${at},"team":"foro","timeoutMilliseconds":5,"idempotent":true,"pool":"app","method":"GET","path":"/x"}`

describe('parseTrace', () => {
  test('reads a header and its entries', () => {
    const trace = parseTrace(`${header}\n${serviceCallLine(1)}\n${serviceCallLine(2)}\n`)
    expect(trace.isOk && trace.value.entries.length).toBe(2)
  })

  test.each([
    ['a trace without a header', serviceCallLine(1), 'line 1'],
    ['a newer version', header.replace('"version":1', '"version":2'), 'line 1'],
    ['a malformed line', `${header}\n{`, 'line 2'],
    ['an entry that is earlier than the entry before it', `${header}\n${serviceCallLine(5)}\n${serviceCallLine(4)}`, 'line 3'],
    ['an entry with an unknown member', `${header}\n${serviceCallLine(1).replace('"at"', '"extra":1,"at"')}`, 'line 2']
  ])('refuses %s and names the line', (_name, text, lineNumber) => {
    const trace = parseTrace(text)
    expect(trace.isErr && trace.error.message).toContain(lineNumber)
  })
})

describe('generateTrace', () => {
  test.each(['acuarios', 'kontenerowo'] as const)('%s: the same seed gives the same trace, another seed a different one', name => {
    const profile = profileOf(name, 20_000)
    expect(generateTrace(profile, 1)).toEqual(generateTrace(profile, 1))
    expect(generateTrace(profile, 1)).not.toEqual(generateTrace(profile, 2))
  })

  test.each(['acuarios', 'kontenerowo'] as const)('%s: prompts of the prefill phase are more than 5 times as long as those of the decode phase', name => {
    const profile = profileOf(name, 60_000)
    const modelArrivals = generateTrace(profile, 3).entries
      .filter((entry): entry is ModelArrival => entry.kind === 'model')
    const meanPromptTokens = (phaseStart: number): number => {
      const phaseArrivals = modelArrivals
        .filter(entry => entry.at >= phaseStart && entry.at < phaseStart + profile.phaseMilliseconds)
      return phaseArrivals.reduce((sum, entry) => sum + entry.promptTokens, 0) / phaseArrivals.length
    }
    expect(meanPromptTokens(0)).toBeGreaterThan(5 * meanPromptTokens(profile.phaseMilliseconds))
  })
})

describe('promptOf', () => {
  test('two requests with the same prefix share its tokens and no others', () => {
    const arrival = { promptTokens: 5, prefixTokens: 3, prefix: 'topic1' } as ModelArrival
    const first = promptOf(arrival, 1).split(' ')
    const second = promptOf(arrival, 2).split(' ')
    expect(first.length).toBe(5)
    expect(first.map((word, index) => word === second[index])).toEqual([true, true, true, false, false])
  })
})

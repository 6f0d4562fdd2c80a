/**
 * Guards against events that are joined, cut or lost when their line ends are not LF or their bytes arrive in other
 * pieces, and against workers that send an event without an end.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { maxEventBytes } from './EventScanner.js'
import { EventSplitter, type StreamEvent } from './EventSplitter.js'

function split (pieces: Uint8Array[]): { events: StreamEvent[], isInsideEvent: boolean } {
  const splitter = new EventSplitter()
  return { events: pieces.flatMap(piece => splitter.add(piece)), isInsideEvent: splitter.isInsideEvent }
}

describe('an event stream', () => {
  test.each([
    ['LF', 'id: 1\ndata: a\n\nid: 2\n\n', ['id: 1\ndata: a\n\n', 'id: 2\n\n'], ['1', '2'], false],
    ['CRLF', 'id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n', ['id: 1\r\ndata: a\r\n\r\n', 'id: 2\r\n\r\n'], ['1', '2'], false],
    ['CR', 'id: 1\rdata: a\r\rid: 2\r\r', ['id: 1\rdata: a\r\r', 'id: 2\r\r'], ['1', '2'], false],
    ['LF and an empty line more', 'id: 1\n\n\nid: 2\n\n', ['id: 1\n\n', '\n', 'id: 2\n\n'], ['1', undefined, '2'], false],
    ['LF and a comment between events', 'id: 1\n\n: wait\nid: 2\n\n', ['id: 1\n\n', ': wait\n', 'id: 2\n\n'], ['1', undefined, '2'], false],
    ['LF and a comment in an event', 'id: 1\n: wait\ndata: a\n\n', ['id: 1\n: wait\ndata: a\n\n'], ['1'], false],
    ['LF, ending after a single line end', 'id: 1\n\nid: 2\n', ['id: 1\n\n'], ['1'], true],
    ['CRLF, ending before the last LF', 'id: 1\r\n\r', [], [], true],
    ['CRLF, ending after a single line end', 'id: 1\r\n', [], [], true],
    ['LF, ending inside a comment', 'id: 1\n\n: wa', ['id: 1\n\n'], ['1'], true],
    ['no bytes', '', [], [], false]
  ] as Array<[string, string, string[], Array<string | undefined>, boolean]>)('with %s is split into its events', (_name, text, parts, ids, isInsideEvent) => {
    const { events, isInsideEvent: endsInsideEvent } = split([Buffer.from(text)])
    expect(events.map(({ bytes }) => bytes.toString())).toEqual(parts)
    expect(events.map(({ id }) => id)).toEqual(ids)
    expect(endsInsideEvent).toBe(isInsideEvent)
  })

  test.each(['\n', '\r', '\r\n'])('with line ends %j gives each event as soon as it is complete', lineEnd => {
    const event = `id: 1${lineEnd}data: a${lineEnd}${lineEnd}`
    const splitter = new EventSplitter()
    for (let count = 0; count < 3; count += 1) {
      expect(splitter.add(Buffer.from(event)).map(({ bytes }) => bytes.toString())).toEqual([event])
    }
  })

  test('gives the same events and loses no byte, whatever pieces it arrives in', () => {
    const part = fc.constantFrom('\n', '\r', '\r\n', ':', 'id: 7', 'data: x', ': wait', '\u00E9', 'id:', ' ')
    fc.assert(fc.property(fc.array(part, { maxLength: 40 }), fc.array(fc.nat(80), { maxLength: 12 }), (parts, cuts) => {
      const bytes = Buffer.from(parts.join(''))
      const positions = [0, ...cuts.map(cut => Math.min(cut, bytes.length)).sort((a, b) => a - b), bytes.length]
      const pieces = positions.slice(1).map((end, index) => bytes.subarray(positions[index], end))
      const whole = split([bytes])
      expect(split(pieces)).toEqual(whole)
      const passedOn = Buffer.concat(whole.events.map(event => event.bytes))
      expect(passedOn).toEqual(bytes.subarray(0, passedOn.length))
      if (!whole.isInsideEvent) expect(passedOn.length).toBe(bytes.length)
    }), { seed: 20, numRuns: 2000 })
  })

  test.each([
    ['one line', 'x'],
    ['many lines', 'data: x\n'],
    ['one comment', ':']
  ])('with an event that does not end is rejected above the limit, sent as %s', (_name, text) => {
    const splitter = new EventSplitter()
    const piece = Buffer.from(text.repeat(8192))
    const addPieces = (): void => {
      for (let size = 0; size <= maxEventBytes; size += piece.length) splitter.add(piece)
    }
    expect(addPieces).toThrow('an event is larger than')
  })
})

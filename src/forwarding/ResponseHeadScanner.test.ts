/**
 * Guards against a second response in a body that is missed because of where the body is cut into pieces, and against
 * bodies that are taken for mixed ones.
 */
import { describe, expect, test } from '@jest/globals'
import { ResponseHeadScanner } from './ResponseHeadScanner.js'

function finds (body: string, pieceBytes = body.length): boolean {
  const scanner = new ResponseHeadScanner('request-id', id => id === 'r1')
  try {
    for (let start = 0; start < body.length; start += pieceBytes) scanner.add(Buffer.from(body.slice(start, start + pieceBytes)))
    return false
  } catch {
    return true
  }
}

const head = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nRequest-Id: r1\r\n'

describe('the head of a response to a known request', () => {
  test.each([
    ['at the start', head],
    ['behind text', `own text${head}`],
    ['behind the start of another', `HTTP/1.1 200 OK\r\nx: HTTP/1.0 ${head}`],
    ['behind one of an unknown request', `HTTP/1.1 200 OK\r\nrequest-id: r2\r\n\r\n${head}`],
    ['without a reason phrase', 'HTTP/1.0 503\r\nrequest-id:r1\r\n'],
    ['with LF line ends', 'HTTP/1.1 200 OK\nrequest-id: r1 \n'],
    ['behind a long line', `${'x'.repeat(5000)}${head}`],
    ['in front of a long reason', `HTTP/1.1 200 ${'x'.repeat(5000)}\r\nrequest-id: r1\r\n`],
    ['behind 10,000 bytes', 'HTTP/1.'.repeat(1500) + head],
    ['behind 300 other fields', `HTTP/1.1 200 OK\r\n${'x-field: a value of a field\r\n'.repeat(300)}request-id: r1\r\n`],
    ['behind a long field', `HTTP/1.1 200 OK\r\nx: ${'y'.repeat(5000)}\r\nrequest-id: r1\r\n`],
    ['behind a field with a long name', `HTTP/1.1 200 OK\r\n${'x'.repeat(5000)}: y\r\nrequest-id: r1\r\n`]
  ])('%s is found however the body is cut', (_name, body) => {
    for (const pieceBytes of [1, 2, 3, 7, 8, 64, body.length]) expect(finds(body, pieceBytes)).toBe(true)
  })
})

describe('a body without it', () => {
  test.each([
    ['no head', 'own text'],
    ['the head of a request', 'POST /x HTTP/1.1\r\nrequest-id: r1\r\n\r\n'],
    ['a head with the id of an unknown request', 'HTTP/1.1 200 OK\r\nrequest-id: r2\r\n\r\n'],
    ['the id behind the end of a head', 'HTTP/1.1 200 OK\r\n\r\nrequest-id: r1\r\n'],
    ['an incomplete head', 'HTTP/1.1 200 OK\r\nrequest-id: r1'],
    ['fields behind a head of maximum size', `HTTP/1.1 200 OK\r\nx: ${'y'.repeat(17_000)}\r\nrequest-id: r1\r\n`],
    ['a long line that is no field in a head', `HTTP/1.1 200 OK\r\n${'no field '.repeat(500)}\r\nrequest-id: r1\r\n`],
    ['a long line in a head', `HTTP/1.1 200 OK\r\nx:${'y'.repeat(5000)}\r\n\r\nrequest-id: r1\r\n`],
    ['a line that is no field in a head', 'HTTP/1.1 200 OK\r\nno field\r\nrequest-id: r1\r\n']
  ])('such as one with %s is passed on', (_name, body) => {
    for (const pieceBytes of [1, 7, body.length]) expect(finds(body, pieceBytes)).toBe(false)
  })

  // Guards against a body whose search takes time that grows with the square of its size.
  test.each([
    ['status lines', 'HTTP/1.1 200 OK\r\n'],
    ['fields with status lines', 'a: HTTP/1.1 200 OK\r\n'],
    ['fields with status lines in a head', 'HTTP/1.1 200 OK\r\na: b\r\n'],
    ['starts of heads', 'HTTP/1.'],
    ['status lines without a line end', 'HTTP/1.1 200 '],
    ['status lines and fields with spaces', `HTTP/1.1 200 OK\r\na: b${' '.repeat(32_000)}c\r\n`],
    ['status lines and fields with spaces and line ends', `HTTP/1.1 200 OK\r\na: ${' '.repeat(2000)}\rb\r\n`]
  ])('of many %s is searched in less than two seconds', (_name, line) => {
    const startedAt = performance.now()
    expect(finds(line.repeat(1_048_576 / line.length), 65_536)).toBe(false)
    expect(performance.now() - startedAt).toBeLessThan(2000)
  })
})

test.each([
  ['own HTTP', true], ['own HTTP/1', true], ['own HTTP/1.1 20', true], ['HTTP/1.1 200 OK\r\nrequest-id: r', true],
  ['own HTT', false], ['HTTP/1.1 200 OK\r\n\r\n', false], ['HTTP/2 is new', false], ['HTTP/1.1 is old', false], ['HTTP/1.1 200', true], ['own HTTP/1.1 200 OK\r\nx: y\r\n', true]
])('whether %j may end inside a head: %s', (body, expected) => {
  for (const pieceBytes of [1, body.length]) {
    const scanner = new ResponseHeadScanner('request-id', () => false)
    for (let start = 0; start < body.length; start += pieceBytes) scanner.add(Buffer.from(body.slice(start, start + pieceBytes)))
    expect(scanner.endsInsideHead).toBe(expected)
  }
})

/**
 * Guards against a soak whose late copies are never written, or interrupt a response, which no worker does.
 */
import { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { expect, test } from '@jest/globals'
import { SeededRandom } from '../../common/index.js'
import { waitUntil } from '../testing/platformTestSupport.js'
import { LateCopies } from './LateCopies.js'

/** A socket that records what is written. */
class RecordingSocket extends EventEmitter {
  readonly destroyed = false
  readonly written: string[] = []
  write (text: string): void { this.written.push(text) }
}

const seeds = Array.from({ length: 60 }, (_, index) => index + 1)

function create (seed: number, activeUntil: number): { copies: LateCopies, socket: RecordingSocket, connection: Socket } {
  const copies = new LateCopies(new SeededRandom(seed))
  copies.activeUntil = activeUntil
  const socket = new RecordingSocket()
  return { copies, socket, connection: socket as unknown as Socket }
}

test('copies are written later, when the next request or call without an id arrives, and with the next response', async () => {
  const places = await Promise.all(seeds.map(async seed => {
    const { copies, socket, connection } = create(seed, Infinity)
    copies.respond(connection, 'first')
    copies.activeUntil = 0
    await new Promise(resolve => setTimeout(resolve, 320))
    const steps: Array<[place: string, step: () => void]> = [
      ['later', () => {}],
      ['on_request', () => copies.requestArrived(connection, true)],
      ['with_response', () => copies.respond(connection, 'second')],
      ['on_call_without_id', () => copies.requestArrived(connection, false)]
    ]
    const place = steps.find(([, step]) => {
      step()
      return copies.count > 0
    })?.[0]
    expect(socket.written.filter(text => text === 'first')).toHaveLength(place === undefined ? 1 : 2)
    return place
  }))
  expect([...new Set(places)].map(String).sort()).toEqual(['later', 'on_call_without_id', 'on_request', 'undefined', 'with_response'])
})

test('no copy is written inside a response', async () => {
  const sockets = seeds.map(seed => {
    const { copies, socket, connection } = create(seed, Infinity)
    copies.respond(connection, 'first')
    copies.activeUntil = 0
    copies.begin(connection)
    connection.write('begin')
    setTimeout(() => {
      connection.write('end')
      copies.end(connection, 'beginend')
    }, 350)
    return socket
  })
  await waitUntil(() => sockets.every(({ written }) => written.at(-1) === 'end'))
  expect(sockets.some(({ written }) => written.length === 4)).toBe(true)
  for (const { written } of sockets) expect(written.slice(-2)).toEqual(['begin', 'end'])
})

test('no copy is written while the worker does not repeat responses', () => {
  for (const seed of seeds) {
    const { copies, socket, connection } = create(seed, 0)
    copies.respond(connection, 'first')
    copies.respond(connection, 'second')
    expect(socket.written).toEqual(['first', 'second'])
  }
})

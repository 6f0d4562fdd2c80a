/** Guards against connections that have more requests in progress than allowed, or that are read on meanwhile. */
import { expect, test } from '@jest/globals'
import { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { ConnectionIntake } from './ConnectionIntake.js'
import type { RequestIntake } from './RequestIntake.js'

/** A socket that, like one of a Node server, may be told to go on reading by others. */
class FakeSocket extends EventEmitter {
  isReading = true
  destroyed = false
  pause (): void { this.isReading = false }
  resume (): void {
    this.isReading = true
    this.emit('resume')
  }
}

function start (count: number) {
  const socket = new FakeSocket()
  const connection = new ConnectionIntake(socket as unknown as Socket, 2, 0)
  const requests = Array.from({ length: count }, () => ({}) as RequestIntake)
  const started: number[] = []
  const entered = requests.map((request, index) => connection.enter(request, () => { started.push(index) }))
  return { socket, connection, requests, started, entered }
}

test('requests beyond the limit start in order when earlier ones end, and the connection is not read until then', () => {
  const { socket, connection, requests, started } = start(4)
  expect([started, socket.isReading]).toEqual([[0, 1], false])
  // As by Node when it begins to read the body of a request.
  socket.resume()
  expect(socket.isReading).toBe(false)
  connection.leave(requests[1]!, 1)
  expect([started, socket.isReading]).toEqual([[0, 1, 2], false])
  connection.leave(requests[0]!, 2)
  connection.leave(requests[2]!, 3)
  expect([started, socket.isReading]).toEqual([[0, 1, 2, 3], true])
})

test('too many requests that wait are not taken on, and none starts after the connection has closed', () => {
  const { socket, connection, requests, started, entered } = start(300)
  expect(entered.filter(Boolean)).toHaveLength(2 + 256)
  socket.destroyed = true
  connection.leave(requests[0]!, 1)
  expect(started).toEqual([0, 1])
})

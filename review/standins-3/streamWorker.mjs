/**
 * Stand-in of a worker, as a process of its own: streams events, or sends a body, without a length and without chunks, so that
 * the answer ends with its channel. Words: port, id, number of events, milliseconds between two.
 */
import { createServer } from 'node:net'

const [port, id, events, gap] = process.argv.slice(2)
const pieces = Number(events)

const server = createServer(socket => {
  let text = ''
  socket.on('error', () => {})
  socket.on('data', bytes => {
    text += bytes.toString('latin1')
    const end = text.indexOf('\r\n\r\n')
    if (end < 0) return
    const field = name => new RegExp(`^${name}: *(.*)$`, 'im').exec(text)?.[1]?.trim()
    const request = field('dogwooddale-request-id') ?? ''
    const expected = field('dogwooddale-expect-instance')
    const isStream = text.startsWith('POST /hilo/')
    text = ''
    if (expected !== undefined && expected !== id) {
      socket.end(`HTTP/1.1 421 Misdirected Request\r\nDogwooddale-Request-Id: ${request}\r\nDogwooddale-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`)
      return
    }
    console.log(`ran ${request}`)
    socket.write(`HTTP/1.1 200 OK\r\nContent-Type: ${isStream ? 'text/event-stream' : 'text/plain'}\r\nDogwooddale-Request-Id: ${request}\r\nDogwooddale-Server-Stamp: stamp.${id}.${request}\r\nConnection: close\r\n\r\n`)
    let sent = 0
    const timer = setInterval(() => {
      sent += 1
      socket.write(isStream ? `id: ${sent}\ndata: piece ${sent} of ${pieces}\n\n` : `line ${sent} of ${pieces}\n`)
      if (sent < pieces) return
      clearInterval(timer)
      socket.end()
    }, Number(gap))
    socket.on('close', () => clearInterval(timer))
  })
})
server.listen(Number(port), '127.0.0.1', () => console.log(`listening ${server.address().port}`))

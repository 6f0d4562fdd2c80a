/** A client: one request on a new channel. Resolves to what was seen of the answer. */
import { connect } from 'node:net'
import { randomBytes } from 'node:crypto'

export const newId = () => randomBytes(8).toString('hex')

/** The head and the body of a request. */
export function requestText ({ id, method = 'POST', host, path, deadline, headers = {}, body = '' }) {
  const fields = {
    Host: host,
    'Dogwooddale-Request-Id': id,
    'Dogwooddale-Deadline-Ms': deadline,
    ...headers,
    ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) })
  }
  return `${method} ${path} HTTP/1.1\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`
}

/** `leaveAfter`: milliseconds after which the client closes its channel. */
export async function send ({ callers }, options) {
  const { id = newId(), deadline = 1001, leaveAfter } = options
  const sentAt = Date.now()
  return await new Promise(resolve => {
    const socket = connect(callers)
    let received = Buffer.alloc(0)
    let leftAt
    const end = outcome => {
      clearTimeout(timer)
      clearTimeout(leaving)
      socket.destroy()
      const text = received.toString('latin1')
      const status = /^HTTP\/1\.1 (\d{3})/.exec(text)?.[1]
      const stamp = /^dogwooddale-server-stamp: *(.*)$/im.exec(text)?.[1]?.trim()
      resolve({ id, sentAt, leftAt, endedAt: Date.now(), outcome, status, stamp, bytes: received.length, text })
    }
    const timer = setTimeout(() => end('timeout'), deadline + 500)
    const leaving = leaveAfter === undefined
      ? undefined
      : setTimeout(() => {
        leftAt = Date.now()
        end('left')
      }, leaveAfter)
    socket.on('connect', () => { socket.write(requestText({ ...options, id, deadline })) })
    socket.on('error', () => end('reset'))
    socket.on('close', () => end('closed'))
    socket.on('data', bytes => {
      received = Buffer.concat([received, bytes])
      const text = received.toString('latin1')
      const headEnd = text.indexOf('\r\n\r\n')
      if (headEnd < 0) return
      const length = /^content-length: *(\d+)/im.exec(text.slice(0, headEnd))
      if (length !== null && received.length >= headEnd + 4 + Number(length[1])) end('answered')
      else if (/^transfer-encoding: *chunked/im.test(text.slice(0, headEnd)) && text.endsWith('0\r\n\r\n')) end('answered')
    })
  })
}

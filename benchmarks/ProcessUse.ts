/**
 * What a process uses, read from Linux's /proc.
 */
import { readFileSync } from 'node:fs'

/** Length of a clock tick of /proc; Linux reports 100 ticks a second to user space. */
const tickMilliseconds = 10

/** Processor time of the process so far, in milliseconds, in user and system mode. */
export function processorMillisecondsOf (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The name of the program may contain spaces, so fields are counted behind its closing bracket.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) * tickMilliseconds
}

/** Resident memory of the process in bytes. */
export function residentBytesOf (pid: number): number {
  const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
  return Number(kilobytes) * 1024
}

/** Bytes that the process has read so far, from sockets above all. */
export function readBytesOf (pid: number): number {
  return Number(/^rchar: (\d+)$/m.exec(readFileSync(`/proc/${pid}/io`, 'utf8'))?.[1])
}

/** Bytes that the process has written so far, to sockets above all. */
export function writtenBytesOf (pid: number): number {
  return Number(/^wchar: (\d+)$/m.exec(readFileSync(`/proc/${pid}/io`, 'utf8'))?.[1])
}

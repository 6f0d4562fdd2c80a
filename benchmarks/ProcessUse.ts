/**
 * Resource usage of a process, read from Linux's /proc.
 */
import { readFileSync } from 'node:fs'

/** Length of a clock tick in /proc; Linux reports 100 ticks per second to user space. */
const tickMilliseconds = 10

/** Processor time of the process since its start, user and system mode together, in milliseconds. */
export function processorMillisecondsOf (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The program name, in parentheses, may contain spaces, so fields are counted after the last parenthesis.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) * tickMilliseconds
}

/** Resident set size of the process in bytes. */
export function residentBytesOf (pid: number): number {
  const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
  return Number(kilobytes) * 1024
}

/** Bytes that the process has read since its start from files, pipes and sockets; for a host, mostly from sockets. */
export function readBytesOf (pid: number): number {
  return Number(/^rchar: (\d+)$/m.exec(readFileSync(`/proc/${pid}/io`, 'utf8'))?.[1])
}

/** Bytes that the process has written since its start to files, pipes and sockets; for a host, mostly to sockets. */
export function writtenBytesOf (pid: number): number {
  return Number(/^wchar: (\d+)$/m.exec(readFileSync(`/proc/${pid}/io`, 'utf8'))?.[1])
}

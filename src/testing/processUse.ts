/**
 * What a process takes of its machine. Linux only: read from `/proc`.
 */
import { readdirSync, readFileSync } from 'node:fs'

/** Largest resident memory of a process since its start, in megabytes. */
export function peakMegabytesOf (pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  return Math.round(Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / 1024)
}

/** Number of open descriptors of a process. */
export function descriptorsOf (pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length
}

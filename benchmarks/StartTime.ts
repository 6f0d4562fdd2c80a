/**
 * Measures the time from the spawn of a program until its output matches a pattern, such as its readiness line.
 */
import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'

/** A program to start; `arguments` come before those of the measured command line. */
export interface Program {
  name: string
  file: string
  arguments: string[]
}

async function waitForOutput (child: ChildProcess, pattern: RegExp): Promise<void> {
  let text = ''
  for await (const bytes of child.stdout!) {
    text += String(bytes)
    if (pattern.test(text)) return
  }
  throw new Error(`the process exited without output that matches ${String(pattern)}`)
}

/** Returns the milliseconds from the spawn until standard output matches, then kills the process. */
export async function measureStart (program: Program, commandLine: string[], pattern: RegExp): Promise<number> {
  const startedAt = performance.now()
  const child = spawn(program.file, [...program.arguments, ...commandLine], { stdio: ['ignore', 'pipe', 'ignore'] })
  const ended = once(child, 'exit')
  try {
    await waitForOutput(child, pattern)
    return performance.now() - startedAt
  } finally {
    child.kill('SIGKILL')
    await ended
  }
}

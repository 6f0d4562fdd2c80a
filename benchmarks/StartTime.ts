/**
 * Time from the spawn of a program to its readiness line, or to its end.
 */
import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'

/** A program with the arguments in front of those of the command line. */
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
  throw new Error(`the process ended without a line like ${String(pattern)}`)
}

/** Milliseconds from the spawn until the output matches. The process is ended afterwards. */
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

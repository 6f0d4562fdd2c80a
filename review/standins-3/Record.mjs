/** The record of a case: lines in record.txt, and the exit status. */
import { writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

export const hasTrouble = process.env.TROUBLE !== '0'

export class Record {
  lines = []

  constructor (moduleUrl) {
    this.file = fileURLToPath(new URL('record.txt', moduleUrl))
    this.startedAt = Date.now()
  }

  note (text) {
    const line = `${String(Date.now() - this.startedAt).padStart(6)} ms  ${text}`
    this.lines.push(line)
    if (process.env.ECHO === '1') console.log(line)
  }

  write () {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`)
  }
}

/** Runs a case; `play` resolves to true if the rule held. Exits with 1 if it was broken, 2 if the case could not run. */
export async function run (moduleUrl, play) {
  const record = new Record(moduleUrl)
  const cleanups = []
  let status = 2
  try {
    record.note(hasTrouble ? 'with the disruption' : 'without the disruption')
    const held = await play(record, cleanup => cleanups.push(cleanup))
    status = held ? 0 : 1
    record.note(held ? 'the rule held' : 'the rule was broken')
  } catch (caught) {
    record.note(`the case could not run: ${caught.stack}`)
    console.error(caught)
  }
  for (const cleanup of cleanups.reverse()) await Promise.resolve(cleanup()).catch(() => {})
  record.write()
  console.log(record.lines.at(-1))
  process.exit(status)
}

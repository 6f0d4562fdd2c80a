/**
 * Forces a garbage collection, for tests of objects that must survive it.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Collects all garbage that the stack does not refer to, in a new turn of the event loop. */
export async function collectGarbage (): Promise<void> {
  await new Promise(resolve => { setImmediate(resolve) })
  setFlagsFromString('--expose_gc')
  const collect = runInNewContext('gc') as () => void
  collect()
}

/**
 * Guards against a prompt that waits at a worker which is gone until its caller gives up, against more computations than
 * allowed, and against a result that is lost or kept by a worker although another one was used.
 */
import { expect, test } from '@jest/globals'
import { ComputationRace, type RunStart, type RunVerdict } from './ComputationRace.js'

/** Plays a race in which the test reports the events of the runs. Returns the names of what ended in time and later. */
async function play (steps: Array<[number, 'late' | RunVerdict]>, mayMove = true): Promise<{ ended: string[], losers: string[], starts: Array<string | undefined> }> {
  const starts: RunStart[] = []
  const ends: Array<(verdict: RunVerdict) => void> = []
  const losers: string[] = []

  const race = new ComputationRace<{ run: number, verdict: RunVerdict }>({
    run: async start => {
      const run = starts.push(start)
      const verdict = await new Promise<RunVerdict>(resolve => {
        ends.push(resolve)
        start.cancelled.addEventListener('abort', () => { resolve('no_move') })
      })
      return { run, verdict }
    },
    verdictOn: ({ verdict }) => verdict,
    mayMove: () => mayMove,
    onLoser: ({ run }) => { losers.push(`${run}`) }
  })
  const result = race.run()
  for (const [run, event] of steps) {
    if (event === 'late') starts[run - 1]?.onLate()
    else ends[run - 1]?.(event)
    await new Promise(resolve => setImmediate(resolve))
  }
  const ended = (await result).map(({ run, verdict }) => `${run} ${verdict}`)
  await new Promise(resolve => setImmediate(resolve))
  return { ended, losers, starts: starts.map(({ reason }) => reason) }
}

test.each<[string, Array<[number, 'late' | RunVerdict]>, string[], string[], Array<string | undefined>]>([
  ['one computation that succeeds', [[1, 'final']], ['1 final'], [], [undefined]],
  ['a late computation is overtaken', [[1, 'late'], [2, 'final']], ['2 final'], ['1'], [undefined, 'late']],
  ['a late computation that still ends first is used', [[1, 'late'], [1, 'final']], ['1 final'], ['2'], [undefined, 'late']],
  ['a prompt is moved twice at most', [[1, 'late'], [2, 'late'], [3, 'late'], [3, 'final']], ['3 final'], ['1', '2'], [undefined, 'late', 'late']],
  ['an older computation that is late again moves nothing', [[1, 'late'], [1, 'late'], [2, 'final']], ['2 final'], ['1'], [undefined, 'late']],
  ['a failed computation is moved once', [[1, 'failed'], [2, 'failed']], ['1 failed', '2 failed'], [], [undefined, 'failed']],
  ['a declined computation is not moved', [[1, 'no_move']], ['1 no_move'], [], [undefined]],
  ['the late one counts if the other is refused', [[1, 'late'], [2, 'no_move'], [1, 'final']], ['2 no_move', '1 final'], [], [undefined, 'late']],
  ['the failure of a late one moves nothing while another goes on', [[1, 'late'], [1, 'failed'], [2, 'final']], ['1 failed', '2 final'], [], [undefined, 'late']]
])('%s', async (_name, steps, ended, losers, starts) => {
  expect(await play(steps)).toEqual({ ended, losers, starts })
})

test('no computation is started once it is of no use', async () => {
  expect((await play([[1, 'late'], [1, 'no_move']], false)).starts).toEqual([undefined])
})

// Guards against a call that never ends since a computation met an unexpected error.
test('an unexpected error of a computation ends the race with it, and aborts the others', async () => {
  const starts: RunStart[] = []
  const race = new ComputationRace<{ verdict: RunVerdict }>({
    run: async start => {
      if (starts.push(start) === 2) throw new Error('unexpected')
      return await new Promise(resolve => { start.cancelled.addEventListener('abort', () => { resolve({ verdict: 'no_move' }) }) })
    },
    verdictOn: ({ verdict }) => verdict,
    mayMove: () => true,
    onLoser: () => {}
  })
  const result = race.run()
  starts[0]!.onLate()
  await expect(result).rejects.toThrow('unexpected')
  expect(starts[0]!.cancelled.aborted).toBe(true)
})

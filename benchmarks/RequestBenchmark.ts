/**
 * Compares calls through the host with direct calls to the same stand-in. Direct and forwarded rounds
 * alternate, so that both see the same machine.
 */
import type { Deployment } from '../src/testing/index.js'
import { tokenOf } from '../src/testing/index.js'
import { addFigures, type Call, ClosedLoop, type LoopFigures, noFigures, percentileOf } from './ClosedLoop.js'
import { processorMillisecondsOf } from './ProcessUse.js'

/** A kind of call and where it goes. */
export interface CallKind {
  name: string
  direct: { origin: string, call: Call }
  forwarded: { origin: string, call: Call }
}

/** One kind of call at one number of connections. */
export interface Comparison {
  kind: string
  connections: number
  direct: LoopFigures
  forwarded: LoopFigures
  /** Difference of the medians to the first byte in each round, in milliseconds, sorted. */
  addedPerRound: number[]
  /** Processor time of the host for one call, in milliseconds. */
  hostMillisecondsPerCall: number
}

const rounds = 5
const roundMilliseconds = 500
const warmUpMilliseconds = 300

function totalOf (figures: LoopFigures[]): LoopFigures {
  const total = noFigures()
  for (const round of figures) addFigures(total, round)
  return total
}

/** Measures one kind of call at one number of connections. */
export async function compare (kind: CallKind, connections: number, hostPid: number): Promise<Comparison> {
  const direct = new ClosedLoop(kind.direct.origin, connections, kind.direct.call)
  const forwarded = new ClosedLoop(kind.forwarded.origin, connections, kind.forwarded.call)
  await direct.run(warmUpMilliseconds)
  await forwarded.run(warmUpMilliseconds)
  const directRounds: LoopFigures[] = []
  const forwardedRounds: LoopFigures[] = []
  let hostMilliseconds = 0
  for (let round = 0; round < rounds; round += 1) {
    directRounds.push(await direct.run(roundMilliseconds))
    const before = processorMillisecondsOf(hostPid)
    forwardedRounds.push(await forwarded.run(roundMilliseconds))
    hostMilliseconds += processorMillisecondsOf(hostPid) - before
  }
  await direct.close()
  await forwarded.close()
  const total = totalOf(forwardedRounds)
  return {
    kind: kind.name,
    connections,
    direct: totalOf(directRounds),
    forwarded: total,
    addedPerRound: forwardedRounds
      .map((round, index) => percentileOf(round.firstByte, 50) - percentileOf(directRounds[index]!.firstByte, 50))
      .sort((left, right) => left - right),
    hostMillisecondsPerCall: hostMilliseconds / total.calls
  }
}

/** The kinds of calls that a deployment with one host, one engine and one service is measured with. */
export function callKindsOf (deployment: Deployment, team: string): CallKind[] {
  const [engine] = deployment.engines.values()
  const [service] = deployment.services.values()
  const { model, servicePool } = deployment.options
  const [host = ''] = deployment.callerOrigins()
  const headers = { authorization: `Bearer ${tokenOf(team)}`, 'content-type': 'application/json' }
  const completion = (stream: boolean): Call => ({
    method: 'POST',
    path: '/v1/completions',
    headers,
    body: JSON.stringify({ model, prompt: 'why is the water of my tank cloudy', max_tokens: 8, stream })
  })
  const generation = (name: string, stream: boolean): CallKind => ({
    name,
    direct: { origin: engine!.origin(), call: completion(stream) },
    forwarded: { origin: host, call: completion(stream) }
  })
  return [
    {
      name: 'service call',
      direct: { origin: service!.origin(), call: { method: 'GET', path: '/threads/4', headers } },
      forwarded: { origin: host, call: { method: 'GET', path: `/services/${servicePool}/threads/4`, headers } }
    },
    generation('whole completion', false),
    generation('streamed completion', true)
  ]
}

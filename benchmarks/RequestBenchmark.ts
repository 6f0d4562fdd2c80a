/**
 * Compares calls that a host forwards to a stand-in with direct calls to the same stand-in. Direct and forwarded
 * rounds alternate, so that other load on the machine affects both alike.
 */
import type { Deployment } from '../src/testing/index.js'
import { tokenOf } from '../src/testing/index.js'
import { addMeasurements, type Call, ClosedLoop, type LoopMeasurements, emptyMeasurements, percentileOf } from './ClosedLoop.js'
import { processorMillisecondsOf } from './ProcessUse.js'

/** A kind of call, with the request sent to the stand-in and the one sent to the host. */
export interface CallKind {
  name: string
  direct: { origin: string, call: Call }
  forwarded: { origin: string, call: Call }
}

/** Measurements of one kind of call at one number of connections. */
export interface Comparison {
  kind: string
  connections: number
  direct: LoopMeasurements
  forwarded: LoopMeasurements
  /** Forwarded minus direct median time to the first byte, one value per round, in ascending order. */
  addedMillisecondsPerRound: number[]
  /** Mean processor time of the host per forwarded call. */
  hostMillisecondsPerCall: number
}

const rounds = 5
const roundMilliseconds = 500
const warmUpMilliseconds = 300

function totalOf (roundMeasurements: LoopMeasurements[]): LoopMeasurements {
  const total = emptyMeasurements()
  for (const round of roundMeasurements) addMeasurements(total, round)
  return total
}

/** Measures direct and forwarded calls of one kind at one number of connections. */
export async function compare (kind: CallKind, connections: number, hostPid: number): Promise<Comparison> {
  const direct = new ClosedLoop(kind.direct.origin, connections, kind.direct.call)
  const forwarded = new ClosedLoop(kind.forwarded.origin, connections, kind.forwarded.call)
  await direct.run(warmUpMilliseconds)
  await forwarded.run(warmUpMilliseconds)
  const directRounds: LoopMeasurements[] = []
  const forwardedRounds: LoopMeasurements[] = []
  let hostMilliseconds = 0
  for (let round = 0; round < rounds; round += 1) {
    directRounds.push(await direct.run(roundMilliseconds))
    const processorMillisecondsBefore = processorMillisecondsOf(hostPid)
    forwardedRounds.push(await forwarded.run(roundMilliseconds))
    hostMilliseconds += processorMillisecondsOf(hostPid) - processorMillisecondsBefore
  }
  await direct.close()
  await forwarded.close()
  const forwardedTotal = totalOf(forwardedRounds)
  return {
    kind: kind.name,
    connections,
    direct: totalOf(directRounds),
    forwarded: forwardedTotal,
    addedMillisecondsPerRound: forwardedRounds
      .map((round, index) => percentileOf(round.firstByte, 50) - percentileOf(directRounds[index]!.firstByte, 50))
      .sort((left, right) => left - right),
    hostMillisecondsPerCall: hostMilliseconds / forwardedTotal.calls
  }
}

/** The measured kinds of calls, for a deployment with one host, one engine and one service. */
export function callKindsOf (deployment: Deployment, team: string): CallKind[] {
  const [engine] = deployment.engines.values()
  const [service] = deployment.services.values()
  const { model, servicePool } = deployment.options
  const [hostOrigin = ''] = deployment.callerOrigins()
  const headers = { authorization: `Bearer ${tokenOf(team)}`, 'content-type': 'application/json' }
  const completion = (stream: boolean): Call => ({
    method: 'POST',
    path: '/v1/completions',
    headers,
    body: JSON.stringify({ model, prompt: 'why is the water of my tank cloudy', max_tokens: 8, stream })
  })
  const completionKind = (name: string, stream: boolean): CallKind => ({
    name,
    direct: { origin: engine!.origin(), call: completion(stream) },
    forwarded: { origin: hostOrigin, call: completion(stream) }
  })
  return [
    {
      name: 'service call',
      direct: { origin: service!.origin(), call: { method: 'GET', path: '/threads/4', headers } },
      forwarded: { origin: hostOrigin, call: { method: 'GET', path: `/services/${servicePool}/threads/4`, headers } }
    },
    completionKind('whole completion', false),
    completionKind('streamed completion', true)
  ]
}

/**
 * Decides from the evidence of all hosts which parts of prompts crash workers.
 *
 * A worker that is lost had begun several prompts shortly before, and most of their parts are harmless. A part that
 * crashes workers is in the evidence of each loss that it causes, so the part with the most incidents is taken first, and
 * the incidents that it explains count against no other part. Parts that always appear together cannot be told apart: only
 * prompts that contain all of them are refused, until a prompt with one of them alone is answered or crashes a worker.
 */
import type { WorkerId } from '../common/index.js'
import type { PartEvidence, WorkerLoss } from './Evidence.js'
import { isSameLoss } from './mergeLosses.js'

/** Parts that together are to blame for the loss of workers. */
export interface Culprit {
  /** Names of the parts; a prompt is to blame if it contains all of them. */
  parts: string[]
  /** Number of independent losses of workers. */
  incidents: number
  /** Number of lost workers. */
  losses: number
  /** Unix time in milliseconds of the latest loss. */
  lastLossAt: number
}

/** Number of independent losses of workers from which on a part is to blame. */
const minIncidents = 2

/** Workers that are lost within this time of each other, in milliseconds, count as one incident with a common cause. */
const commonCauseMilliseconds = 150

interface Incident { firstAt: number }

interface Suspect {
  part: string
  /** Names of the prompts with the part, by incident. */
  promptsByIncident: Map<Incident, Set<string>>
  losses: number
  lastLossAt: number
}

/** The parts to blame, those with most incidents first. */
export function findCulprits (evidence: readonly PartEvidence[]): Culprit[] {
  const incidentByLoss = groupIncidents(evidence.flatMap(({ losses }) => losses))
  const suspects = evidence
    .map(part => suspectOf(part, incidentByLoss))
    .filter(({ promptsByIncident }) => promptsByIncident.size >= minIncidents)
    .sort((left, right) => left.part < right.part ? -1 : 1)
  const culprits: Culprit[] = []
  const explained = new Set<Incident>()
  for (;;) {
    const suspect = mostIncidents(suspects, explained)
    if (suspect === undefined) return culprits
    const inseparable = suspects.filter(other => areInseparable(suspect, other))
    culprits.push({
      parts: inseparable.map(({ part }) => part),
      incidents: suspect.promptsByIncident.size,
      losses: suspect.losses,
      lastLossAt: suspect.lastLossAt
    })
    for (const incident of suspect.promptsByIncident.keys()) explained.add(incident)
  }
}

/** Assigns each loss to an incident. */
function groupIncidents (losses: readonly WorkerLoss[]): ReadonlyMap<WorkerLoss, Incident> {
  const incidentByLoss = new Map<WorkerLoss, Incident>()
  /** The latest loss of each worker in each incident, the earliest incident first. */
  const lossesByWorker = new Map<WorkerId, Map<Incident, WorkerLoss>>()
  let latest: Incident | undefined
  for (const loss of [...losses].sort((left, right) => left.at - right.at)) {
    const ofWorker = lossesByWorker.get(loss.worker) ?? new Map<Incident, WorkerLoss>()
    lossesByWorker.set(loss.worker, ofWorker)
    const reported = [...ofWorker].find(([, known]) => isSameLoss(known, loss))?.[0]
    if (latest === undefined || (reported === undefined && loss.at - latest.firstAt >= commonCauseMilliseconds)) {
      latest = { firstAt: loss.at }
    }
    const incident = reported ?? latest
    ofWorker.set(incident, loss)
    incidentByLoss.set(loss, incident)
  }
  return incidentByLoss
}

function suspectOf ({ part, losses }: PartEvidence, incidentByLoss: ReadonlyMap<WorkerLoss, Incident>): Suspect {
  const promptsByIncident = new Map<Incident, Set<string>>()
  for (const loss of losses) {
    const incident = incidentByLoss.get(loss)
    if (incident === undefined) continue
    const prompts = promptsByIncident.get(incident) ?? new Set<string>()
    for (const prompt of loss.prompts) prompts.add(prompt)
    promptsByIncident.set(incident, prompts)
  }
  return { part, promptsByIncident, losses: losses.length, lastLossAt: Math.max(0, ...losses.map(({ at }) => at)) }
}

/** The suspect with most incidents that no culprit explains; undefined if none has enough. */
function mostIncidents (suspects: readonly Suspect[], explained: ReadonlySet<Incident>): Suspect | undefined {
  let most: { suspect: Suspect, count: number } | undefined
  for (const suspect of suspects) {
    const count = [...suspect.promptsByIncident.keys()].filter(incident => !explained.has(incident)).length
    if (count >= minIncidents && count > (most?.count ?? 0)) most = { suspect, count }
  }
  return most?.suspect
}

/** True if both parts were in one prompt at each incident of either. */
function areInseparable (left: Suspect, right: Suspect): boolean {
  if (left.promptsByIncident.size !== right.promptsByIncident.size) return false
  return [...left.promptsByIncident].every(([incident, prompts]) =>
    [...right.promptsByIncident.get(incident) ?? []].some(prompt => prompts.has(prompt)))
}

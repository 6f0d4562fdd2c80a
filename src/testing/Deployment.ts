/**
 * A small deployment as separate processes: the platform's stand-ins, upstreams and entry hosts. It is used
 * by tests of whole processes, the demo and benchmarks.
 */
import { tokenHashOf } from '../configuration/index.js'
import { HttpLogClient } from '../clients/index.js'
import { currentRecordVersion } from '../streams/index.js'
import { ProcessGroup, type ProcessGroupOptions } from './ProcessGroup.js'
import type { StartedProcess } from './StartedProcess.js'

/** What a deployment consists of. Settings objects are merged over the defaults of this class. */
export interface DeploymentOptions {
  region: string
  zones: string[]
  hostsPerZone: number
  enginesPerZone: number
  servicesPerZone: number
  /** Name of the only model. */
  model: string
  enginePool: string
  servicePool: string
  /** Routes of the service pool. */
  routes?: Array<{ method: string, pathPrefix: string, class: string }>
  /** Owner of each team. Each team's token is `token-of-<team>`. */
  teams: Record<string, string>
  hostSettings?: Record<string, unknown>
  /** Arguments of node itself for the hosts, e.g. `['--cpu-prof']`. */
  hostNodeArguments?: string[]
  engineSettings?: Record<string, unknown>
  serviceSettings?: Record<string, unknown>
  logSettings?: Record<string, unknown>
  hostListSettings?: Record<string, unknown>
  weightStoreSettings?: Record<string, unknown>
  processes?: ProcessGroupOptions
}

/** Name of the operators' team, which may change everything. */
export const operatorTeam = 'operators'

/** The token of a team of a deployment. */
export function tokenOf (team: string): string {
  return `token-of-${team}`
}

type Merged = Record<string, unknown>

function merge (base: Merged, over: Merged = {}): Merged {
  const merged: Merged = { ...base }
  for (const [key, value] of Object.entries(over)) {
    const old = merged[key]
    const bothObjects = typeof old === 'object' && old !== null && !Array.isArray(old) &&
      typeof value === 'object' && value !== null && !Array.isArray(value)
    merged[key] = bothObjects ? merge(old as Merged, value as Merged) : value
  }
  return merged
}

/** A running deployment. */
export class Deployment {
  readonly group: ProcessGroup
  readonly hosts = new Map<string, StartedProcess>()
  readonly engines = new Map<string, StartedProcess>()
  readonly services = new Map<string, StartedProcess>()
  private platformProcesses: Record<'log' | 'host-list' | 'weight-store', StartedProcess> | undefined

  private constructor (readonly options: DeploymentOptions) {
    this.group = new ProcessGroup(options.processes)
  }

  /** Starts everything and waits until all hosts are ready. */
  static async start (options: DeploymentOptions): Promise<Deployment> {
    const deployment = new Deployment(options)
    try {
      await deployment.startPlatform()
      await deployment.startUpstreams()
      await deployment.writeConfiguration()
      await deployment.startHosts()
    } catch (caught) {
      await deployment.stop()
      throw caught
    }
    return deployment
  }

  /** One of the platform's stand-ins. */
  platform (name: 'log' | 'host-list' | 'weight-store'): StartedProcess {
    if (this.platformProcesses === undefined) throw new Error('the platform does not run')
    return this.platformProcesses[name]
  }

  /** Names of all hosts that the options ask for. */
  hostNames (): Array<{ name: string, zone: string }> {
    return this.options.zones.flatMap(zone =>
      Array.from({ length: this.options.hostsPerZone }, (_, index) => ({ name: `${zone}-${index + 1}`, zone })))
  }

  /** A host by name. */
  host (name: string): StartedProcess {
    const host = this.hosts.get(name)
    if (host === undefined) throw new Error(`there is no host "${name}"`)
    return host
  }

  /** Starts one host, or starts it again. */
  async startHost (name: string, zone: string, settings: Record<string, unknown> = {}): Promise<StartedProcess> {
    const base = {
      host: { id: name, zone, region: this.options.region },
      listen: { callers: ['127.0.0.1:0'], administration: '127.0.0.1:0', peers: '127.0.0.1:0' },
      platform: {
        log: this.platform('log').origin(),
        hostList: this.platform('host-list').origin(),
        weightStore: this.platform('weight-store').origin()
      },
      drain: { readinessDelayMilliseconds: 200 }
    }
    const started = await this.group.start({
      name,
      command: ['host'],
      settings: merge(merge(base, this.options.hostSettings), settings),
      nodeArguments: this.options.hostNodeArguments
    })
    this.hosts.set(name, started)
    return started
  }

  /** `http://ip:port` of each host for callers. */
  callerOrigins (): string[] {
    return [...this.hosts.values()].map(host => host.origin('callers'))
  }

  /** The documents of the first configuration, by path. */
  documents (): Record<string, unknown> {
    const { options } = this
    const teams = { ...options.teams, [operatorTeam]: Object.values(options.teams)[0] ?? 'platform' }
    const shareOfEach = Math.floor(100 / Math.max(1, Object.keys(options.teams).length))
    return {
      [`/fleet/models/${options.model}`]: { versions: ['1'], defaultVersion: '1', contextTokens: 100_000 },
      [`/fleet/pools/${options.enginePool}`]: { kind: 'engines', models: [options.model], workers: this.workersOf(this.engines) },
      [`/fleet/pools/${options.servicePool}`]: {
        kind: 'service',
        workers: this.workersOf(this.services),
        service: {
          routes: options.routes ?? [
            { method: 'GET', pathPrefix: '/', class: 'idempotent' },
            { method: 'POST', pathPrefix: '/', class: 'once_issued_key' }
          ]
        }
      },
      ...Object.fromEntries(Object.entries(teams).map(([team, owner]) => [`/teams/${team}/account`, {
        owner,
        tokens: [{ sha256: tokenHashOf(tokenOf(team)) }],
        operator: team === operatorTeam
      }])),
      '/fleet/shares': Object.fromEntries(Object.keys(options.teams).map(team => [team, shareOfEach]))
    }
  }

  /** Stops all processes. */
  async stop (): Promise<void> {
    await this.group.stopAll()
  }

  private async startPlatform (): Promise<void> {
    const start = async (kind: string, settings: Merged | undefined): Promise<StartedProcess> =>
      await this.group.start({ name: kind, command: ['stand-in', kind], settings: settings ?? {} })
    const [log, hostList, weightStore] = await Promise.all([
      start('log', this.options.logSettings),
      start('host-list', this.options.hostListSettings),
      start('weight-store', merge({ otherBytes: 1_000_000 }, this.options.weightStoreSettings))
    ])
    this.platformProcesses = { log, 'host-list': hostList, 'weight-store': weightStore }
  }

  private async startUpstreams (): Promise<void> {
    const { options } = this
    const starts = options.zones.flatMap((zone, zoneIndex) => [
      ...Array.from({ length: options.enginesPerZone }, (_, index) => async () => {
        const name = `${options.enginePool}-${zoneIndex * options.enginesPerZone + index + 1}`
        const settings = merge({
          models: [{ model: options.model, version: '1' }],
          weightStore: this.platform('weight-store').origin()
        }, options.engineSettings)
        this.engines.set(name, await this.group.start({ name, command: ['stand-in', 'engine'], settings }))
      }),
      ...Array.from({ length: options.servicesPerZone }, (_, index) => async () => {
        const name = `${options.servicePool}-${zoneIndex * options.servicesPerZone + index + 1}`
        this.services.set(name, await this.group.start({ name, command: ['stand-in', 'service'], settings: options.serviceSettings ?? {} }))
      })
    ])
    await Promise.all(starts.map(async start => { await start() }))
  }

  private workersOf (processes: Map<string, StartedProcess>): unknown[] {
    const perZone = Math.max(1, Math.ceil(processes.size / this.options.zones.length))
    const numberOf = (name: string): number => Number(/(\d+)$/.exec(name)?.[1] ?? 1)
    return [...processes]
      .sort(([left], [right]) => numberOf(left) - numberOf(right))
      .map(([id, started]) => ({
        id,
        zone: this.options.zones[Math.floor((numberOf(id) - 1) / perZone)],
        address: started.address(),
        checksFencing: this.options.engineSettings?.checksFencing === true
      }))
  }

  /** The first change has to be written straight to the log: no team exists yet that a host could authenticate. */
  private async writeConfiguration (): Promise<void> {
    const log = new HttpLogClient(this.platform('log').origin())
    const edits = Object.entries(this.documents()).map(([path, value]) => ({ path, expectedVersion: 0, value }))
    const record = {
      version: currentRecordVersion,
      kind: 'change',
      id: 'initial-configuration',
      changeId: 'initial-configuration',
      author: operatorTeam,
      at: Date.now(),
      basedOn: 0,
      edits
    }
    const appended = await log.append('configuration', [JSON.stringify(record)])
    await log.close()
    if (appended.isErr) throw new Error(`the first configuration was not stored: ${appended.error.message}`)
  }

  private async startHosts (): Promise<void> {
    await Promise.all(this.hostNames().map(({ name, zone }) => this.startHost(name, zone)))
  }
}

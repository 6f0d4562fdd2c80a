/**
 * A small deployment on this machine: platform stand-ins, upstream stand-ins and entry hosts, each as a process of
 * its own. End-to-end tests, the demo and benchmarks use it.
 */
import { tokenHashOf } from '../configuration/index.js'
import { HttpLogClient } from '../clients/index.js'
import { currentRecordVersion } from '../streams/index.js'
import { ProcessGroup, type ProcessGroupOptions } from './ProcessGroup.js'
import type { StartedProcess } from './StartedProcess.js'

/** Options of a deployment. The `…Settings` members are merged into the settings that `Deployment` gives its processes. */
export interface DeploymentOptions {
  region: string
  zones: string[]
  hostsPerZone: number
  enginesPerZone: number
  servicesPerZone: number
  /** Name of the model that all engines serve. */
  model: string
  enginePool: string
  servicePool: string
  /** Routes of the service pool. Default: GET is idempotent, POST requires an issued key. */
  routes?: Array<{ method: string, pathPrefix: string, class: string }>
  /** Owner of each team. Each team's token is `token-of-<team>`. */
  teams: Record<string, string>
  hostSettings?: Record<string, unknown>
  /** Command-line options for Node.js in the host processes, e.g. `['--cpu-prof']`. */
  hostNodeArguments?: string[]
  engineSettings?: Record<string, unknown>
  serviceSettings?: Record<string, unknown>
  logSettings?: Record<string, unknown>
  hostListSettings?: Record<string, unknown>
  weightStoreSettings?: Record<string, unknown>
  processes?: ProcessGroupOptions
}

/** Name of the operators' team, which may change the whole configuration. */
export const operatorTeam = 'operators'

/** The bearer token of a team of a deployment. */
export function tokenOf (team: string): string {
  return `token-of-${team}`
}

type Settings = Record<string, unknown>

/** Merges nested objects key by key; any other value in `overrides`, arrays included, replaces the one in `base`. */
function mergeSettings (base: Settings, overrides: Settings = {}): Settings {
  const merged: Settings = { ...base }
  for (const [key, value] of Object.entries(overrides)) {
    const baseValue = merged[key]
    const areBothObjects = typeof baseValue === 'object' && baseValue !== null && !Array.isArray(baseValue) &&
      typeof value === 'object' && value !== null && !Array.isArray(value)
    merged[key] = areBothObjects ? mergeSettings(baseValue as Settings, value as Settings) : value
  }
  return merged
}

/** Starts the processes of a deployment and finds them by name. */
export class Deployment {
  readonly group: ProcessGroup
  readonly hosts = new Map<string, StartedProcess>()
  readonly engines = new Map<string, StartedProcess>()
  readonly services = new Map<string, StartedProcess>()
  private platformProcesses: Record<'log' | 'host-list' | 'weight-store', StartedProcess> | undefined

  private constructor (readonly options: DeploymentOptions) {
    this.group = new ProcessGroup(options.processes)
  }

  /** Starts all processes, writes the initial configuration and waits until all hosts are ready. On failure, stops them. */
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

  /** The process of a platform stand-in. Throws before it has started. */
  platform (name: 'log' | 'host-list' | 'weight-store'): StartedProcess {
    if (this.platformProcesses === undefined) throw new Error('the platform stand-ins have not been started')
    return this.platformProcesses[name]
  }

  /** Name and zone of each host that the options ask for, whether or not it runs. */
  hostNames (): Array<{ name: string, zone: string }> {
    return this.options.zones.flatMap(zone =>
      Array.from({ length: this.options.hostsPerZone }, (_, index) => ({ name: `${zone}-${index + 1}`, zone })))
  }

  /** The process of the host that was last started under the name. Throws if there is none. */
  host (name: string): StartedProcess {
    const host = this.hosts.get(name)
    if (host === undefined) throw new Error(`no host "${name}" has been started`)
    return host
  }

  /** Starts a host, or restarts one that has ended. */
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
      settings: mergeSettings(mergeSettings(base, this.options.hostSettings), settings),
      nodeArguments: this.options.hostNodeArguments
    })
    this.hosts.set(name, started)
    return started
  }

  /** `http://ip:port` at which each host serves callers. */
  callerOrigins (): string[] {
    return [...this.hosts.values()].map(host => host.origin('callers'))
  }

  /** The documents of the initial configuration, by path. */
  documents (): Record<string, unknown> {
    const { options } = this
    const teams = { ...options.teams, [operatorTeam]: Object.values(options.teams)[0] ?? 'platform' }
    const sharePerTeam = Math.floor(100 / Math.max(1, Object.keys(options.teams).length))
    return {
      [`/fleet/models/${options.model}`]: { versions: ['1'], defaultVersion: '1', contextTokens: 100_000 },
      [`/fleet/pools/${options.enginePool}`]: { kind: 'engines', models: [options.model], workers: this.workerEntriesOf(this.engines) },
      [`/fleet/pools/${options.servicePool}`]: {
        kind: 'service',
        workers: this.workerEntriesOf(this.services),
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
      '/fleet/shares': Object.fromEntries(Object.keys(options.teams).map(team => [team, sharePerTeam]))
    }
  }

  /** Stops all processes. */
  async stop (): Promise<void> {
    await this.group.stopAll()
  }

  private async startPlatform (): Promise<void> {
    const startStandIn = async (kind: string, settings: Settings | undefined): Promise<StartedProcess> =>
      await this.group.start({ name: kind, command: ['stand-in', kind], settings: settings ?? {} })
    const [log, hostList, weightStore] = await Promise.all([
      startStandIn('log', this.options.logSettings),
      startStandIn('host-list', this.options.hostListSettings),
      startStandIn('weight-store', mergeSettings({ otherBytes: 1_000_000 }, this.options.weightStoreSettings))
    ])
    this.platformProcesses = { log, 'host-list': hostList, 'weight-store': weightStore }
  }

  private async startUpstreams (): Promise<void> {
    const { options } = this
    const startFunctions = options.zones.flatMap((zone, zoneIndex) => [
      ...Array.from({ length: options.enginesPerZone }, (_, index) => async () => {
        const name = `${options.enginePool}-${zoneIndex * options.enginesPerZone + index + 1}`
        const settings = mergeSettings({
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
    await Promise.all(startFunctions.map(async start => { await start() }))
  }

  private workerEntriesOf (processes: Map<string, StartedProcess>): unknown[] {
    const workersPerZone = Math.max(1, Math.ceil(processes.size / this.options.zones.length))
    const numberOf = (name: string): number => Number(/(\d+)$/.exec(name)?.[1] ?? 1)
    return [...processes]
      .sort(([left], [right]) => numberOf(left) - numberOf(right))
      .map(([id, started]) => ({
        id,
        zone: this.options.zones[Math.floor((numberOf(id) - 1) / workersPerZone)],
        address: started.address(),
        checksFencing: this.options.engineSettings?.checksFencing === true
      }))
  }

  /** Appends the initial configuration directly to the log: a host cannot authenticate any team without it. */
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
    if (appended.isErr) throw new Error(`the log did not store the initial configuration: ${appended.error.message}`)
  }

  private async startHosts (): Promise<void> {
    await Promise.all(this.hostNames().map(({ name, zone }) => this.startHost(name, zone)))
  }
}

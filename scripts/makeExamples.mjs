// Writes the two example deployments under examples/: one settings file per process, and the documents of the
// initial configuration. Run it after changing `deployments`: node scripts/makeExamples.mjs
import { createHash } from 'node:crypto'
import { mkdirSync, rmSync, writeFileSync } from 'node:fs'

const deployments = [
  {
    name: 'acuarios',
    region: 'costa',
    zones: ['guayaquil-a', 'guayaquil-b', 'duran-c'],
    hostsPerZone: [5, 4, 4],
    basePort: 18000,
    model: 'pez',
    adapter: 'pez-moderacion',
    enginePool: 'modelos-foro',
    enginesPerZone: [3, 3, 2],
    servicePool: 'app-foro',
    servicesPerZone: [1, 1, 1],
    routes: [
      { method: 'GET', pathPrefix: '/', class: 'idempotent' },
      { method: 'POST', pathPrefix: '/votes', class: 'once_issued_key' },
      { method: 'POST', pathPrefix: '/trades', class: 'once_issued_key' }
    ],
    teams: { foro: ['acuarios', 60], moderacion: ['acuarios', 20], visitas: ['kontenerowo', 20] },
    // Role changes are expensive here: each takes one of few engines out of service while forum members wait.
    changeWeightSeconds: 60
  },
  {
    name: 'kontenerowo',
    region: 'pl-north',
    zones: ['pl-north-a', 'pl-north-b', 'pl-north-c'],
    hostsPerZone: [4, 4, 4],
    basePort: 19000,
    model: 'planner',
    adapter: 'planner-depots',
    enginePool: 'planner-llm',
    enginesPerZone: [2, 2, 2],
    servicePool: 'dispatch-app',
    servicesPerZone: [1, 1, 1],
    routes: [
      { method: 'GET', pathPrefix: '/', class: 'idempotent' },
      { method: 'POST', pathPrefix: '/bookings', class: 'once_issued_key' }
    ],
    teams: { planners: ['kontenerowo', 50], dispatch: ['kontenerowo', 30], visits: ['acuarios', 20] },
    // Role changes are cheap here compared with lost goodput: a late plan leaves containers idle.
    changeWeightSeconds: 5
  }
]

const exampleTokenOf = team => `example-token-${team}`
const hashOf = text => createHash('sha256').update(text).digest('hex')
const joinLines = parts => `${parts.flat().join('\n')}\n`

// Calls `make` `counts[i]` times for `zones[i]`, with a number that runs over all zones, the zone, and an index within
// the zone; the number and the index start at 1.
function distributeOverZones (counts, zones, make) {
  let number = 0
  return counts.flatMap((count, zoneIndex) => Array.from({ length: count }, (_, indexInZone) => {
    number += 1
    return make(number, zones[zoneIndex], indexInZone + 1)
  }))
}

function hostFile (deployment, platform, number, zone, indexInZone) {
  const port = deployment.basePort + 100 + number * 10
  return [`host-${zone}-${indexInZone}.toml`, joinLines([
    '[host]',
    `id = "${zone}-${indexInZone}"`,
    `zone = "${zone}"`,
    `region = "${deployment.region}"`,
    '',
    '[listen]',
    `callers = ["127.0.0.1:${port}"]`,
    `administration = "127.0.0.1:${port + 1}"`,
    `peers = "127.0.0.1:${port + 2}"`,
    '',
    '[platform]',
    `log = "http://127.0.0.1:${platform.log}"`,
    `host_list = "http://127.0.0.1:${platform.hostList}"`,
    `weight_store = "http://127.0.0.1:${platform.weightStore}"`,
    'log_retention_seconds = 86400',
    '',
    '[administration]',
    '# SHA-256 of "example-token-bootstrap"; works only until the first operator account exists.',
    `bootstrap_token_sha256 = "${hashOf(exampleTokenOf('bootstrap'))}"`,
    '',
    '[roles]',
    'planner = "payback"',
    `change_weight_seconds = ${deployment.changeWeightSeconds}`
  ])]
}

function platformFiles (platform) {
  return [
    ['log.toml', joinLines([
      `listen = "127.0.0.1:${platform.log}"`, 'retention_seconds = 86400', 'appends_per_second = 500'
    ])],
    ['host-list.toml', joinLines([`listen = "127.0.0.1:${platform.hostList}"`, 'lag_milliseconds = 2000'])],
    ['weight-store.toml', joinLines([
      `listen = "127.0.0.1:${platform.weightStore}"`, 'bytes_per_second = 50000000', 'other_bytes = 20000000'
    ])]
  ]
}

function configurationOf (deployment, engines, services) {
  const accounts = { ...deployment.teams, operators: [deployment.name, undefined] }
  return {
    [`/fleet/models/${deployment.model}`]: { versions: ['1'], defaultVersion: '1', contextTokens: 100000 },
    [`/fleet/adapters/${deployment.adapter}`]: { model: deployment.model, version: '1' },
    [`/fleet/pools/${deployment.enginePool}`]: { kind: 'engines', models: [deployment.model], workers: engines },
    [`/fleet/pools/${deployment.servicePool}`]: { kind: 'service', workers: services, service: { routes: deployment.routes } },
    ...Object.fromEntries(Object.entries(accounts).map(([team, [owner]]) => [`/teams/${team}/account`, {
      owner, tokens: [{ sha256: hashOf(exampleTokenOf(team)) }], operator: team === 'operators'
    }])),
    '/fleet/shares': Object.fromEntries(Object.entries(deployment.teams).map(([team, [, share]]) => [team, share]))
  }
}

for (const deployment of deployments) {
  const folder = `examples/${deployment.name}`
  rmSync(folder, { recursive: true, force: true })
  mkdirSync(folder, { recursive: true })
  const platform = { log: deployment.basePort + 1, hostList: deployment.basePort + 2, weightStore: deployment.basePort + 3 }
  const engines = distributeOverZones(deployment.enginesPerZone, deployment.zones, (number, zone) => ({
    id: `${deployment.enginePool}-${number}`, zone, address: `127.0.0.1:${deployment.basePort + 20 + number}`, checksFencing: true
  }))
  const services = distributeOverZones(deployment.servicesPerZone, deployment.zones, (number, zone) => ({
    id: `${deployment.servicePool}-${number}`, zone, address: `127.0.0.1:${deployment.basePort + 40 + number}`
  }))
  const files = [
    ...platformFiles(platform),
    ...engines.map(({ id, address }) => [`engine-${id}.toml`, joinLines([
      `listen = "${address}"`,
      `models = [{ model = "${deployment.model}", version = "1" }]`,
      'checks_fencing = true',
      'block_tokens = 2048',
      'load_lag_milliseconds = 500',
      'cache_event_delay_milliseconds = 500',
      'cache_event_gap_every = 50',
      `weight_store = "http://127.0.0.1:${platform.weightStore}"`
    ])]),
    ...services.map(({ id, address }) => [`service-${id}.toml`, joinLines([`listen = "${address}"`, 'processing_milliseconds = 5'])]),
    ...distributeOverZones(deployment.hostsPerZone, deployment.zones, (...placement) => hostFile(deployment, platform, ...placement)),
    ['configuration.json', `${JSON.stringify(configurationOf(deployment, engines, services), null, 2)}\n`]
  ]
  for (const [name, text] of files) writeFileSync(`${folder}/${name}`, text)
  console.log(`${folder}: ${files.length} files`)
}

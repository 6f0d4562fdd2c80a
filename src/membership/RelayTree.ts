/**
 * The relay tree: a pure function of the hosts on the list, so that all hosts with the same view build the
 * same tree without talking to each other. In each zone hosts are ordered by the hash of their id; the host
 * at position `i` has the parent at position `floor((i - 1) / fanOut)`.
 */
import type { HostId, Region, Zone } from '../common/index.js'
import type { HostHash } from './hostHash.js'

/** What the tree needs to know of a host. */
export interface TreeHost {
  hostId: HostId
  zone: Zone
  region: Region
}

/** Options of a `RelayTree`. */
export interface RelayTreeOptions {
  /** Most children of a host. */
  fanOut: number
  hash: HostHash
}

/** The tree over hosts of all zones. */
export class RelayTree<Host extends TreeHost = TreeHost> {
  private readonly zones = new Map<Zone, Host[]>()
  private readonly positions = new Map<HostId, number>()

  constructor (hosts: Iterable<Host>, private readonly options: RelayTreeOptions) {
    for (const host of hosts) {
      const inZone = this.zones.get(host.zone)
      if (inZone === undefined) this.zones.set(host.zone, [host])
      else inZone.push(host)
    }
    for (const [zone, inZone] of this.zones) this.zones.set(zone, this.ordered(inZone))
  }

  /** Position in the zone, from 0. A host that is not in the tree (it is leaving) counts as the zone's last one. */
  positionOf (host: TreeHost): number {
    return this.positions.get(host.hostId) ?? this.hostsOf(host.zone).length
  }

  /** Parent, grandparent and so on, up to the zone's first host; empty for the first host. */
  ancestorsOf (host: TreeHost): Host[] {
    const inZone = this.hostsOf(host.zone)
    const ancestors: Host[] = []
    let position = this.positionOf(host)
    while (position > 0) {
      position = this.parentPosition(position)
      const ancestor = inZone[position]
      if (ancestor !== undefined) ancestors.push(ancestor)
    }
    return ancestors
  }

  /** The parent; undefined for a zone's first host. */
  parentOf (host: TreeHost): Host | undefined {
    return this.ancestorsOf(host)[0]
  }

  /** The hosts whose parent this is. */
  childrenOf (host: TreeHost): Host[] {
    if (!this.positions.has(host.hostId)) return []
    const start = this.positionOf(host) * this.options.fanOut + 1
    return this.hostsOf(host.zone).slice(start, start + this.options.fanOut)
  }

  /** Up to `count` hosts with the same parent: those that follow in the order, around the end. */
  siblingsOf (host: TreeHost, count: number): Host[] {
    const parent = this.parentOf(host)
    if (parent === undefined) return []
    const family = this.childrenOf(parent)
    const own = family.findIndex(({ hostId }) => hostId === host.hostId)
    const others = [...family.slice(own + 1), ...family.slice(0, Math.max(own, 0))]
    return others.slice(0, count)
  }

  /** The host of a zone that reads the log; undefined for a zone without hosts. */
  firstOf (zone: Zone): Host | undefined {
    return this.hostsOf(zone)[0]
  }

  /**
   * The first hosts of the other zones: those of the host's region before the others, and within each group
   * from the zone after its own on, so that the zones do not all turn to the same one.
   */
  firstsOfOtherZones (host: TreeHost): Host[] {
    const zones = [...this.zones.keys()].sort()
    const after = zones.filter(zone => zone > host.zone)
    const before = zones.filter(zone => zone < host.zone)
    const firsts = [...after, ...before].flatMap(zone => this.firstOf(zone) ?? [])
    const near = firsts.filter(({ region }) => region === host.region)
    const far = firsts.filter(({ region }) => region !== host.region)
    return [...near, ...far]
  }

  private hostsOf (zone: Zone): Host[] {
    return this.zones.get(zone) ?? []
  }

  private parentPosition (position: number): number {
    return Math.floor((position - 1) / this.options.fanOut)
  }

  private ordered (hosts: Host[]): Host[] {
    const sorted = hosts
      .map(host => ({ host, hash: this.options.hash(host.hostId) }))
      .sort((left, right) => compare(left.hash, right.hash) || compare(left.host.hostId, right.host.hostId))
      .map(({ host }) => host)
    sorted.forEach(({ hostId }, position) => this.positions.set(hostId, position))
    return sorted
  }
}

function compare<Value extends bigint | string> (left: Value, right: Value): number {
  if (left < right) return -1
  return left > right ? 1 : 0
}

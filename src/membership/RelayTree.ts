/**
 * The relay tree. It is a pure function of the hosts on the list, so that all hosts with the same view build the same
 * tree without communicating. In each zone, hosts are ordered by the hash of their id; the parent of the host at
 * position `i` is at position `floor((i - 1) / fanOut)`.
 */
import type { HostId, Region, Zone } from '../common/index.js'
import type { HostHash } from './hostHash.js'

/** The attributes of a host that the tree depends on. */
export interface TreeHost {
  hostId: HostId
  zone: Zone
  region: Region
}

/** Options of a `RelayTree`. */
export interface RelayTreeOptions {
  /** Maximum number of children of a host. */
  fanOut: number
  hash: HostHash
}

/** The relay trees of all zones, one per zone. */
export class RelayTree<Host extends TreeHost = TreeHost> {
  private readonly zones = new Map<Zone, Host[]>()
  private readonly positions = new Map<HostId, number>()

  constructor (hosts: Iterable<Host>, private readonly options: RelayTreeOptions) {
    for (const host of hosts) {
      const zoneHosts = this.zones.get(host.zone)
      if (zoneHosts === undefined) this.zones.set(host.zone, [host])
      else zoneHosts.push(host)
    }
    for (const [zone, zoneHosts] of this.zones) this.zones.set(zone, this.orderZone(zoneHosts))
  }

  /**
   * Position in the zone, starting at 0. A leaving host is not in the tree; its position is the one after the zone's last
   * host.
   */
  positionOf (host: TreeHost): number {
    return this.positions.get(host.hostId) ?? this.hostsOf(host.zone).length
  }

  /** The parent, the grandparent and so on, up to the zone's first host; empty for the first host. */
  ancestorsOf (host: TreeHost): Host[] {
    const zoneHosts = this.hostsOf(host.zone)
    const ancestors: Host[] = []
    let position = this.positionOf(host)
    while (position > 0) {
      position = this.parentPosition(position)
      const ancestor = zoneHosts[position]
      if (ancestor !== undefined) ancestors.push(ancestor)
    }
    return ancestors
  }

  /** The parent of the host; undefined for a zone's first host. */
  parentOf (host: TreeHost): Host | undefined {
    return this.ancestorsOf(host)[0]
  }

  /** The children of the host; empty for a host that is not in the tree. */
  childrenOf (host: TreeHost): Host[] {
    if (!this.positions.has(host.hostId)) return []
    const start = this.positionOf(host) * this.options.fanOut + 1
    return this.hostsOf(host.zone).slice(start, start + this.options.fanOut)
  }

  /** Up to `count` hosts with the same parent: those after the host in the order of the zone, wrapping around. */
  siblingsOf (host: TreeHost, count: number): Host[] {
    const parent = this.parentOf(host)
    if (parent === undefined) return []
    const parentChildren = this.childrenOf(parent)
    const ownIndex = parentChildren.findIndex(({ hostId }) => hostId === host.hostId)
    const others = [...parentChildren.slice(ownIndex + 1), ...parentChildren.slice(0, Math.max(ownIndex, 0))]
    return others.slice(0, count)
  }

  /** The first host of a zone, which is the root of its tree and reads the log; undefined for a zone without hosts. */
  firstHostOf (zone: Zone): Host | undefined {
    return this.hostsOf(zone)[0]
  }

  /**
   * The first hosts of the other zones, those in the host's region before those in other regions. Both groups are in
   * the order of zone names, starting after the host's own zone, so that not all zones prefer the same other zone.
   */
  firstHostsOfOtherZones (host: TreeHost): Host[] {
    const zones = [...this.zones.keys()].sort()
    const after = zones.filter(zone => zone > host.zone)
    const before = zones.filter(zone => zone < host.zone)
    const firstHosts = [...after, ...before].flatMap(zone => this.firstHostOf(zone) ?? [])
    const inOwnRegion = firstHosts.filter(({ region }) => region === host.region)
    const inOtherRegions = firstHosts.filter(({ region }) => region !== host.region)
    return [...inOwnRegion, ...inOtherRegions]
  }

  private hostsOf (zone: Zone): Host[] {
    return this.zones.get(zone) ?? []
  }

  private parentPosition (position: number): number {
    return Math.floor((position - 1) / this.options.fanOut)
  }

  /** Sorts the hosts of a zone by the hash of their id and stores their positions. */
  private orderZone (hosts: Host[]): Host[] {
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

/**
 * Guards against hosts that are cut off from the log (no path to the zone's first host, or a cycle), against
 * paths longer than the propagation time allows, and against a leaving host that makes most others reconnect.
 */
import { beforeAll, expect, test } from '@jest/globals'
import fc from 'fast-check'
import type { HostId, Region, Zone } from '../common/index.js'
import { type HostHash, loadHostHash, RelayTree, type TreeHost } from './index.js'

let hash: HostHash
beforeAll(async () => { hash = await loadHostHash() })

const seed = 20261204

function treeHost (hostId: string, zone = 'z', region = 'r'): TreeHost {
  return { hostId: hostId as HostId, zone: zone as Zone, region: region as Region }
}

const hostIds = fc.uniqueArray(fc.stringMatching(/^[a-z0-9][a-z0-9-]{0,12}$/), { minLength: 1, maxLength: 200 })
const fanOuts = fc.integer({ min: 2, max: 16 })

/** Number of levels below the first host that n hosts need. */
function depthBound (hosts: number, fanOut: number): number {
  let depth = 0
  for (let held = 1, level = 1; held < hosts; depth += 1) {
    level *= fanOut
    held += level
  }
  return depth
}

test('every host has a path to the first host within the depth bound, and no parent has too many children', () => {
  fc.assert(fc.property(hostIds, fanOuts, (ids, fanOut) => {
    const hosts = ids.map(id => treeHost(id))
    const tree = new RelayTree(hosts, { fanOut, hash })
    const first = tree.firstOf('z' as Zone)
    for (const host of hosts) {
      const ancestors = tree.ancestorsOf(host)
      expect(host === first ? host : ancestors.at(-1)).toBe(first)
      expect(ancestors.length).toBeLessThanOrEqual(depthBound(hosts.length, fanOut))
      expect(new Set([host, ...ancestors]).size).toBe(ancestors.length + 1)
      expect(tree.childrenOf(host).length).toBeLessThanOrEqual(fanOut)
      for (const child of tree.childrenOf(host)) expect(tree.parentOf(child)).toBe(host)
      expect(tree.siblingsOf(host, 3).every(other => other !== host && tree.parentOf(other) === ancestors[0])).toBe(true)
    }
  }), { seed, numRuns: 60 })
})

test('the tree does not depend on the order in which the list names the hosts', () => {
  fc.assert(fc.property(hostIds, fc.infiniteStream(fc.nat()), (ids, keys) => {
    const hosts = ids.map(id => treeHost(id))
    const shuffled = hosts.map(host => ({ host, key: keys.next().value as number }))
      .sort((left, right) => left.key - right.key).map(({ host }) => host)
    const [tree, other] = [hosts, shuffled].map(order => new RelayTree(order, { fanOut: 8, hash }))
    for (const host of hosts) expect(tree?.parentOf(host)).toBe(other?.parentOf(host))
  }), { seed, numRuns: 60 })
})

/** Hosts other than the leaving one whose parent changes; those whose parent leaves have to move in any case. */
function movedBy (leaving: TreeHost, hosts: TreeHost[], fanOut: number): number {
  const before = new RelayTree(hosts, { fanOut, hash })
  const rest = hosts.filter(host => host !== leaving)
  const after = new RelayTree(rest, { fanOut, hash })
  return rest.filter(host => before.parentOf(host) !== after.parentOf(host) && before.parentOf(host) !== leaving).length
}

test('a leaving host without children moves at most one host in each family after it', () => {
  fc.assert(fc.property(hostIds, fanOuts, fc.nat(), (ids, fanOut, pick) => {
    const hosts = ids.map(id => treeHost(id))
    const tree = new RelayTree(hosts, { fanOut, hash })
    const leaves = hosts.filter(host => tree.childrenOf(host).length === 0)
    const leaving = leaves[pick % leaves.length] as TreeHost
    expect(movedBy(leaving, hosts, fanOut)).toBeLessThanOrEqual(Math.ceil((hosts.length - tree.positionOf(leaving)) / fanOut))
  }), { seed, numRuns: 200 })
})

test('in a zone of the target size a leaving host moves few others on average', () => {
  const hosts = Array.from({ length: 188 }, (_, index) => treeHost(`pl-north-a-${index}`))
  const moved = hosts.map(leaving => movedBy(leaving, hosts, 8))
  expect(moved.reduce((sum, count) => sum + count, 0) / hosts.length).toBeLessThan(0.15 * hosts.length)
})

test('first hosts of other zones: own region first, then in turn after the own zone', () => {
  const hosts = ['a', 'b', 'c', 'd'].map(zone => treeHost(`host-${zone}`, zone, zone === 'c' ? 'far' : 'near'))
  const tree = new RelayTree(hosts, { fanOut: 8, hash })
  const names = tree.firstsOfOtherZones(treeHost('host-b', 'b', 'near')).map(({ hostId }) => hostId)
  expect(names).toEqual(['host-d', 'host-a', 'host-c'])
})

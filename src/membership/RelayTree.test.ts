/**
 * Guards against hosts without a path to the log (no path to the zone's first host, or a cycle), paths longer than the
 * propagation time allows, and a leaving host that makes most other hosts reconnect.
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

/** Number of levels below the first host that a full tree of `hosts` hosts needs. */
function depthBound (hosts: number, fanOut: number): number {
  let depth = 0
  for (let hostCount = 1, levelSize = 1; hostCount < hosts; depth += 1) {
    levelSize *= fanOut
    hostCount += levelSize
  }
  return depth
}

test('every host has an acyclic path to the first host within the depth bound, and no host has more than fanOut children', () => {
  fc.assert(fc.property(hostIds, fanOuts, (ids, fanOut) => {
    const hosts = ids.map(id => treeHost(id))
    const tree = new RelayTree(hosts, { fanOut, hash })
    const firstHost = tree.firstHostOf('z' as Zone)
    for (const host of hosts) {
      const ancestors = tree.ancestorsOf(host)
      expect(host === firstHost ? host : ancestors.at(-1)).toBe(firstHost)
      expect(ancestors.length).toBeLessThanOrEqual(depthBound(hosts.length, fanOut))
      expect(new Set([host, ...ancestors]).size).toBe(ancestors.length + 1)
      expect(tree.childrenOf(host).length).toBeLessThanOrEqual(fanOut)
      for (const child of tree.childrenOf(host)) expect(tree.parentOf(child)).toBe(host)
      expect(tree.siblingsOf(host, 3).every(other => other !== host && tree.parentOf(other) === ancestors[0])).toBe(true)
    }
  }), { seed, numRuns: 60 })
})

test('the parents do not depend on the order of the hosts on the list', () => {
  fc.assert(fc.property(hostIds, fc.infiniteStream(fc.nat()), (ids, keys) => {
    const hosts = ids.map(id => treeHost(id))
    const shuffled = hosts.map(host => ({ host, key: keys.next().value as number }))
      .sort((left, right) => left.key - right.key).map(({ host }) => host)
    const [tree, other] = [hosts, shuffled].map(order => new RelayTree(order, { fanOut: 8, hash }))
    for (const host of hosts) expect(tree?.parentOf(host)).toBe(other?.parentOf(host))
  }), { seed, numRuns: 60 })
})

/** Counts the remaining hosts whose parent changes, except children of the leaving host, which always need a new parent. */
function countReparented (leaving: TreeHost, hosts: TreeHost[], fanOut: number): number {
  const before = new RelayTree(hosts, { fanOut, hash })
  const rest = hosts.filter(host => host !== leaving)
  const after = new RelayTree(rest, { fanOut, hash })
  return rest.filter(host => before.parentOf(host) !== after.parentOf(host) && before.parentOf(host) !== leaving).length
}

test('when a host without children leaves, at most one in fanOut hosts starting at the leaving host\'s position changes its parent', () => {
  fc.assert(fc.property(hostIds, fanOuts, fc.nat(), (ids, fanOut, pick) => {
    const hosts = ids.map(id => treeHost(id))
    const tree = new RelayTree(hosts, { fanOut, hash })
    const leaves = hosts.filter(host => tree.childrenOf(host).length === 0)
    const leaving = leaves[pick % leaves.length] as TreeHost
    expect(countReparented(leaving, hosts, fanOut))
      .toBeLessThanOrEqual(Math.ceil((hosts.length - tree.positionOf(leaving)) / fanOut))
  }), { seed, numRuns: 200 })
})

test('in a zone of the target size, 188 hosts, a leaving host changes the parent of less than 15 % of the hosts on average', () => {
  const hosts = Array.from({ length: 188 }, (_, index) => treeHost(`pl-north-a-${index}`))
  const reparentedCounts = hosts.map(leaving => countReparented(leaving, hosts, 8))
  expect(reparentedCounts.reduce((sum, count) => sum + count, 0) / hosts.length).toBeLessThan(0.15 * hosts.length)
})

test('firstHostsOfOtherZones returns own-region hosts first, each group in zone order starting after the own zone', () => {
  const hosts = ['a', 'b', 'c', 'd'].map(zone => treeHost(`host-${zone}`, zone, zone === 'c' ? 'far' : 'near'))
  const tree = new RelayTree(hosts, { fanOut: 8, hash })
  const names = tree.firstHostsOfOtherZones(treeHost('host-b', 'b', 'near')).map(({ hostId }) => hostId)
  expect(names).toEqual(['host-d', 'host-a', 'host-c'])
})

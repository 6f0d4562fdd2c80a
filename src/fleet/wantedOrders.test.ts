/**
 * Guards against engines that keep an old model, version, adapter or role after the configuration changed, and
 * against orders that are sent again although the engine has what is wanted.
 */
import { describe, expect, test } from '@jest/globals'
import type { Model, WorkerId } from '../common/index.js'
import { FixedConfiguration } from '../configuration/index.js'
import { type EngineState, engineStateSchema } from '../orders/index.js'
import { nextOrder, wantedEngines } from './wantedOrders.js'

const configuration = new FixedConfiguration({
  '/fleet/models/pez': { versions: ['1', '2'], defaultVersion: '2', contextTokens: 10 },
  '/fleet/adapters/pez-moderacion': { model: 'pez', version: '1' },
  '/fleet/adapters/other': { model: 'tetra', version: '1' },
  '/fleet/pools/p': { kind: 'engines', models: ['pez'], workers: [{ id: 'e1' }, { id: 'e2' }] },
  '/fleet/pools/s': { kind: 'service', workers: [{ id: 's1' }], service: { routes: [] } },
  '/fleet/roles/e1': { role: 'decode' }
})

const complete = engineStateSchema.parse({
  incarnation: '0123456789abcdef',
  role: 'decode',
  models: [{ model: 'pez', version: '2' }],
  adapters: [{ adapter: 'pez-moderacion', model: 'pez', version: '1' }],
  lastOrderId: null,
  runningOrderId: null,
  greatestFencingNumber: 0
})

describe('wantedEngines', () => {
  test('takes default versions, adapters of the pool\'s models, and roles; services are left out', () => {
    const wanted = wantedEngines(configuration)
    expect([...wanted.keys()]).toEqual(['e1', 'e2'])
    expect(wanted.get('e1' as WorkerId)).toEqual({
      models: [{ model: 'pez', version: '2' }],
      adapters: [{ adapter: 'pez-moderacion', model: 'pez', version: '1' }],
      role: 'decode'
    })
    expect(wanted.get('e2' as WorkerId)?.role).toBeUndefined()
  })
})

describe('nextOrder', () => {
  const wanted = wantedEngines(configuration).get('e1' as WorkerId)
  test.each<[string, Partial<EngineState>, string | undefined]>([
    ['has everything', {}, undefined],
    ['has no model', { models: [] }, 'load_model'],
    ['has an old version', { models: [{ model: 'pez' as Model, version: '1' }] }, 'load_version'],
    ['lacks the adapter', { adapters: [] }, 'load_adapter'],
    ['has a model that no pool wants', { models: [...complete.models, { model: 'old' as Model, version: '1' }] }, 'unload_model'],
    ['has another role', { role: 'mixed' }, 'change_role']
  ])('an engine that %s', (_name, state, kind) => {
    expect(wanted !== undefined && nextOrder(wanted, { ...complete, ...state })?.kind).toBe(kind)
  })
})

/**
 * Guards against engines that keep an old model, version, adapter or role after the configuration changed, and against
 * orders to an engine that is already in its desired state.
 */
import { describe, expect, test } from '@jest/globals'
import type { Model, WorkerId } from '../common/index.js'
import { FixedConfiguration } from '../configuration/index.js'
import { type EngineState, engineStateSchema } from '../orders/index.js'
import { nextOrder, desiredEngines } from './desiredEngines.js'

const configuration = new FixedConfiguration({
  '/fleet/models/pez': { versions: ['1', '2'], defaultVersion: '2', contextTokens: 10 },
  '/fleet/adapters/pez-moderacion': { model: 'pez', version: '1' },
  '/fleet/adapters/other': { model: 'tetra', version: '1' },
  '/fleet/pools/p': { kind: 'engines', models: ['pez'], workers: [{ id: 'e1' }, { id: 'e2' }] },
  '/fleet/pools/s': { kind: 'service', workers: [{ id: 's1' }], service: { routes: [] } },
  '/fleet/roles/e1': { role: 'decode' }
})

const upToDateState = engineStateSchema.parse({
  incarnation: '0123456789abcdef',
  role: 'decode',
  models: [{ model: 'pez', version: '2' }],
  adapters: [{ adapter: 'pez-moderacion', model: 'pez', version: '1' }],
  lastOrderId: null,
  runningOrderId: null,
  greatestFencingNumber: 0
})

describe('desiredEngines', () => {
  test('the desired state of an engine has the default versions and adapters of its pool\'s models and its configured role; service workers have no entry', () => {
    const desired = desiredEngines(configuration)
    expect([...desired.keys()]).toEqual(['e1', 'e2'])
    expect(desired.get('e1' as WorkerId)).toEqual({
      models: [{ model: 'pez', version: '2' }],
      adapters: [{ adapter: 'pez-moderacion', model: 'pez', version: '1' }],
      role: 'decode'
    })
    expect(desired.get('e2' as WorkerId)?.role).toBeUndefined()
  })
})

describe('nextOrder', () => {
  const desired = desiredEngines(configuration).get('e1' as WorkerId)
  test.each<[string, Partial<EngineState>, string | undefined]>([
    ['is in its desired state', {}, undefined],
    ['lacks a model', { models: [] }, 'load_model'],
    ['has a version that is not the default', { models: [{ model: 'pez' as Model, version: '1' }] }, 'load_version'],
    ['lacks an adapter', { adapters: [] }, 'load_adapter'],
    ['has a model that its pool does not list', { models: [...upToDateState.models, { model: 'old' as Model, version: '1' }] }, 'unload_model'],
    ['has a role other than the configured one', { role: 'mixed' }, 'change_role']
  ])('for an engine that %s, the next order is %s', (_name, state, kind) => {
    expect(desired !== undefined && nextOrder(desired, { ...upToDateState, ...state })?.kind).toBe(kind)
  })
})

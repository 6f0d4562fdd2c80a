/**
 * Predicates on orders: whether an engine has reached the target, and what the order does to the engine.
 */
import { match } from 'ts-pattern'
import type { EngineOrder, EngineState } from './orderRecords.js'

/** True if the state that the engine reports matches the target of the order. */
export function isTargetReached (order: EngineOrder, state: EngineState): boolean {
  return match(order)
    .with({ kind: 'load_model' }, { kind: 'load_version' }, ({ model, version }) =>
      state.models.some(loaded => loaded.model === model && loaded.version === version))
    .with({ kind: 'unload_model' }, ({ model }) => state.models.every(loaded => loaded.model !== model))
    .with({ kind: 'load_adapter' }, ({ adapter, model, version }) =>
      state.adapters.some(loaded => loaded.adapter === adapter && loaded.model === model && loaded.version === version))
    .with({ kind: 'change_role' }, ({ role }) => state.role === role)
    .exhaustive()
}

/** True if the engine downloads weights from the weight store for the order. */
export function loadsWeights (order: EngineOrder): boolean {
  return order.kind === 'load_model' || order.kind === 'load_version' || order.kind === 'load_adapter'
}

/** True if the order interrupts requests that run on the engine, so that the engine has to be drained first. */
export function interruptsEngine (kind: EngineOrder['kind']): boolean {
  return kind === 'change_role' || kind === 'load_version' || kind === 'unload_model'
}

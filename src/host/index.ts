export { EntryHost, type LifecycleState as LifeState } from './EntryHost.js'

export { EntryHost, type LifecycleState } from './EntryHost.js'

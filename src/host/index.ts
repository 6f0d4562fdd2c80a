export { EntryHost, type LifeState } from './EntryHost.js'

export { EngineStandIn } from './EngineStandIn.js'
export { type EngineSettings, type EngineStandInSettings, engineStandInSettingsSchema } from './EngineSettings.js'
export { type ReceivedOrderMessage, type StandInOrder, type StandInOrderMessage, type StandInOrderStatus } from './orders.js'
export { blocksOf, expectedText, type KvBlock, tokensOf } from './tokens.js'

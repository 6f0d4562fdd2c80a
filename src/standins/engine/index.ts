export { EngineStandIn } from './EngineStandIn.js'
export { type EngineSettings, type EngineStandInSettings, engineStandInSettingsSchema } from './EngineSettings.js'
export { type EngineOrder, type OrderMessage, type OrderStatus, type ReceivedOrder } from './orders.js'
export { blocksOf, expectedText, type KvBlock, tokensOf } from './tokens.js'

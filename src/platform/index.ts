export * from './PlatformSettings.js'
export * from './PlatformHost.js'

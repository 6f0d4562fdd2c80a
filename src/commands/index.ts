export { runCommandLine } from './runCommandLine.js'

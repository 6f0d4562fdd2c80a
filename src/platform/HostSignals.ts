/**
 * The signals of a host's process. They are handled from the first statement of the program on, since the default action
 * of each would end the process while the host is still being loaded.
 */

/** What of `process` the signals need. */
export interface SignalEmitter {
  on: (signal: 'SIGHUP' | 'SIGINT' | 'SIGTERM', listener: () => void) => unknown
  exit: (status: number) => void
}

/** What a host does on signals. */
export interface SignalHandlers {
  /** Reads the settings again (SIGHUP). */
  reload: () => void
  /** Stops in order (SIGTERM, SIGINT). */
  stop: () => void
}

/** Takes the signals of a process, before and after its host exists. */
export class HostSignals {
  private handlers: SignalHandlers | undefined

  constructor (emitter: SignalEmitter) {
    // A signal to reload has no effect before the hand-over, which reads the settings again anyway.
    emitter.on('SIGHUP', () => { this.handlers?.reload() })
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      emitter.on(signal, () => {
        if (this.handlers === undefined) emitter.exit(0)
        else this.handlers.stop()
      })
    }
  }

  /** Passes signals to the handlers from now on. Reloads once, since the settings may have changed meanwhile. */
  handOver (handlers: SignalHandlers): void {
    this.handlers = handlers
    handlers.reload()
  }
}

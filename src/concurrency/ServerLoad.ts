/**
 * The load that a worker states in a response: a sample, since it changes many times a second.
 */
export interface ServerLoad {
  /** Requests that the worker processes. */
  running: number
  /** Requests that wait at the worker. */
  waiting: number
  /** Requests that the worker processes at once. */
  slots: number
  /** Factor on the usual time of work at this moment; undefined if the worker does not state it. */
  slowness?: number
}

/**
 * Learns when workers began to run requests.
 */
import type { ServiceRequest } from './ServiceRequest.js'

/** Receives the begin of each request once, however many attempts it takes. */
export interface RunObserver {
  /**
   * A worker began to run the request at this Unix time in milliseconds: a stream with its first event, any other request
   * when the attempt was sent that the worker answered.
   */
  runBegan: (request: ServiceRequest, atWallMilliseconds: number) => void
}

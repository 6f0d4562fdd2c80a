export * from './PeerIdentity.js'
export * from './PeerHandlers.js'
export * from './PeerServer.js'
export * from './PeerPool.js'
export * from './PeerRecordSource.js'
export { PeerCertificates, type PeerCertificatesOptions } from './PeerCertificates.js'
export type {
  DemandAnswer, DemandReport, Header, HeartbeatAnswer, HeartbeatRequest, LeaseStatusAnswer, LeaseStatusRequest, ModelDemand,
  OnceAnswer, OnceCall, UseAnswer, UseBatch, UseMirror
} from './generated/peer.js'

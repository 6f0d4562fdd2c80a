/**
 * Options of the gRPC library that both ends of a connection between hosts share.
 */
import type { ChannelOptions } from '@grpc/grpc-js'

/**
 * A connection that went silent is found after at most 1000 + 1500 ms, below the 3 s after which a peer
 * counts as silent.
 */
export const keepAliveOptions: ChannelOptions = {
  'grpc.keepalive_time_ms': 1000,
  'grpc.keepalive_timeout_ms': 1500
}

/** Largest message, in bytes: a snapshot of the configuration with its history is the largest one sent. */
const maxMessageBytes = 64 * 1024 * 1024

/** Limits of messages. */
export const channelLimits: ChannelOptions = {
  'grpc.max_receive_message_length': maxMessageBytes,
  'grpc.max_send_message_length': maxMessageBytes
}

/** Options of a client's channel. */
export const clientChannelOptions: ChannelOptions = {
  ...keepAliveOptions,
  ...channelLimits,
  // A call runs once or not at all; repeating it is the caller's decision.
  'grpc.enable_retries': 0,
  'grpc.enable_http_proxy': 0,
  'grpc.service_config_disable_resolution': 1,
  // Without this, pools in one process (tests, benchmarks) would share their connections.
  'grpc.use_local_subchannel_pool': 1,
  // A peer that restarts is met again within a second.
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  // Connections to hosts that are not neighbours close after a minute without calls.
  'grpc.client_idle_timeout_ms': 60_000
}

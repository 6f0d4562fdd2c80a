/**
 * grpc-js options for connections between hosts.
 */
import type { ChannelOptions } from '@grpc/grpc-js'

/**
 * HTTP/2 keep-alive options of both ends. A connection that has gone silent is detected after at most 1000 + 1500 ms,
 * less than the 3 s after which the membership considers a peer silent.
 */
export const keepAliveOptions: ChannelOptions = {
  'grpc.keepalive_time_ms': 1000,
  'grpc.keepalive_timeout_ms': 1500
}

/** Maximum size of a message, in bytes. The largest message is a snapshot of the configuration with its history. */
const maxMessageBytes = 64 * 1024 * 1024

/** Message size limits of both ends. */
export const channelLimits: ChannelOptions = {
  'grpc.max_receive_message_length': maxMessageBytes,
  'grpc.max_send_message_length': maxMessageBytes
}

/** Options of a client channel. */
export const clientChannelOptions: ChannelOptions = {
  ...keepAliveOptions,
  ...channelLimits,
  // A call must run at most once; only its caller decides about retries.
  'grpc.enable_retries': 0,
  'grpc.enable_http_proxy': 0,
  'grpc.service_config_disable_resolution': 1,
  // Without this option, the pools of one process (in tests and benchmarks) would share connections.
  'grpc.use_local_subchannel_pool': 1,
  // Reconnects to a restarted peer within a second.
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  // Closes connections to hosts that are not neighbours in the relay tree after a minute without calls.
  'grpc.client_idle_timeout_ms': 60_000
}

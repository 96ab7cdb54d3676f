/**
Options of every gRPC channel and server. The library's retries, service configuration and connection sharing are
disabled, since this system does its own retries and address selection.
*/

import type {ChannelOptions} from '@grpc/grpc-js';

/** Maximum message size on any channel, in bytes. */
export const maxMessageBytes = 16 * 1024 * 1024;

/** Interval between keep-alive probes on an idle connection. */
export const keepaliveTimeMs = 5000;

/** Time after which an unanswered keep-alive probe closes the connection. */
export const keepaliveTimeoutMs = 3000;

/** Calls that one connection may have open; a daemon has a few, and some more after a stall. */
const maxCallsOnConnection = 100;

/** Options for client channels. */
export const channelOptions: ChannelOptions = {
	'grpc.enable_retries': 0,
	'grpc.service_config_disable_resolution': 1,
	'grpc.use_local_subchannel_pool': 1,
	'grpc.max_receive_message_length': maxMessageBytes,
	'grpc.max_send_message_length': maxMessageBytes,
	'grpc.keepalive_time_ms': keepaliveTimeMs,
	'grpc.keepalive_timeout_ms': keepaliveTimeoutMs,
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.min_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': 1000,
	'grpc.enable_http_proxy': 0,
};

/** Options for servers. */
export const serverOptions: ChannelOptions = {
	'grpc.max_receive_message_length': maxMessageBytes,
	'grpc.max_send_message_length': maxMessageBytes,
	'grpc.keepalive_time_ms': keepaliveTimeMs,
	'grpc.keepalive_timeout_ms': keepaliveTimeoutMs,
	'grpc.max_concurrent_streams': maxCallsOnConnection,
};

/** Builds a channel target from a literal `host:port`, so that no name resolution takes place. */
export function channelTarget(address: string): string {
	return address.startsWith('[') ? `ipv6:${address}` : `ipv4:${address}`;
}

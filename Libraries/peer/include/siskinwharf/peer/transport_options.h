#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/peer/frame.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::peer {

/// What a `peer_transport` is made with.
struct transport_options {
    instance_id self;
    std::string key;                  ///< Shared by all entry processes of the deployment.
    address listen;                   ///< Port 0 lets the system choose one port for UDP and TCP.
    std::uint64_t first_sequence = 1; ///< Start time in microseconds since the epoch; see `replay_guard`.
    std::uint64_t seed = 0;           ///< For the jitter of the back-off.

    milliseconds connect_timeout{1000};
    milliseconds frame_timeout{
        5000}; ///< For a whole frame once its first bytes have arrived, and for writing.
    milliseconds idle_timeout{30000}; ///< After which a connection without a request is closed.
    milliseconds first_backoff{100};  ///< After the first failed connection; doubles with each further one.
    milliseconds last_backoff{5000};

    std::size_t connections_per_peer = 2; ///< Outgoing. One request is in flight on each.
    std::size_t requests_per_peer = 64;   ///< In flight or waiting for a connection.
    std::size_t incoming_connections = 512;
    std::size_t incoming_connections_per_host = 64;
    /// Bytes of all incoming frames that are being read. A quarter of the memory budget of 256 MB of a node.
    std::size_t incoming_bytes = 64UL * 1024 * 1024;
    std::size_t queued_datagrams = 1024; ///< Further ones are dropped.
};

/// How often a peer may receive a request.
enum class delivery_count : std::uint8_t {
    may_repeat,
    at_most_once, ///< `peer_unreachable` and `too_many_requests` then mean that the peer did not receive it.
};

/// No answer came before the deadline. The peer may have acted on the request.
struct request_timed_out {
    auto operator<=>(const request_timed_out&) const = default;
};

/// No connection could be made, or an earlier one failed so recently that none was tried. The request was not
/// sent.
struct peer_unreachable {
    auto operator<=>(const peer_unreachable&) const = default;
};

/// The connection ended, or the answer failed its checks. The peer may have acted on the request.
struct connection_lost {
    auto operator<=>(const connection_lost&) const = default;
};

/// As many requests to this peer as allowed are in flight or waiting. The request was not sent.
struct too_many_requests {
    auto operator<=>(const too_many_requests&) const = default;
};

/// The transport is stopped.
struct transport_stopped {
    auto operator<=>(const transport_stopped&) const = default;
};

using transport_error = std::variant<request_timed_out, peer_unreachable, connection_lost, too_many_requests,
                                     transport_stopped, frame_too_long>;
using request_result = std::variant<message, transport_error>;

/// Totals since the transport was made.
struct transport_counters {
    std::uint64_t datagram_bytes_sent = 0; ///< Payload, without IP and UDP headers.
    std::uint64_t datagram_bytes_received = 0;
    std::uint64_t stream_bytes_sent = 0;
    std::uint64_t stream_bytes_received = 0;
    std::uint64_t datagrams_dropped = 0; ///< For want of space in a queue or socket buffer.
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_failed = 0;
    std::uint64_t connections_refused = 0; ///< Incoming ones over a limit.
    /// Frames that failed a check, by the position of the error in `frame_error`.
    std::array<std::uint64_t, std::variant_size_v<frame_error>> rejected{};

    auto operator<=>(const transport_counters&) const = default;
};

} // namespace siskinwharf::peer

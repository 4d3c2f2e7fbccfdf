#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>

#include "siskinwharf/peer/frame.h"

namespace siskinwharf::peer {

/// Receives what a `peer_transport` gets. Called on the threads of its executor.
class transport_handler {
public:
    transport_handler() = default;
    transport_handler(const transport_handler&) = delete;
    transport_handler& operator=(const transport_handler&) = delete;
    transport_handler(transport_handler&&) = delete;
    transport_handler& operator=(transport_handler&&) = delete;
    virtual ~transport_handler() = default;

    /// One datagram. Never called for two datagrams at once. Must not block.
    virtual void receive(frame datagram, address from) = 0;

    /// Answers a request from a peer. No reply closes the connection. Called concurrently for different
    /// connections. The same request can come twice, when its first answer was lost.
    virtual boost::asio::awaitable<std::optional<message>> reply(frame request) = 0;
};

} // namespace siskinwharf::peer

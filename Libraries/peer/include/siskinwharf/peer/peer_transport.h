#pragma once

#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "siskinwharf/peer/transport_handler.h"
#include "siskinwharf/peer/transport_options.h"

namespace siskinwharf::peer {

/// Sends and receives peer messages: datagrams over UDP, requests with replies over TCP. All functions can be
/// called from any thread, and the executor may run on several.
class peer_transport {
public:
    /// Opens the sockets. Throws `boost::system::system_error` if the listening address cannot be used.
    peer_transport(boost::asio::any_io_executor executor, const transport_options& options,
                   const std::shared_ptr<transport_handler>& handler);
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    peer_transport(peer_transport&&) = delete;
    peer_transport& operator=(peer_transport&&) = delete;

    /// Stops the transport; the executor must run on to release its memory.
    ~peer_transport();

    /// The address in use, with the port that the system chose.
    [[nodiscard]] address local_address() const;

    /// Closes all sockets. Requests in flight end with `transport_stopped` or `connection_lost`.
    void stop();

    /// Sends a datagram, which may get lost. Returns an error only if the message is too long for one.
    std::optional<frame_too_long> send(const instance_id& recipient, const address& contact,
                                       const message& body);

    /// Sends a request over TCP and waits for its reply. Unless `sending` says otherwise, a request that
    /// fails on a connection that was idle is sent once more on a new one, so the peer can receive it twice.
    /// Ends at the timeout at the latest; cancelling it has no effect before. An empty recipient
    /// stands for whichever process has the address, and takes a `member_join` only.
    [[nodiscard]] boost::asio::awaitable<request_result>
    request(instance_id recipient, address contact, message body, milliseconds timeout,
            delivery_count sending = delivery_count::may_repeat);

    [[nodiscard]] transport_counters counters() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace siskinwharf::peer

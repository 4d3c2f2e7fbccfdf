#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "siskinwharf/base/time.h"
#include "siskinwharf/http/message.h"

namespace siskinwharf::http {

/// One connection to another process, with the bytes that were read ahead.
struct pooled_connection {
    explicit pooled_connection(boost::asio::any_io_executor executor) : stream(std::move(executor)) {}

    /// Bytes that are read ahead at most. A server could send the head of a chunk without end. Each request
    /// in progress may hold as much.
    static constexpr std::size_t maximum_read_ahead = 32U << 10U;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{maximum_read_ahead};
    bool reused = false;
    monotonic_time usable_until{};
};

using connection_pointer = std::unique_ptr<pooled_connection>;

/// Kept connections of one thread, by address.
class connection_pool {
public:
    explicit connection_pool(boost::asio::any_io_executor executor);

    /// Returns a kept connection if allowed and there is one, else a fresh one. Throws `call_error`.
    boost::asio::awaitable<connection_pointer> connect(address target, bool may_reuse,
                                                       milliseconds timeout = default_connect_timeout);
    /// Keeps a connection whose response was read to its end, for `lifetime` at most.
    void keep(const address& target, connection_pointer used, milliseconds lifetime = default_lifetime);
    void forget(const address& target) { m_kept.erase(target); }
    [[nodiscard]] std::uint64_t opened() const { return m_opened; }

    /// Endpoints are in the same failure domain or one slow link away; a connect that takes longer has
    /// failed.
    static constexpr milliseconds default_connect_timeout{2'000};
    /// Servers close idle connections after some seconds; one that is about to be closed must not be used.
    static constexpr milliseconds default_lifetime{60'000};
    /// Keep-alive probes of a connection without traffic, as the system counts them.
    static constexpr int silent_seconds_before_probe = 1;
    static constexpr int seconds_between_probes = 1;
    static constexpr int lost_probes = 2;
    /// Sent data that is not acknowledged for this time ends the connection.
    static constexpr milliseconds longest_unacknowledged{3'000};

private:
    /// Time between two looks at all kept connections.
    static constexpr milliseconds sweep_interval{1'000};
    /// Closes kept connections that cannot be used again. Their other sides may send bytes without end, or
    /// have closed them, and their addresses may never be asked for again.
    void drop_unusable(monotonic_time now);

    boost::asio::any_io_executor m_executor;
    std::map<address, std::vector<connection_pointer>> m_kept;
    monotonic_time m_swept{};
    std::uint64_t m_opened = 0;
};

} // namespace siskinwharf::http

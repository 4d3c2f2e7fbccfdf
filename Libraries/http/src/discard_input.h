#pragma once

#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "connection.h"

namespace siskinwharf::http {

/// Bounds on what is read and thrown away after a refusal.
inline constexpr milliseconds discard_time{2'000};
/// As above for a sound request that there was no memory for. Its caller may read only when all is sent.
inline constexpr milliseconds refused_request_time{30'000};
inline constexpr std::size_t discard_bytes = 16U << 20U;

/// Reads what the caller still sends after a request was refused. Closing a socket with unread input makes
/// the system reset the connection, and the caller may then lose the refusal that is on its way.
inline asio::awaitable<void> discard_input(beast::tcp_stream& stream, milliseconds time)
{
    boost::system::error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    stream.expires_after(time);
    std::vector<char> block(first_read_bytes);
    std::size_t discarded = 0;
    while (discarded < discard_bytes) {
        const auto [error, size] = co_await stream.async_read_some(asio::buffer(block), use_tuple);
        if (error)
            co_return;
        discarded += size;
    }
}

} // namespace siskinwharf::http

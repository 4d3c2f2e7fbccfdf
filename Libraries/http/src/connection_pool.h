#pragma once

#include <map>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "siskinwharf/http/message.h"

namespace siskinwharf::http {

/// One connection to another process, with the bytes that were read ahead.
struct pooled_connection {
    explicit pooled_connection(boost::asio::any_io_executor executor) : stream(std::move(executor)) {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool reused = false;
};

using connection_pointer = std::unique_ptr<pooled_connection>;

/// Kept connections of one thread, by address.
class connection_pool {
public:
    explicit connection_pool(boost::asio::any_io_executor executor);

    /// Returns a kept connection if allowed and there is one, else a fresh one. Throws `call_error`.
    boost::asio::awaitable<connection_pointer> connect(address target, bool may_reuse);
    /// Keeps a connection whose response was read to its end.
    void keep(const address& target, connection_pointer used);

private:
    boost::asio::any_io_executor m_executor;
    std::map<address, std::vector<connection_pointer>> m_kept;
};

} // namespace siskinwharf::http

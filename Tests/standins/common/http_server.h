#pragma once

#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "http_exchange.h"

namespace siskinwharf::standins {

/// HTTP/1.1 server with keep-alive on the loopback interface. Runs on one thread, that of the context, so
/// that the stand-ins need no locks.
class http_server {
public:
    http_server(boost::asio::io_context& context, http_handler handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    /// Listens on 127.0.0.1. Port 0 selects a free port. Returns the port; throws `std::system_error`.
    std::uint16_t listen(std::uint16_t port);
    /// Closes all connections except the one of `kept`, and still accepts new ones.
    void drop_connections(const http_exchange* kept = nullptr);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// Listens, prints `listening 127.0.0.1:PORT` to standard output and runs until SIGTERM or SIGINT.
int run_server(boost::asio::io_context& context, http_server& server, std::uint16_t port);

} // namespace siskinwharf::standins

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "siskinwharf/base/memory_budget.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/http/message.h"

namespace siskinwharf::http {

/// Writes one response: either whole with `send`, or in parts with `begin`, `write` and `finish`.
/// Every call throws `caller_disconnected` if the connection has ended.
class response_writer {
public:
    response_writer() = default;
    response_writer(const response_writer&) = delete;
    response_writer& operator=(const response_writer&) = delete;
    response_writer(response_writer&&) = delete;
    response_writer& operator=(response_writer&&) = delete;
    virtual ~response_writer() = default;

    virtual boost::asio::awaitable<void> send(response whole) = 0;
    virtual boost::asio::awaitable<void> begin(int status, std::vector<header_field> headers) = 0;
    virtual boost::asio::awaitable<void> write(std::string part) = 0;
    virtual boost::asio::awaitable<void> finish() = 0;
    /// Whether a response header has been sent.
    [[nodiscard]] virtual bool started() const = 0;
    /// Ends the connection after this response.
    virtual void close_after_response() = 0;
    /// Ends the connection at once, so that an incomplete response cannot look complete.
    virtual void abort() = 0;
    /// Calls `handler` once if the caller closes the connection before the request handler has returned. Not
    /// noticed while bytes of a further request are waiting.
    virtual void watch_disconnect(std::function<void()> handler) = 0;
};

/// Serves one request. After an exception other than `caller_disconnected` the caller gets status 500, or the
/// response that has begun is aborted.
using request_handler = std::function<boost::asio::awaitable<void>(request, response_writer&)>;

/// Bounds on what one connection may cost.
struct server_limits {
    std::uint32_t header_bytes = 16U << 10U;
    std::uint64_t body_bytes = 1U << 20U;
    /// Time for the header of a request to arrive, for its body, and for one write to make progress.
    milliseconds request_timeout{10'000};
    milliseconds body_timeout{10'000};
    milliseconds write_timeout{30'000};
    /// Time a connection may be idle between two requests.
    milliseconds idle_timeout{75'000};
    /// Longest time after a response for which callers are told that they may use the connection again. They
    /// are told less if the idle time is shorter.
    milliseconds reuse_time{60'000};
    std::uint32_t connections = 4096;
};

/// Certificate chain and private key, both PEM files.
struct tls_files {
    std::string certificate;
    std::string private_key;
};

/// HTTP/1.1 server on one `io_context`. Several servers may listen on the same address, one for each thread.
class server {
public:
    /// Opens the listening socket. Port 0 lets the system choose. Throws `listen_error`.
    server(boost::asio::io_context& context, const address& listen, server_limits limits,
           request_handler handler, const tls_files* tls = nullptr);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;
    ~server();

    /// Bounds the memory of connections and requests, together with what else the budget bounds. Must be
    /// called before `start`.
    void use_budget(std::shared_ptr<memory_budget> budget);
    /// Starts to accept connections.
    void start();
    /// Changes the limits of connections from their next request on. A connection that waits for a request is
    /// kept for the longer idle time of the old and the new limits.
    void set_limits(const server_limits& limits);
    /// From now on each response ends its connection, while connections are still accepted and requests
    /// answered.
    void begin_drain();
    /// Takes the connections that the system has already accepted, then closes the listening socket. Open
    /// connections stay; each further response ends its connection.
    void stop_accepting();
    /// Closes the connections that wait for a request although their callers were told not to use them again
    /// after so long. A connection on which bytes have arrived is not closed.
    void close_unused();
    /// Closes all connections that wait for a request. Requests in progress go on.
    void close_idle();
    // All functions that change something must be called on the thread that runs the context.
    [[nodiscard]] unsigned short port() const;
    /// Requests that have been read and not yet answered.
    [[nodiscard]] std::size_t active_requests() const;
    /// Open connections, with a request or without.
    [[nodiscard]] std::size_t open_connections() const;
    /// Writes a line for each connection that has bytes of a request on it, read or unread. For the end of
    /// the process, when the context no longer runs.
    void log_open_requests() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace siskinwharf::http

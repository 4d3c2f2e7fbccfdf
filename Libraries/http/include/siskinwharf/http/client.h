#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "siskinwharf/base/time.h"
#include "siskinwharf/http/error.h"
#include "siskinwharf/http/message.h"

namespace siskinwharf::http {

/// A response whose body arrives line by line. Destroying it before the end closes the connection.
class line_stream {
public:
    line_stream() = default;
    line_stream(const line_stream&) = delete;
    line_stream& operator=(const line_stream&) = delete;
    line_stream(line_stream&&) = delete;
    line_stream& operator=(line_stream&&) = delete;
    virtual ~line_stream() = default;

    [[nodiscard]] virtual int status() const = 0;
    /// Returns all whole lines that have arrived, at least one, or an empty string at the end of the body.
    /// The lines keep their newline. Throws `call_error`.
    virtual boost::asio::awaitable<std::string> next_lines(milliseconds timeout) = 0;
    /// Makes a pending and every later `next_lines` fail. Must be called on the stream's executor.
    virtual void cancel() = 0;
};

class connection_pool;

/// HTTP/1.1 client with a pool of kept connections. Used from one thread; each thread has its own.
class client {
public:
    explicit client(boost::asio::any_io_executor executor);
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    client(client&&) = delete;
    client& operator=(client&&) = delete;
    ~client();

    /// Sends a request and reads the whole response, of at most `maximum_body` bytes. A `repeatable` request
    /// is sent again if a kept connection turns out to be closed; any other uses a fresh connection. Throws
    /// `call_error`.
    boost::asio::awaitable<response> call(address target, request message, milliseconds timeout,
                                          bool repeatable = true, std::uint64_t maximum_body = 16U << 20U);

    /// Sends a request and returns once the response header has arrived. Throws `call_error`.
    boost::asio::awaitable<std::unique_ptr<line_stream>> open(address target, request message,
                                                              milliseconds header_timeout);

private:
    std::shared_ptr<connection_pool> m_pool;
};

} // namespace siskinwharf::http

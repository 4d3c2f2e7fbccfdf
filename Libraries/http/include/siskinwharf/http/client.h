#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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

/// A response whose body arrives in parts of any size. Destroying it before the end closes the connection.
class part_stream {
public:
    part_stream() = default;
    part_stream(const part_stream&) = delete;
    part_stream& operator=(const part_stream&) = delete;
    part_stream(part_stream&&) = delete;
    part_stream& operator=(part_stream&&) = delete;
    virtual ~part_stream() = default;

    [[nodiscard]] virtual int status() const = 0;
    [[nodiscard]] virtual std::vector<header_field> headers() const = 0;
    /// Whether the connection alone does not prove that this is the response to the request: the connection
    /// carried an earlier request, or the header arrived before the request was written out.
    [[nodiscard]] virtual bool may_answer_earlier_request() const = 0;
    /// Whether only the end of the connection ends the body.
    [[nodiscard]] virtual bool ends_with_connection() const = 0;
    /// Returns what has arrived of the body, without its transfer coding, or an empty string at its end.
    /// Throws `call_error` if the body ends early or nothing arrives in time.
    virtual boost::asio::awaitable<std::string> next_part(milliseconds timeout) = 0;
};

/// Ends a call from outside, at any stage. Used on the call's thread.
class call_control {
public:
    /// Closes the call's connection, now and whenever it gets one; the call fails with `call_error`.
    void cancel()
    {
        m_is_cancelled = true;
        if (m_close)
            m_close();
    }
    [[nodiscard]] bool is_cancelled() const { return m_is_cancelled; }
    /// For the client: how to close the connection in use. Empty while there is none.
    void set_close(std::function<void()> close) { m_close = std::move(close); }

private:
    std::function<void()> m_close;
    bool m_is_cancelled = false;
};

/// Times of one call.
struct call_times {
    milliseconds connect{2'000};
    milliseconds header{2'000}; ///< From the request to the response header.
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

    /// Like `open`, for a response in parts. A `Host` header of the message is kept. Sends the request at
    /// most once, on a kept connection if there is one. `body` is sent instead of the message's own, and may
    /// be shared by several calls.
    boost::asio::awaitable<std::unique_ptr<part_stream>>
    open_parts(address target, request message, call_times times, std::shared_ptr<call_control> control,
               std::shared_ptr<const std::string> body = nullptr);

    /// Closes the kept connections to this address.
    void forget(const address& target);
    /// Connections opened so far.
    [[nodiscard]] std::uint64_t connections_opened() const;

private:
    std::shared_ptr<connection_pool> m_pool;
};

} // namespace siskinwharf::http

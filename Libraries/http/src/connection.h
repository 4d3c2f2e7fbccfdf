#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/stream_traits.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include "siskinwharf/base/memory_budget.h"
#include "siskinwharf/http/error.h"
#include "siskinwharf/http/refusal.h"
#include "siskinwharf/http/server.h"

#include "caller_connection.h"
#include "read_timer.h"

namespace siskinwharf::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

/// Bytes read at first, before the parser knows how much is to come.
inline constexpr std::size_t first_read_bytes = 4096;

/// Memory that a connection takes without a request.
inline constexpr std::uint64_t connection_bytes = 8U << 10U;
/// Memory that a request takes beside its head and body: what it holds of its answer, and buffers.
inline constexpr std::uint64_t request_working_bytes = 48U << 10U;
/// A body up to this size is taken from the memory for ordinary requests.
inline constexpr std::uint64_t short_body_bytes = 128U << 10U;
/// Most bytes of a body that are read at once.
inline constexpr std::uint64_t body_step_bytes = 64U << 10U;
/// Time between two looks whether there is memory to read a body on.
inline constexpr milliseconds memory_poll{20};

inline constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// What callers are told about their connections, as it is when a response header is written.
struct connection_policy {
    bool closes_after_response = false;
    /// Time that a caller is told it may leave the connection idle.
    seconds announced_idle_time{0};
};

/// What a request says of the form of its response.
struct request_framing {
    unsigned version = 11;
    bool keep_alive = false;
    bool is_head = false;
};

/// Bytes that were read from the socket and are not in the server's buffer yet.
[[nodiscard]] inline std::size_t bytes_in_tls(beast::tcp_stream& /*stream*/)
{
    return 0;
}

/// Counts encrypted bytes too: the result is above zero if a request has arrived, but is not its size.
[[nodiscard]] inline std::size_t bytes_in_tls(beast::ssl_stream<beast::tcp_stream>& stream)
{
    auto* const session = stream.native_handle();
    const auto decrypted = static_cast<std::size_t>(std::max(0, SSL_pending(session)));
    return decrypted + BIO_ctrl_pending(SSL_get_rbio(session));
}

/// Response writer on one connection, plain or TLS.
template<typename Stream>
class connection_writer final : public response_writer {
public:
    connection_writer(Stream& stream, caller_connection& connection, const request_framing& framing,
                      milliseconds write_timeout, const connection_policy& policy)
        : m_stream(stream),
          m_connection(connection),
          m_version(framing.version),
          m_keep_alive(framing.keep_alive),
          m_is_head(framing.is_head),
          m_write_timeout(write_timeout),
          m_policy(policy)
    {
    }
    connection_writer(const connection_writer&) = delete;
    connection_writer& operator=(const connection_writer&) = delete;
    connection_writer(connection_writer&&) = delete;
    connection_writer& operator=(connection_writer&&) = delete;
    ~connection_writer() override
    {
        end_watch();
        if (m_has_open_body && !m_chunked)
            reset_on_close();
    }

    asio::awaitable<void> send(response whole) override
    {
        m_started = true;
        if (m_is_head) {
            co_await send_header(whole);
            co_return;
        }
        beast::http::response<beast::http::string_body> message;
        prepare(message, whole.status, whole.headers);
        message.body() = std::move(whole.body);
        message.prepare_payload();
        const auto [error, size] = co_await beast::http::async_write(m_stream, message, use_tuple);
        check(error);
    }

    asio::awaitable<void> begin(int status, std::vector<header_field> headers) override
    {
        m_started = true;
        beast::http::response<beast::http::empty_body> message;
        // HTTP/1.0 has no chunked coding: the end of the connection ends the body.
        m_chunked = m_version >= 11 && !is_without_body(status);
        m_has_open_body = !m_is_head && !is_without_body(status);
        if (!m_chunked && m_has_open_body)
            m_keep_alive = false;
        prepare(message, status, headers);
        message.chunked(m_chunked);
        beast::http::response_serializer<beast::http::empty_body> serializer(message);
        const auto [error, size] = co_await beast::http::async_write_header(m_stream, serializer, use_tuple);
        check(error);
    }

    asio::awaitable<void> write(std::string part) override
    {
        if (part.empty() || !m_has_open_body)
            co_return;
        beast::get_lowest_layer(m_stream).expires_after(m_write_timeout);
        const asio::const_buffer buffer(part.data(), part.size());
        if (m_chunked) {
            const auto [error, size] =
                co_await asio::async_write(m_stream, beast::http::make_chunk(buffer), use_tuple);
            check(error);
        } else {
            const auto [error, size] = co_await asio::async_write(m_stream, buffer, use_tuple);
            check(error);
        }
    }

    asio::awaitable<void> finish() override
    {
        if (m_chunked && m_has_open_body) {
            beast::get_lowest_layer(m_stream).expires_after(m_write_timeout);
            const auto [error, size] =
                co_await asio::async_write(m_stream, beast::http::make_chunk_last(), use_tuple);
            check(error);
        }
        m_has_open_body = false;
    }

    [[nodiscard]] bool started() const override { return m_started; }
    [[nodiscard]] bool keep_alive() const { return m_keep_alive; }
    void close_after_response() override { m_connection.end_after_requests(); }
    /// Time for which the response says that the connection may be used again; nothing if it may not be.
    [[nodiscard]] std::optional<seconds> announced() const { return m_announced; }

    void abort() override
    {
        m_keep_alive = false;
        if (m_has_open_body && !m_chunked)
            reset_on_close();
        beast::get_lowest_layer(m_stream).close();
    }

    void watch_disconnect(std::function<void()> handler) override
    {
        m_watch = std::make_shared<disconnect_watch>();
        m_watch->handler = std::move(handler);
        auto& socket = beast::get_lowest_layer(m_stream).socket();
        socket.async_wait(asio::ip::tcp::socket::wait_read,
                          [&socket, watch = m_watch](const beast::error_code& error) {
                              if (!error && watch->handler && has_ended(socket))
                                  std::exchange(watch->handler, nullptr)();
                          });
    }

    /// Must be called when the request handler has ended, also with an exception, before anything else is
    /// awaited.
    void end_watch()
    {
        if (!m_watch)
            return;
        m_watch->handler = nullptr;
        beast::error_code ignored;
        beast::get_lowest_layer(m_stream).socket().cancel(ignored);
    }

private:
    struct disconnect_watch {
        std::function<void()> handler;
    };

    /// Whether no body follows a header with this status, whatever its fields say. Bytes behind it would be
    /// taken for the next response.
    static bool is_without_body(int status)
    {
        return status == static_cast<int>(beast::http::status::no_content) ||
               status == static_cast<int>(beast::http::status::not_modified);
    }

    /// Answers HEAD: the length of the body that GET would get is stated if it is known.
    asio::awaitable<void> send_header(const response& whole)
    {
        beast::http::response<beast::http::empty_body> message;
        prepare(message, whole.status, whole.headers);
        if (!whole.body.empty())
            message.content_length(whole.body.size());
        const auto [error, size] = co_await beast::http::async_write(m_stream, message, use_tuple);
        check(error);
    }

    /// Whether a readable socket is at its end. Waiting bytes are a further request.
    static bool has_ended(asio::ip::tcp::socket& socket)
    {
        beast::error_code error;
        char byte = 0;
        socket.non_blocking(true, error);
        const auto size = socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
        return error != asio::error::would_block && size == 0;
    }

    /// Without chunks the end of the connection ends the body, and only a reset shows that it is not whole.
    void reset_on_close()
    {
        beast::error_code ignored;
        beast::get_lowest_layer(m_stream).socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }

    template<typename Message>
    void prepare(Message& message, int status, const std::vector<header_field>& headers)
    {
        beast::get_lowest_layer(m_stream).expires_after(m_write_timeout);
        const bool is_to_end = m_policy.closes_after_response || m_connection.is_to_end();
        // A caller reads nothing behind a response that ends its connection.
        if (is_to_end && !m_connection.has_requests_left(bytes_in_tls(m_stream)))
            m_keep_alive = false;
        message.version(m_version);
        message.result(static_cast<unsigned>(status));
        for (const auto& [name, value] : headers)
            message.set(name, value);
        message.keep_alive(m_keep_alive);
        if (!m_keep_alive || is_to_end)
            return;
        m_announced = m_policy.announced_idle_time;
        message.set(beast::http::field::connection, "keep-alive");
        message.set(beast::http::field::keep_alive, "timeout=" + std::to_string(m_announced->count()));
    }

    static void check(const beast::error_code& error)
    {
        if (error)
            throw caller_disconnected(error.message());
    }

    Stream& m_stream;
    caller_connection& m_connection;
    unsigned m_version;
    bool m_keep_alive;
    bool m_is_head; ///< A response to HEAD has no body, whatever its header says.
    bool m_started = false;
    bool m_chunked = false;
    bool m_has_open_body = false; ///< A body has begun in parts and is not whole.
    std::optional<seconds> m_announced;
    milliseconds m_write_timeout;
    const connection_policy& m_policy;
    std::shared_ptr<disconnect_watch> m_watch;
};

/// The result of reading one request: the request, or the refusal to answer before closing.
struct read_outcome {
    std::optional<request> message;
    std::optional<refusal> reason;
    request_framing framing;
    std::size_t size = 0; ///< Bytes of the request.
    memory_share memory;  ///< Of the request, until its answer is out.
};

/// Memory for the head of a request and what it takes beside its body.
[[nodiscard]] inline std::uint64_t head_bytes(const server_limits& limits)
{
    return first_read_bytes + limits.header_bytes + request_working_bytes;
}

/// Takes memory for a request with a body of this size.
[[nodiscard]] inline bool try_take_memory(memory_share& memory, std::uint64_t head, std::uint64_t body)
{
    return memory.try_resize(head + body, body > short_body_bytes ? memory_use::body : memory_use::request);
}

[[nodiscard]] inline refusal no_memory_refusal(memory_budget& budget, std::uint64_t bytes)
{
    budget.count_refusal();
    const auto use = bytes > short_body_bytes ? memory_use::body : memory_use::request;
    return {refusal_type::memory_used_up, "the memory for requests in progress is used up", outcome::not_run,
            budget.retry_after(bytes, use, std::chrono::steady_clock::now())};
}

/// Maps an error of the HTTP parser to the refusal that the caller gets.
[[nodiscard]] inline refusal refusal_of(const beast::error_code& error, bool timed_out)
{
    if (error == beast::http::error::header_limit)
        return {refusal_type::header_too_large, "the request header is too large"};
    if (error == beast::http::error::body_limit)
        return {refusal_type::body_too_large, "the request body is too large"};
    if (timed_out)
        return {refusal_type::request_timeout, "the request did not arrive in time"};
    return {refusal_type::malformed, "malformed request: " + error.message()};
}

/// Whether the fields that frame a request leave no room for a second reading of where it ends.
template<typename Fields>
[[nodiscard]] bool is_clearly_framed(const Fields& fields)
{
    using beast::http::field;
    const auto codings = fields.count(field::transfer_encoding);
    const auto lengths = fields.count(field::content_length);
    if (codings + lengths > 1 || fields.count(field::host) > 1)
        return false;
    return codings == 0 || beast::iequals(fields[field::transfer_encoding], "chunked");
}

/// Converts a parsed message, splitting path and query.
[[nodiscard]] request to_request(beast::http::request<beast::http::string_body>&& message);

/// Reads the first bytes of a request into `buffer`. Returns the error that ended the connection;
/// `operation_aborted` says that the time of the connection's wait is over and that nothing has arrived.
template<typename Stream>
asio::awaitable<beast::error_code> wait_for_request(Stream& stream, beast::flat_buffer& buffer,
                                                    caller_connection& connection)
{
    auto& lowest = beast::get_lowest_layer(stream);
    lowest.expires_never();
    while (true) {
        const auto now = std::chrono::steady_clock::now();
        // Not the expiry of the stream: it closes the socket, whatever has arrived.
        const read_timer timer(lowest, std::chrono::ceil<milliseconds>(connection.waits_until() - now));
        const auto [error, size] =
            co_await stream.async_read_some(buffer.prepare(first_read_bytes), use_tuple);
        if (!error)
            buffer.commit(size);
        // The wait may have been extended, or a request may have arrived while it was being ended.
        const bool goes_on =
            error == asio::error::operation_aborted &&
            (std::chrono::steady_clock::now() < connection.waits_until() || connection.unread_bytes() > 0);
        if (!goes_on)
            co_return error;
    }
}

/// The place of the one request that waits for memory.
class memory_wait {
public:
    explicit memory_wait(memory_budget& budget) : m_budget(budget), m_is_held(budget.try_begin_wait()) {}
    memory_wait(const memory_wait&) = delete;
    memory_wait& operator=(const memory_wait&) = delete;
    memory_wait(memory_wait&&) = delete;
    memory_wait& operator=(memory_wait&&) = delete;
    ~memory_wait()
    {
        if (m_is_held)
            m_budget.end_wait();
    }

    [[nodiscard]] bool is_held() const { return m_is_held; }

private:
    memory_budget& m_budget;
    bool m_is_held;
};

/// Waits until there is memory for a body of this size. Returns false if there is none in time, or if another
/// request waits already.
template<typename Stream>
asio::awaitable<bool> wait_for_memory(Stream& stream, memory_budget& budget, memory_share& memory,
                                      std::uint64_t head, std::uint64_t body, const read_timer& timer)
{
    const memory_wait place(budget);
    asio::steady_timer pause(stream.get_executor());
    while (place.is_held() && !timer.expired()) {
        pause.expires_after(memory_poll);
        co_await pause.async_wait(use_tuple);
        if (try_take_memory(memory, head, body))
            co_return true;
    }
    co_return false;
}

/// Reads a body whose length is not known before its end. Does not read on while there is no memory. Returns
/// false if there was none in time.
template<typename Stream>
asio::awaitable<bool> read_chunked_body(Stream& stream, beast::flat_buffer& buffer,
                                        beast::http::request_parser<beast::http::string_body>& parser,
                                        const std::shared_ptr<memory_budget>& budget, memory_share& memory,
                                        std::uint64_t head, const read_timer& timer, beast::error_code& error,
                                        std::size_t& size)
{
    parser.eager(true);
    while (!parser.is_done() && !error) {
        // The capacity of a string doubles as it grows.
        const auto wanted = 2 * (parser.get().body().size() + body_step_bytes);
        if (!try_take_memory(memory, head, wanted) &&
            !co_await wait_for_memory(stream, *budget, memory, head, wanted, timer))
            co_return false;
        if (timer.expired())
            error = beast::error::timeout;
        if (error)
            break;
        const auto result = co_await beast::http::async_read_some(stream, buffer, parser, use_tuple);
        error = std::get<0>(result);
        size += std::get<1>(result);
    }
    co_return true;
}

/// Reads one request, whose first bytes may be in `buffer`. Refuses it before its body is read if there is no
/// memory for it.
template<typename Stream>
asio::awaitable<read_outcome> read_request(Stream& stream, beast::flat_buffer& buffer,
                                           const server_limits& limits, std::shared_ptr<memory_budget> budget)
{
    read_outcome result;
    result.memory = memory_share(budget);
    if (!try_take_memory(result.memory, head_bytes(limits), 0)) {
        result.reason = no_memory_refusal(*budget, head_bytes(limits));
        co_return result;
    }
    auto& lowest = beast::get_lowest_layer(stream);
    lowest.expires_never();
    std::optional<read_timer> timer;
    timer.emplace(lowest, limits.request_timeout);
    beast::http::request_parser<beast::http::string_body> parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    const auto [header_error, header_size] =
        co_await beast::http::async_read_header(stream, buffer, parser, use_tuple);
    result.framing.is_head = parser.get().method() == beast::http::verb::head;
    if (header_error)
        result.reason = refusal_of(header_error, timer->expired());
    else if (!is_clearly_framed(parser.get()))
        result.reason = refusal{refusal_type::malformed, "ambiguous framing"};
    if (result.reason)
        co_return result;
    const auto length = parser.content_length().value_or(0);
    if (!try_take_memory(result.memory, head_bytes(limits), length)) {
        result.reason = no_memory_refusal(*budget, length);
        co_return result;
    }
    if (beast::iequals(parser.get()[beast::http::field::expect], "100-continue")) {
        beast::http::response<beast::http::empty_body> go_on(beast::http::status::continue_, 11);
        co_await beast::http::async_write(stream, go_on, use_tuple);
    }
    timer.emplace(lowest, limits.body_timeout);
    beast::error_code failure;
    std::size_t body_size = 0;
    if (parser.chunked()) {
        const bool has_memory = co_await read_chunked_body(stream, buffer, parser, budget, result.memory,
                                                           head_bytes(limits), *timer, failure, body_size);
        if (!has_memory) {
            result.reason = no_memory_refusal(*budget, limits.body_bytes);
            co_return result;
        }
    } else {
        const auto read = co_await beast::http::async_read(stream, buffer, parser, use_tuple);
        failure = std::get<0>(read);
        body_size = std::get<1>(read);
    }
    if (failure) {
        result.reason = refusal_of(failure, timer->expired());
        co_return result;
    }
    parser.get().body().shrink_to_fit();
    static_cast<void>(try_take_memory(result.memory, head_bytes(limits), parser.get().body().size()));
    result.size = header_size + body_size;
    result.framing.version = parser.get().version();
    result.framing.keep_alive = parser.get().keep_alive();
    result.message = to_request(parser.release());
    co_return result;
}

} // namespace siskinwharf::http

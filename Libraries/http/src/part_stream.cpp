#include <algorithm>
#include <charconv>

#include <boost/asio/post.hpp>
#include <boost/beast/http/buffer_body.hpp>

#include "siskinwharf/http/client.h"

#include "connection.h"
#include "connection_pool.h"
#include "outgoing.h"
#include "response_head.h"

namespace siskinwharf::http {

namespace {

constexpr std::size_t part_bytes = 16U << 10U;
/// Kept connections are given up this long before the server closes them.
constexpr milliseconds lifetime_margin{700};

using span_request = beast::http::request<beast::http::span_body<const char>>;

/// Idle time that the server announces in `Keep-Alive: timeout=5`.
std::optional<milliseconds> announced_lifetime(std::string_view value)
{
    constexpr std::string_view name = "timeout=";
    const auto start = value.find(name);
    if (start == std::string_view::npos)
        return std::nullopt;
    std::int64_t count = 0;
    const auto digits = value.substr(start + name.size());
    if (std::from_chars(digits.data(), digits.data() + digits.size(), count).ec != std::errc{})
        return std::nullopt;
    return milliseconds(count * 1'000);
}

/// Whether the text contains the start of a status line, such as `HTTP/1.1 200`.
bool contains_status_line(std::string_view text)
{
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::string_view status_pattern = "0 000";
    const auto fits = [](char pattern, char found) {
        return pattern == '0' ? found >= '0' && found <= '9' : found == pattern;
    };
    for (auto at = text.find(protocol); at != std::string_view::npos; at = text.find(protocol, at + 1)) {
        const auto rest = text.substr(at + protocol.size(), status_pattern.size());
        if (rest.size() == status_pattern.size() && std::ranges::equal(status_pattern, rest, fits))
            return true;
    }
    return false;
}

/// A part of an earlier header, up to the middle of a line, and the whole header of the next response parse
/// as one header. It has the status of the one and the fields of both.
template<typename Header>
bool is_joined(const Header& header)
{
    return contains_status_line(header.reason()) ||
           std::ranges::any_of(header, [](const auto& field) { return contains_status_line(field.value()); });
}

/// A request that is being written while its response may already arrive.
struct outgoing_request {
    std::shared_ptr<const std::string> body;
    span_request message; ///< Refers to `body`.
    connection_pointer connection;
    bool is_written = false;
    beast::error_code failure;
};

class pooled_part_stream final : public part_stream {
public:
    pooled_part_stream(std::shared_ptr<connection_pool> owner, address target,
                       std::shared_ptr<outgoing_request> sent, std::shared_ptr<call_control> control)
        : m_owner(std::move(owner)),
          m_target(std::move(target)),
          m_sent(std::move(sent)),
          m_control(std::move(control)),
          m_block(part_bytes),
          m_may_answer_earlier_request(m_sent->connection->reused)
    {
        m_parser.body_limit(boost::none);
        // The header of a response to HEAD may state a length; no body follows.
        m_parser.skip(m_sent->message.method() == beast::http::verb::head);
    }

    pooled_part_stream(const pooled_part_stream&) = delete;
    pooled_part_stream& operator=(const pooled_part_stream&) = delete;
    pooled_part_stream(pooled_part_stream&&) = delete;
    pooled_part_stream& operator=(pooled_part_stream&&) = delete;
    ~pooled_part_stream() override
    {
        m_control->set_close(nullptr);
        // A writer of the request may still hold the connection.
        if (m_sent->connection)
            m_sent->connection->stream.close();
    }

    [[nodiscard]] int status() const override { return static_cast<int>(m_parser.get().result_int()); }

    [[nodiscard]] std::vector<header_field> headers() const override { return m_headers; }

    [[nodiscard]] bool may_answer_earlier_request() const override { return m_may_answer_earlier_request; }

    [[nodiscard]] bool ends_with_connection() const override { return m_ends_with_connection; }

    asio::awaitable<void> read_header(milliseconds timeout)
    {
        auto& used = *m_sent->connection;
        used.stream.expires_after(timeout);
        co_await read_response_head(used, m_parser);
        m_headers = to_fields(m_parser.get());
        m_may_answer_earlier_request = m_may_answer_earlier_request || !m_sent->is_written;
        if (m_may_answer_earlier_request && is_joined(m_parser.get()))
            throw call_error(call_stage::after_send, "the response header contains a second status line");
        m_ends_with_connection = m_parser.need_eof();
        if (m_parser.is_done())
            finish();
    }

    asio::awaitable<std::string> next_part(milliseconds timeout) override
    {
        if (m_parser.is_done())
            co_return std::string();
        auto& used = *m_sent->connection;
        auto& body = m_parser.get().body();
        // A read takes as much as the buffer has room for, which is 512 bytes otherwise.
        used.buffer.reserve(part_bytes);
        // Set once, because bytes that frame the body are no progress.
        used.stream.expires_after(timeout);
        while (true) {
            body.data = m_block.data();
            body.size = m_block.size();
            body.more = true;
            auto [error, size] =
                co_await beast::http::async_read_some(used.stream, used.buffer, m_parser, use_tuple);
            if (error == beast::http::error::need_buffer)
                error = {};
            if (error)
                throw call_error(call_stage::after_header, "response ended early: " + error.message(),
                                 error == beast::error::timeout);
            std::string part(m_block.data(), m_block.size() - body.size);
            if (m_parser.is_done() && m_ends_with_connection)
                co_await check_end_of_connection();
            if (m_parser.is_done())
                finish();
            if (!part.empty() || m_parser.is_done())
                co_return part;
        }
    }

private:
    /// Throws `call_error` if the connection, whose end ends the body, was reset. The system reports a reset
    /// only once; if the writer of the request gets it, reading finds an end in order. A write that fails
    /// because the server closed the connection in order before (broken pipe) says nothing against the body.
    asio::awaitable<void> check_end_of_connection()
    {
        // Lets a write end whose failure is known to the system already.
        if (!m_sent->is_written && !m_sent->failure) {
            const auto executor = m_sent->connection->stream.get_executor();
            co_await asio::post(executor, asio::use_awaitable);
        }
        if (m_sent->failure && m_sent->failure != asio::error::broken_pipe)
            throw call_error(call_stage::after_header,
                             "response ended early: request not sent, " + m_sent->failure.message());
    }

    void finish()
    {
        m_control->set_close(nullptr);
        // A server that answers before it has read the whole request would take what is sent next for its
        // rest.
        const bool may_keep = m_parser.keep_alive() && m_sent->is_written && !m_sent->failure &&
                              m_sent->connection->buffer.size() == 0 && !m_control->is_cancelled();
        if (!may_keep)
            return;
        const auto announced = announced_lifetime(m_parser.get()[beast::http::field::keep_alive]);
        const auto lifetime = announced.value_or(connection_pool::default_lifetime) - lifetime_margin;
        if (lifetime > milliseconds(0))
            m_owner->keep(m_target, std::move(m_sent->connection), lifetime);
    }

    std::shared_ptr<connection_pool> m_owner;
    address m_target;
    std::shared_ptr<outgoing_request> m_sent;
    std::shared_ptr<call_control> m_control;
    beast::http::response_parser<beast::http::buffer_body> m_parser;
    std::vector<header_field> m_headers;
    std::vector<char> m_block;
    bool m_may_answer_earlier_request;
    bool m_ends_with_connection = false;
};

/// Writes the request beside the reading of its response. The connection outlives the writer through `sent`.
void start_writing(const std::shared_ptr<outgoing_request>& sent)
{
    auto& stream = sent->connection->stream;
    beast::http::async_write(stream, sent->message,
                             [sent](const beast::error_code& error, std::size_t /*size*/) {
                                 sent->is_written = !error;
                                 sent->failure = error;
                             });
}

} // namespace

asio::awaitable<std::unique_ptr<part_stream>> client::open_parts(address target, request message,
                                                                 call_times times,
                                                                 std::shared_ptr<call_control> control,
                                                                 std::shared_ptr<const std::string> body)
{
    const auto self = m_pool;
    auto sent = std::make_shared<outgoing_request>();
    sent->body = body ? std::move(body) : std::make_shared<const std::string>(std::move(message.body));
    sent->message = to_beast_with_body(target, message, *sent->body);
    if (control->is_cancelled())
        throw call_error(call_stage::before_send, "the call was cancelled");
    sent->connection = co_await self->connect(target, true, times.connect);
    if (control->is_cancelled())
        throw call_error(call_stage::before_send, "the call was cancelled");
    control->set_close([weak = std::weak_ptr<outgoing_request>(sent)] {
        if (const auto held = weak.lock(); held && held->connection)
            held->connection->stream.close();
    });
    auto stream = std::make_unique<pooled_part_stream>(self, target, sent, control);
    // The expiry counts from here for the writer too, which starts with the value set now.
    sent->connection->stream.expires_after(times.header);
    start_writing(sent);
    co_await stream->read_header(times.header);
    co_return stream;
}

void client::forget(const address& target)
{
    m_pool->forget(target);
}

std::uint64_t client::connections_opened() const
{
    return m_pool->opened();
}

} // namespace siskinwharf::http

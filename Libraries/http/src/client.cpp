#include "siskinwharf/http/client.h"

#include <boost/beast/http/buffer_body.hpp>

#include "connection.h"
#include "connection_pool.h"
#include "outgoing.h"
#include "response_head.h"

namespace siskinwharf::http {

namespace {

constexpr std::size_t line_buffer_bytes = 64U << 10U;
constexpr std::size_t maximum_line_bytes = 1U << 20U;

/// Writes the request and reads the response header. The stage of a thrown `call_error` says whether bytes
/// were sent.
template<typename Parser>
asio::awaitable<void> exchange_header(pooled_connection& used,
                                      beast::http::request<beast::http::string_body>& message, Parser& parser,
                                      milliseconds timeout)
{
    used.stream.expires_after(timeout);
    if (const auto [error, size] = co_await beast::http::async_write(used.stream, message, use_tuple); error)
        // A failed write may still have sent part of the request.
        throw call_error(call_stage::after_send, "send failed: " + error.message(),
                         error == beast::error::timeout);
    co_await read_response_head(used, parser);
}

class pooled_line_stream final : public line_stream {
public:
    pooled_line_stream(std::shared_ptr<connection_pool> owner, address target, connection_pointer used)
        : m_owner(std::move(owner)),
          m_target(std::move(target)),
          m_connection(std::move(used)),
          m_block(line_buffer_bytes)
    {
        m_parser.body_limit(boost::none);
    }

    [[nodiscard]] int status() const override { return static_cast<int>(m_parser.get().result_int()); }

    asio::awaitable<std::string> next_lines(milliseconds timeout) override
    {
        while (true) {
            if (m_cancelled)
                throw call_error(call_stage::after_header, "the stream was cancelled");
            if (const auto end = m_pending.rfind('\n'); end != std::string::npos) {
                std::string lines = m_pending.substr(0, end + 1);
                m_pending.erase(0, end + 1);
                co_return lines;
            }
            if (m_parser.is_done())
                co_return finish();
            co_await read_more(timeout);
        }
    }

    void cancel() override
    {
        m_cancelled = true;
        if (m_connection)
            m_connection->stream.close();
    }

    beast::http::response_parser<beast::http::buffer_body>& parser() { return m_parser; }
    pooled_connection& used() { return *m_connection; }

private:
    asio::awaitable<void> read_more(milliseconds timeout)
    {
        auto& body = m_parser.get().body();
        body.data = m_block.data();
        body.size = m_block.size();
        body.more = true;
        m_connection->stream.expires_after(timeout);
        auto [error, size] = co_await beast::http::async_read_some(m_connection->stream, m_connection->buffer,
                                                                   m_parser, use_tuple);
        if (error == beast::http::error::need_buffer)
            error = {};
        if (error)
            throw call_error(call_stage::after_header, "stream failed: " + error.message(),
                             error == beast::error::timeout);
        m_pending.append(m_block.data(), m_block.size() - body.size);
        if (m_pending.size() > maximum_line_bytes && m_pending.find('\n') == std::string::npos)
            throw call_error(call_stage::after_header, "the stream sent a line without end");
    }

    std::string finish()
    {
        std::string rest;
        rest.swap(m_pending);
        if (m_connection && m_parser.keep_alive())
            m_owner->keep(m_target, std::move(m_connection));
        return rest;
    }

    std::shared_ptr<connection_pool> m_owner;
    address m_target;
    connection_pointer m_connection;
    beast::http::response_parser<beast::http::buffer_body> m_parser;
    std::vector<char> m_block;
    std::string m_pending;
    bool m_cancelled = false;
};

} // namespace

client::client(asio::any_io_executor executor)
    : m_pool(std::make_shared<connection_pool>(std::move(executor)))
{
}

client::~client() = default;

asio::awaitable<response> client::call(address target, request message, milliseconds timeout, bool repeatable,
                                       std::uint64_t maximum_body)
{
    const auto self = m_pool;
    auto outgoing = to_beast(target, std::move(message));
    while (true) {
        // A kept connection may close while the request is being sent, which would leave the outcome of a
        // call that must not be repeated unknown; such a call gets a fresh connection.
        auto used = co_await self->connect(target, repeatable);
        beast::http::response_parser<beast::http::string_body> parser;
        parser.body_limit(maximum_body);
        parser.skip(outgoing.method() == beast::http::verb::head);
        const bool may_repeat = repeatable && used->reused;
        try {
            co_await exchange_header(*used, outgoing, parser, timeout);
        } catch (const call_error&) {
            if (!may_repeat)
                throw;
            continue;
        }
        response result;
        result.headers = to_fields(parser.get());
        if (const auto [error, size] =
                co_await beast::http::async_read(used->stream, used->buffer, parser, use_tuple);
            error)
            throw call_error(call_stage::after_header, "response ended early: " + error.message(),
                             error == beast::error::timeout);
        result.status = static_cast<int>(parser.get().result_int());
        const bool keep_alive = parser.keep_alive();
        result.body = std::move(parser.get().body());
        // Calls that may not be repeated never use a kept connection, so theirs would pile up.
        if (keep_alive && repeatable)
            self->keep(target, std::move(used));
        co_return result;
    }
}

asio::awaitable<std::unique_ptr<line_stream>> client::open(address target, request message,
                                                           milliseconds header_timeout)
{
    const auto self = m_pool;
    auto outgoing = to_beast(target, std::move(message));
    auto used = co_await self->connect(target, true);
    auto stream = std::make_unique<pooled_line_stream>(self, target, std::move(used));
    stream->parser().skip(outgoing.method() == beast::http::verb::head);
    co_await exchange_header(stream->used(), outgoing, stream->parser(), header_timeout);
    co_return stream;
}

} // namespace siskinwharf::http

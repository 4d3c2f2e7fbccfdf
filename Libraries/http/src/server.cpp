#include "siskinwharf/http/server.h"

#include <atomic>
#include <unordered_set>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include "caller_connection.h"
#include "connection.h"
#include "connection_log.h"
#include "discard_input.h"
#include "listener.h"
#include "read_ahead.h"
#include "siskinwharf/base/event_log.h"

namespace siskinwharf::http {

namespace {

using tcp = asio::ip::tcp;

/// Pause after a failed accept, so that a process without free descriptors does not spin.
constexpr milliseconds accept_retry_delay{50};

/// A connection is closed this much later than its caller was told, so that no request is under way then.
constexpr milliseconds idle_margin{1'000};
constexpr seconds shortest_announced_idle_time{1};
/// Time for the first request of a connection that was accepted at the very end.
constexpr milliseconds last_accepted_wait{250};
/// Time for which a caller may leave a connection open that this process has closed on its side.
constexpr milliseconds close_wait{1'000};

} // namespace

class server::implementation : public std::enable_shared_from_this<server::implementation> {
public:
    implementation(asio::io_context& context, const address& listen, server_limits limits,
                   request_handler handler, const tls_files* tls)
        : m_context(context),
          m_acceptor(open_acceptor(context, listen)),
          m_limits(limits),
          m_handler(std::move(handler)),
          m_tls(make_tls_context(tls))
    {
        m_policy.announced_idle_time = announced_idle_time(limits);
    }

    void use_budget(std::shared_ptr<memory_budget> budget) { m_budget = std::move(budget); }

    void start()
    {
        asio::co_spawn(
            m_context, [self = shared_from_this()] { return self->accept_connections(); }, asio::detached);
    }

    void stop_accepting()
    {
        begin_drain();
        auto queue = accept_waiting();
        boost::system::error_code ignored;
        queue.port = m_acceptor.local_endpoint(ignored).port();
        m_acceptor.close(ignored);
        queue.open = m_open.size();
        log_listening_ended(queue);
    }

    void close_idle()
    {
        m_stopping = true;
        const auto now = std::chrono::steady_clock::now();
        for (auto* connection : m_open)
            connection->stop_waiting(now);
    }

    void close_unused()
    {
        const auto now = std::chrono::steady_clock::now();
        for (auto* connection : m_open) {
            if (!connection->is_usable(now))
                connection->stop_waiting(now);
        }
    }

    void set_limits(const server_limits& limits)
    {
        m_limits = limits;
        m_policy.announced_idle_time = announced_idle_time(limits);
        for (auto* connection : m_open)
            connection->extend_wait(idle_time());
    }

    void begin_drain() { m_policy.closes_after_response = true; }
    [[nodiscard]] unsigned short port() const { return m_acceptor.local_endpoint().port(); }
    [[nodiscard]] std::size_t active_requests() const { return m_active.load() + m_waiting.load(); }
    [[nodiscard]] std::size_t open_connections() const { return m_open.size(); }

    void log_open_requests() const
    {
        for (const auto* connection : m_open)
            log_cut_by_process_end(*connection);
    }

private:
    asio::awaitable<void> accept_connections()
    {
        while (m_acceptor.is_open()) {
            auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
            if (error == asio::error::operation_aborted)
                co_return;
            if (error) {
                // One line for a series: the attempts go on as long as the cause lasts.
                if (!std::exchange(m_accept_fails, true))
                    log_accept_failed(error);
                asio::steady_timer timer(m_context, accept_retry_delay);
                co_await timer.async_wait(use_tuple);
                continue;
            }
            m_accept_fails = false;
            start_connection(std::move(socket));
        }
    }

    /// Accepts the connections that wait in the listen queue: the system has confirmed them to their callers.
    listen_queue_end accept_waiting()
    {
        listen_queue_end queue;
        boost::system::error_code error;
        m_acceptor.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (error)
                continue;
            ++queue.taken;
            boost::system::error_code ignored;
            if (socket.available(ignored) > 0)
                ++queue.with_request;
            start_connection(std::move(socket));
        }
        return queue;
    }

    void start_connection(tcp::socket socket)
    {
        if (m_connections >= m_limits.connections) {
            log_event(event::connection_closed,
                      {{"reason", "too many connections"}, {"open", std::to_string(m_connections)}});
            return; // The socket closes: memory for connections is bounded.
        }
        memory_share memory(m_budget);
        if (!memory.try_resize(connection_bytes, memory_use::request)) {
            m_budget->count_refusal();
            log_event(event::connection_closed,
                      {{"reason", "no memory"}, {"open", std::to_string(m_connections)}});
            return;
        }
        ++m_connections;
        asio::co_spawn(
            m_context,
            [self = shared_from_this(), accepted = std::move(socket), held = std::move(memory)]() mutable {
                return self->run_connection(std::move(accepted), std::move(held));
            },
            [self = shared_from_this()](const std::exception_ptr& failure) {
                --self->m_connections;
                log_unhandled(failure);
            });
    }

    asio::awaitable<void> run_connection(tcp::socket socket, memory_share /*held*/)
    {
        boost::system::error_code ignored;
        // Each token is its own small write; Nagle's algorithm would delay it.
        socket.set_option(tcp::no_delay(true), ignored);
        beast::tcp_stream plain(std::move(socket));
        if (!m_tls) {
            co_await serve(plain);
            plain.socket().shutdown(tcp::socket::shutdown_both, ignored);
            co_return;
        }
        beast::ssl_stream<beast::tcp_stream> secure(std::move(plain), *m_tls);
        beast::get_lowest_layer(secure).expires_after(m_limits.request_timeout);
        if (const auto [error] = co_await secure.async_handshake(asio::ssl::stream_base::server, use_tuple);
            error)
            co_return;
        co_await serve(secure);
        beast::get_lowest_layer(secure).expires_after(m_limits.request_timeout);
        co_await secure.async_shutdown(use_tuple);
    }

    template<typename Stream>
    asio::awaitable<void> serve(Stream& stream)
    {
        auto* lowest = &beast::get_lowest_layer(stream);
        caller_connection connection(*lowest, m_waiting);
        const open_guard open{m_open, connection};
        const unanswered_guard unanswered{*this, connection};
        beast::flat_buffer buffer;
        std::optional<seconds> told;
        bool is_first = true;
        while (true) {
            // A body is not kept here. What frames it, such as the extension of a chunk, is bounded like a
            // header.
            buffer.max_size(std::max<std::size_t>(buffer.size(), first_read_bytes + m_limits.header_bytes));
            if (buffer.size() == 0) {
                // An idle connection keeps no more than its first read.
                if (buffer.capacity() > first_read_bytes)
                    buffer.shrink_to_fit();
                begin_wait(connection, told, is_first);
                if (!co_await wait(stream, buffer, connection))
                    co_return;
            }
            is_first = false;
            auto received = co_await read_request(stream, buffer, m_limits, m_budget);
            // What could not be read has no end behind which another request could begin: its outcome does
            // not keep the connection.
            connection_writer<Stream> writer(stream, connection, received.framing, m_limits.write_timeout,
                                             m_policy);
            if (received.reason) {
                connection.take_request(0, buffer.size(), 0);
                log_close(connection, received.reason->message);
                received.memory.release();
                co_await writer.send(to_response(*received.reason));
                auto time = discard_time;
                if (received.reason->type == refusal_type::memory_used_up)
                    time = refused_request_time;
                co_await discard_input(*lowest, time);
                co_return;
            }
            co_await answer(received, writer, connection, buffer);
            told = writer.announced();
            const bool is_over =
                connection.is_to_end() && !connection.has_requests_left(bytes_in_tls(stream));
            if (!writer.keep_alive() || is_over) {
                co_await close_after_response(stream, connection);
                co_return;
            }
        }
    }

    /// Lets the handler answer a request. A request that was read gets an answer whatever the handler meets.
    template<typename Stream>
    asio::awaitable<void> answer(read_outcome& received, connection_writer<Stream>& writer,
                                 caller_connection& connection, const beast::flat_buffer& buffer)
    {
        ++m_active;
        const active_guard guard{m_active};
        const auto ahead = buffer.size();
        connection.take_request(received.size, ahead, requests_ahead(connection, received.size, buffer));
        const auto path = received.message->path;
        std::string failure;
        try {
            co_await m_handler(std::move(*received.message), writer);
        } catch (const caller_disconnected&) {
            throw;
        } catch (const std::exception& error) {
            failure = error.what();
            log_event(event::connection_failed, {{"reason", failure}, {"path", path}});
        }
        // The watch refers to what the handler held.
        writer.end_watch();
        if (failure.empty())
            co_return;
        writer.close_after_response();
        if (writer.started()) {
            writer.abort();
            co_return;
        }
        const refusal reason{refusal_type::internal, "the request could not be handled", outcome::unknown};
        co_await writer.send(to_response(reason));
    }

    /// Whole requests in the buffer after one of `size` bytes was taken from it. They are counted anew only
    /// if bytes were added, so that each byte is looked at a few times at most.
    [[nodiscard]] std::size_t requests_ahead(const caller_connection& connection, std::size_t size,
                                             const beast::flat_buffer& buffer) const
    {
        const bool has_grown = connection.bytes_ahead() != size + buffer.size();
        if (connection.requests_ahead() > 0 && !has_grown)
            return connection.requests_ahead() - 1;
        return count_requests(buffer.data(), m_limits);
    }

    void begin_wait(caller_connection& connection, std::optional<seconds> told, bool is_first) const
    {
        const auto now = std::chrono::steady_clock::now();
        const auto last_wait = is_first ? last_accepted_wait : milliseconds(0);
        std::optional<milliseconds> usable;
        if (told)
            usable = *told + idle_margin;
        const auto time = m_stopping ? last_wait : std::max(idle_time(), usable.value_or(milliseconds(0)));
        connection.begin_wait(now, time, usable);
    }

    /// Waits for the next request. Returns false if the connection has ended or is to end.
    template<typename Stream>
    asio::awaitable<bool> wait(Stream& stream, beast::flat_buffer& buffer, caller_connection& connection)
    {
        const auto error = co_await wait_for_request(stream, buffer, connection);
        connection.end_wait();
        if (error == asio::error::operation_aborted)
            co_await close_after_response(stream, connection);
        else if (error && error != asio::error::eof && error != asio::ssl::error::stream_truncated)
            log_lost(connection, error.message());
        co_return !error;
    }

    /// Ends a connection without a request. A request that crosses the end stays unread: the reset that it
    /// causes tells the caller that it has not run.
    template<typename Stream>
    asio::awaitable<void> close_after_response(Stream& stream, caller_connection& connection)
    {
        end_unanswered(connection);
        // The end of a TLS connection has a message of its own, which must go out first.
        if (m_tls)
            co_return;
        auto& lowest = beast::get_lowest_layer(stream);
        auto& socket = lowest.socket();
        connection.begin_end();
        boost::system::error_code error;
        socket.shutdown(tcp::socket::shutdown_send, error);
        if (error)
            co_return;
        const read_timer timer(lowest, close_wait);
        const auto [wait_error] = co_await socket.async_wait(tcp::socket::wait_read, use_tuple);
        if (connection.unread_bytes() > 0)
            log_close(connection, "a request crossed the end of the connection");
        else if (wait_error)
            log_close(connection, "the caller left a connection open that has ended");
    }

    /// Says how many requests were read on a connection that ends without an answer to them.
    void end_unanswered(caller_connection& connection) const
    {
        if (connection.requests_ahead() == 0)
            return;
        log_close(connection, "requests that were read have no answer");
        connection.take_request(0, connection.bytes_ahead(), 0);
    }

    /// Says which connection is closed with bytes of a request on it.
    void log_close(const caller_connection& connection, const std::string& reason) const
    {
        log_closed(connection, reason, m_policy.closes_after_response, m_limits.idle_timeout);
    }

    static seconds announced_idle_time(const server_limits& limits)
    {
        const auto time = std::min(limits.idle_timeout - idle_margin, limits.reuse_time);
        return std::max(shortest_announced_idle_time, std::chrono::floor<seconds>(time));
    }

    /// Time after which an idle connection is closed.
    [[nodiscard]] milliseconds idle_time() const
    {
        return std::max(m_limits.idle_timeout, m_policy.announced_idle_time + idle_margin);
    }

    /// Keeps a connection in the list of open ones for its lifetime.
    struct open_guard {
        std::unordered_set<caller_connection*>& open;
        caller_connection& connection;
        open_guard(std::unordered_set<caller_connection*>& all, caller_connection& added)
            : open(all), connection(added)
        {
            open.insert(&connection);
        }
        open_guard(const open_guard&) = delete;
        open_guard& operator=(const open_guard&) = delete;
        open_guard(open_guard&&) = delete;
        open_guard& operator=(open_guard&&) = delete;
        ~open_guard() { open.erase(&connection); }
    };

    struct unanswered_guard {
        const implementation& owner;
        caller_connection& connection;
        unanswered_guard(const implementation& server, caller_connection& ended)
            : owner(server), connection(ended)
        {
        }
        unanswered_guard(const unanswered_guard&) = delete;
        unanswered_guard& operator=(const unanswered_guard&) = delete;
        unanswered_guard(unanswered_guard&&) = delete;
        unanswered_guard& operator=(unanswered_guard&&) = delete;
        ~unanswered_guard() { owner.end_unanswered(connection); }
    };

    struct active_guard {
        std::atomic<std::size_t>& active;
        explicit active_guard(std::atomic<std::size_t>& counter) : active(counter) {}
        active_guard(const active_guard&) = delete;
        active_guard& operator=(const active_guard&) = delete;
        active_guard(active_guard&&) = delete;
        active_guard& operator=(active_guard&&) = delete;
        ~active_guard() { --active; }
    };

    asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    server_limits m_limits;
    request_handler m_handler;
    std::unique_ptr<asio::ssl::context> m_tls;
    connection_policy m_policy;
    std::shared_ptr<memory_budget> m_budget;
    std::unordered_set<caller_connection*> m_open;
    std::atomic<std::size_t> m_active{0};
    std::atomic<std::size_t> m_waiting{0}; ///< Requests that were read behind another one.
    std::uint32_t m_connections = 0;
    bool m_stopping = false;
    bool m_accept_fails = false;
};

server::server(asio::io_context& context, const address& listen, server_limits limits,
               request_handler handler, const tls_files* tls)
    : m_implementation(std::make_shared<implementation>(context, listen, limits, std::move(handler), tls))
{
}

server::~server() = default;

void server::use_budget(std::shared_ptr<memory_budget> budget)
{
    m_implementation->use_budget(std::move(budget));
}

void server::start()
{
    m_implementation->start();
}

void server::stop_accepting()
{
    m_implementation->stop_accepting();
}

void server::set_limits(const server_limits& limits)
{
    m_implementation->set_limits(limits);
}

void server::begin_drain()
{
    m_implementation->begin_drain();
}

void server::close_idle()
{
    m_implementation->close_idle();
}

void server::close_unused()
{
    m_implementation->close_unused();
}

std::size_t server::open_connections() const
{
    return m_implementation->open_connections();
}

void server::log_open_requests() const
{
    m_implementation->log_open_requests();
}

unsigned short server::port() const
{
    return m_implementation->port();
}

std::size_t server::active_requests() const
{
    return m_implementation->active_requests();
}

request to_request(beast::http::request<beast::http::string_body>&& message)
{
    request result;
    result.method = std::string(message.method_string());
    const std::string target(message.target());
    const auto question = target.find('?');
    result.path = target.substr(0, question);
    if (question != std::string::npos)
        result.query = target.substr(question + 1);
    result.has_empty_query = question != std::string::npos && result.query.empty();
    for (const auto& field : message)
        result.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    result.body = std::move(message.body());
    return result;
}

} // namespace siskinwharf::http

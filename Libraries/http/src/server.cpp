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

#include "connection.h"
#include "siskinwharf/base/event_log.h"

namespace siskinwharf::http {

namespace {

using tcp = asio::ip::tcp;
using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Pause after a failed accept, so that a process without free descriptors does not spin.
constexpr milliseconds accept_retry_delay{50};

/// Bounds on what is read and thrown away after a refusal.
constexpr milliseconds discard_time{2'000};
constexpr std::size_t discard_bytes = 16U << 20U;

/// Reads what the caller still sends after a request was refused. Closing a socket with unread input makes
/// the system reset the connection, and the caller may then lose the refusal that is on its way.
asio::awaitable<void> discard_input(beast::tcp_stream& stream)
{
    boost::system::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream.expires_after(discard_time);
    std::vector<char> block(first_read_bytes);
    std::size_t discarded = 0;
    while (discarded < discard_bytes) {
        const auto [error, size] = co_await stream.async_read_some(asio::buffer(block), use_tuple);
        if (error)
            co_return;
        discarded += size;
    }
}

tcp::acceptor open_acceptor(asio::io_context& context, const address& listen)
{
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(listen.ip), listen.port);
        tcp::acceptor acceptor(context);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.set_option(reuse_port(true));
        acceptor.bind(endpoint);
        acceptor.listen(asio::socket_base::max_listen_connections);
        return acceptor;
    } catch (const boost::system::system_error& error) {
        throw listen_error("cannot listen on " + listen.ip + ":" + std::to_string(listen.port) + ": " +
                           error.what());
    }
}

std::unique_ptr<asio::ssl::context> make_tls_context(const tls_files* files)
{
    if (files == nullptr)
        return nullptr;
    try {
        auto context = std::make_unique<asio::ssl::context>(asio::ssl::context::tls_server);
        context->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_tlsv1 |
                             asio::ssl::context::no_tlsv1_1);
        context->use_certificate_chain_file(files->certificate);
        context->use_private_key_file(files->private_key, asio::ssl::context::pem);
        return context;
    } catch (const boost::system::system_error& error) {
        throw listen_error(std::string("cannot use the TLS certificate: ") + error.what());
    }
}

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
    }

    void start()
    {
        asio::co_spawn(
            m_context, [self = shared_from_this()] { return self->accept_connections(); }, asio::detached);
    }

    void stop_accepting()
    {
        m_stopping = true;
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (auto* idle : m_idle)
            idle->cancel();
    }

    void set_limits(const server_limits& limits) { m_limits = limits; }
    void begin_drain() { m_draining = true; }
    [[nodiscard]] unsigned short port() const { return m_acceptor.local_endpoint().port(); }
    [[nodiscard]] std::size_t active_requests() const { return m_active.load(); }

private:
    asio::awaitable<void> accept_connections()
    {
        while (!m_stopping) {
            auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
            if (error == asio::error::operation_aborted || m_stopping)
                co_return;
            if (error) {
                asio::steady_timer timer(m_context, accept_retry_delay);
                co_await timer.async_wait(use_tuple);
                continue;
            }
            if (m_connections >= m_limits.connections) {
                log_event(event::connection_closed,
                          {{"reason", "too many connections"}, {"open", std::to_string(m_connections)}});
                continue; // The socket closes: memory for connections is bounded.
            }
            ++m_connections;
            asio::co_spawn(
                m_context,
                [self = shared_from_this(), accepted = std::move(socket)]() mutable {
                    return self->run_connection(std::move(accepted));
                },
                [self = shared_from_this()](const std::exception_ptr& failure) {
                    --self->m_connections;
                    log_failure(failure);
                });
        }
    }

    static void log_failure(const std::exception_ptr& failure)
    {
        try {
            if (failure)
                std::rethrow_exception(failure);
        } catch (const caller_disconnected&) {
            // The handler says what became of the request.
        } catch (const std::exception& error) {
            log_event(event::connection_failed, {{"reason", error.what()}});
        }
    }

    asio::awaitable<void> run_connection(tcp::socket socket)
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
        beast::flat_buffer buffer;
        auto* lowest = &beast::get_lowest_layer(stream);
        while (!m_stopping) {
            m_idle.insert(lowest);
            buffer.max_size(first_read_bytes + m_limits.header_bytes + m_limits.body_bytes);
            const auto limits = m_limits;
            const auto idle_since = std::chrono::steady_clock::now();
            auto received = co_await read_request(stream, buffer, limits);
            m_idle.erase(lowest);
            if (!received.message && (received.wait_error != asio::error::eof))
                log_close(received, limits, idle_since, *lowest);
            if (!received.message && !received.reason)
                co_return;
            connection_writer<Stream> writer(stream, received.version, received.keep_alive,
                                             m_limits.write_timeout);
            if (received.reason) {
                writer.close_after_response();
                co_await writer.send(to_response(*received.reason));
                co_await discard_input(*lowest);
                co_return;
            }
            if (m_stopping || m_draining)
                writer.close_after_response();
            ++m_active;
            const active_guard guard{m_active};
            co_await m_handler(std::move(*received.message), writer);
            writer.end_watch();
            if (!writer.keep_alive())
                co_return;
        }
    }

    /// Says which connection is closed without a response, or with a refusal of what had arrived.
    void log_close(const read_outcome& received, const server_limits& limits, monotonic_time idle_since,
                   beast::tcp_stream& stream) const
    {
        boost::system::error_code ignored;
        const auto idle =
            std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - idle_since);
        log_event(event::connection_closed,
                  {{"reason", received.reason ? received.reason->message : received.wait_error.message()},
                   {"stopping", m_stopping ? "yes" : "no"},
                   {"unread", std::to_string(stream.socket().available(ignored))},
                   {"idle_ms", std::to_string(idle.count())},
                   {"idle_limit_ms", std::to_string(limits.idle_timeout.count())},
                   {"newest_idle_limit_ms", std::to_string(m_limits.idle_timeout.count())}});
    }

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
    std::unordered_set<beast::tcp_stream*> m_idle;
    std::atomic<std::size_t> m_active{0};
    std::uint32_t m_connections = 0;
    bool m_stopping = false;
    bool m_draining = false;
};

server::server(asio::io_context& context, const address& listen, server_limits limits,
               request_handler handler, const tls_files* tls)
    : m_implementation(std::make_shared<implementation>(context, listen, limits, std::move(handler), tls))
{
}

server::~server() = default;

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
    for (const auto& field : message)
        result.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    result.body = std::move(message.body());
    return result;
}

} // namespace siskinwharf::http

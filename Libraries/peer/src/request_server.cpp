#include "request_server.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "rethrow.h"

namespace siskinwharf::peer {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// After accept fails, usually for want of file descriptors, some are likely to be free again by then.
constexpr milliseconds accept_pause{50};

monotonic_time now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

request_server::request_server(const asio::any_io_executor& executor, const tcp::endpoint& listen,
                               std::shared_ptr<transport_state> state,
                               std::shared_ptr<transport_handler> handler)
    : m_executor(executor),
      m_strand(asio::make_strand(executor)),
      m_acceptor(m_strand, listen),
      m_state(std::move(state)),
      m_handler(std::move(handler))
{
}

void request_server::start()
{
    asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->accept_connections(); }, rethrow);
}

void request_server::stop()
{
    asio::post(m_strand, [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
        for (const auto& link : self->m_connections)
            asio::post(link->executor(), [link] { link->close(); });
    });
}

asio::awaitable<void> request_server::accept_connections()
{
    while (!m_state->stopped()) {
        auto [error, socket] = co_await m_acceptor.async_accept(
            asio::any_io_executor(asio::make_strand(m_executor)), asio::as_tuple(asio::use_awaitable));
        if (!error) {
            admit(std::move(socket));
            continue;
        }
        if (error == asio::error::operation_aborted)
            co_return;
        asio::steady_timer pause(m_strand, accept_pause);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void request_server::admit(tcp::socket socket)
{
    boost::system::error_code error;
    const auto remote = socket.remote_endpoint(error);
    if (error || m_state->stopped())
        return;
    const auto& options = m_state->options();
    const asio::ip::address host = remote.address();
    if (m_connections.size() >= options.incoming_connections ||
        m_connections_by_host[host] >= options.incoming_connections_per_host) {
        ++m_state->counters().connections_refused;
        return;
    }
    socket.set_option(tcp::no_delay(true), error);
    auto link = std::make_shared<connection>(std::move(socket), m_state);
    m_connections.insert(link);
    ++m_connections_by_host[host];
    const auto forget = [self = shared_from_this(), link, host](const std::exception_ptr&) {
        self->m_connections.erase(link);
        if (--self->m_connections_by_host[host] == 0)
            self->m_connections_by_host.erase(host);
    };
    asio::co_spawn(
        link->executor(), [self = shared_from_this(), link] { return self->serve(link); },
        asio::bind_executor(m_strand, forget));
}

asio::awaitable<void> request_server::serve(std::shared_ptr<connection> link)
{
    while (!m_state->stopped()) {
        connection::received received = co_await link->read(now() + m_state->options().idle_timeout);
        auto* request = std::get_if<frame>(&received.content);
        if (received.status != io_status::success || request == nullptr)
            break;
        const instance_id sender = request->sender;
        const std::uint64_t in_reply_to = request->sequence;
        const std::optional<message> body = co_await m_handler->reply(std::move(*request));
        if (!body)
            break;
        const encode_result bytes =
            m_state->seal(sender, *body, m_state->next_sequence(), in_reply_to, stream_frame_limit);
        const auto* encoded = std::get_if<std::string>(&bytes);
        if (encoded == nullptr)
            break;
        const io_status written = co_await link->write(*encoded, now() + m_state->options().frame_timeout);
        if (written != io_status::success)
            break;
    }
    link->close();
}

} // namespace siskinwharf::peer

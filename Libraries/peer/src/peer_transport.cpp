#include "siskinwharf/peer/peer_transport.h"

#include <map>
#include <mutex>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "datagram_socket.h"
#include "peer_link.h"
#include "request_server.h"
#include "rethrow.h"
#include "transport_state.h"

namespace siskinwharf::peer {

namespace asio = boost::asio;

class peer_transport::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::any_io_executor executor, const transport_options& options,
                   const std::shared_ptr<transport_handler>& handler)
        : m_executor(std::move(executor)),
          m_state(std::make_shared<transport_state>(options)),
          m_strand(asio::make_strand(m_executor)),
          m_sweep_timer(m_strand)
    {
        open_sockets(handler);
    }

    void start()
    {
        m_server->start();
        m_datagrams->start();
        asio::co_spawn(
            m_strand, [self = shared_from_this()] { return self->sweep_links(); }, rethrow);
    }

    void stop()
    {
        m_state->stop();
        m_server->stop();
        m_datagrams->stop();
        asio::post(m_strand, [self = shared_from_this()] { self->m_sweep_timer.cancel(); });
        const std::lock_guard lock(m_links_mutex);
        for (const auto& entry : m_links)
            asio::post(entry.second.link->strand(), [link = entry.second.link] { link->stop(); });
        m_links.clear();
    }

    [[nodiscard]] address local_address() const { return {m_state->options().listen.host, m_server->port()}; }

    [[nodiscard]] transport_state& state() { return *m_state; }
    [[nodiscard]] datagram_socket& datagrams() { return *m_datagrams; }

    [[nodiscard]] std::shared_ptr<peer_link> link_to(const instance_id& peer, const address& contact)
    {
        const std::lock_guard lock(m_links_mutex);
        auto& [link, last_used] = m_links[{peer, contact}];
        if (!link)
            link = std::make_shared<peer_link>(asio::make_strand(m_executor), m_state, peer, contact);
        last_used = std::chrono::steady_clock::now();
        return link;
    }

private:
    struct used_link {
        std::shared_ptr<peer_link> link;
        monotonic_time last_used;
    };

    // With port 0, the port that the system chose for TCP can be in use for UDP; then another is tried.
    void open_sockets(const std::shared_ptr<transport_handler>& handler)
    {
        const auto& listen = m_state->options().listen;
        const auto host = asio::ip::make_address(listen.host);
        constexpr int most_attempts = 16;
        for (int attempt = 1;; ++attempt) {
            m_server = std::make_shared<request_server>(
                m_executor, asio::ip::tcp::endpoint(host, listen.port), m_state, handler);
            try {
                m_datagrams = std::make_shared<datagram_socket>(
                    m_executor, asio::ip::udp::endpoint(host, m_server->port()), m_state, handler);
                return;
            } catch (const boost::system::system_error&) {
                if (listen.port != 0 || attempt == most_attempts)
                    throw;
            }
        }
    }

    // Closes idle connections and forgets peers that no request was sent to for some time.
    [[nodiscard]] asio::awaitable<void> sweep_links()
    {
        while (!m_state->stopped()) {
            m_sweep_timer.expires_after(m_state->options().idle_timeout);
            co_await m_sweep_timer.async_wait(asio::as_tuple(asio::use_awaitable));
            close_idle_links(std::chrono::steady_clock::now());
        }
    }

    void close_idle_links(monotonic_time now)
    {
        const std::lock_guard lock(m_links_mutex);
        // Requests in flight hold further references to their link.
        std::erase_if(m_links, [&](const auto& entry) {
            const auto& [link, last_used] = entry.second;
            return link.use_count() == 1 && now - last_used > m_state->options().idle_timeout;
        });
        for (const auto& entry : m_links)
            asio::post(entry.second.link->strand(),
                       [link = entry.second.link, now] { link->close_idle(now); });
    }

    asio::any_io_executor m_executor;
    std::shared_ptr<transport_state> m_state;
    asio::strand<asio::any_io_executor> m_strand;
    asio::steady_timer m_sweep_timer;
    std::shared_ptr<request_server> m_server;
    std::shared_ptr<datagram_socket> m_datagrams;
    std::mutex m_links_mutex;
    std::map<std::pair<instance_id, address>, used_link> m_links;
};

peer_transport::peer_transport(asio::any_io_executor executor, const transport_options& options,
                               const std::shared_ptr<transport_handler>& handler)
    : m_implementation(std::make_shared<implementation>(std::move(executor), options, handler))
{
    m_implementation->start();
}

peer_transport::~peer_transport()
{
    m_implementation->stop();
}

address peer_transport::local_address() const
{
    return m_implementation->local_address();
}

void peer_transport::stop()
{
    m_implementation->stop();
}

std::optional<frame_too_long> peer_transport::send(const instance_id& recipient, const address& contact,
                                                   const message& body)
{
    auto& state = m_implementation->state();
    encode_result bytes = state.seal(recipient, body, state.next_sequence(), 0, datagram_limit);
    if (auto* too_long = std::get_if<frame_too_long>(&bytes))
        return *too_long;
    boost::system::error_code invalid;
    const auto host = asio::ip::make_address(contact.host, invalid);
    if (invalid || state.stopped()) {
        ++state.counters().datagrams_dropped;
        return std::nullopt;
    }
    m_implementation->datagrams().send(std::get<std::string>(std::move(bytes)), {host, contact.port});
    return std::nullopt;
}

asio::awaitable<request_result> peer_transport::request(instance_id recipient, address contact, message body,
                                                        milliseconds timeout, delivery_count sending)
{
    const monotonic_time deadline = std::chrono::steady_clock::now() + timeout;
    if (m_implementation->state().stopped())
        co_return transport_error(transport_stopped{});
    const auto link = m_implementation->link_to(recipient, contact);
    request_result result = co_await asio::co_spawn(
        link->strand(), link->exchange(std::move(body), deadline, sending), asio::use_awaitable);
    co_return result;
}

transport_counters peer_transport::counters() const
{
    return m_implementation->state().read_counters();
}

} // namespace siskinwharf::peer

#include "siskinwharf/forwarding/path_watch.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "siskinwharf/base/event_log.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds check_interval{100};
/// Several times what a connection takes between regions.
constexpr milliseconds connect_timeout{300};
/// Endpoints of a probe that is to find out, and of one that waits for a path to come back.
constexpr std::size_t probed_endpoints = 3;
constexpr std::size_t probed_while_lost = 1;

} // namespace

void path_watch::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

asio::awaitable<void> path_watch::run()
{
    asio::steady_timer timer(m_context);
    while (true) {
        timer.expires_after(check_interval);
        co_await timer.async_wait(use_tuple);
        const auto listed = m_state.balancer().endpoints().size();
        if (m_state.paths().must_probe(listed, std::chrono::steady_clock::now()))
            begin_probe();
    }
}

void path_watch::begin_probe()
{
    std::vector<dispatch::endpoint_record> listed;
    for (const auto& [id, known] : m_state.balancer().endpoints())
        listed.push_back(known.record);
    const auto count = m_state.paths().is_lost() ? probed_while_lost : probed_endpoints;
    const auto chosen = dispatch::choose_probed(std::move(listed), count, ++m_turn);
    m_state.paths().begin_probe();
    auto part = std::make_shared<probe>();
    part->pending = chosen.size();
    for (const auto& endpoint : chosen)
        asio::co_spawn(m_context, connect(part, endpoint), asio::detached);
}

asio::awaitable<void> path_watch::connect(std::shared_ptr<probe> part, dispatch::endpoint_record endpoint)
{
    // The timer may expire in the moment in which the connection opens, and end after this call.
    const auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
    asio::steady_timer timer(m_context, connect_timeout);
    timer.async_wait([socket](const boost::system::error_code& error) {
        boost::system::error_code ignored;
        if (!error)
            socket->close(ignored);
    });
    boost::system::error_code parse_error;
    const auto ip = asio::ip::make_address(endpoint.ip, parse_error);
    bool is_reached = false;
    if (!parse_error) {
        const asio::ip::tcp::endpoint target(ip, endpoint.port);
        const auto [error] = co_await socket->async_connect(target, use_tuple);
        is_reached = !error;
    }
    timer.cancel();
    boost::system::error_code ignored;
    socket->close(ignored);
    --part->pending;
    if (!part->is_over && (is_reached || part->pending == 0)) {
        part->is_over = true;
        end_probe(is_reached);
    }
}

void path_watch::end_probe(bool is_reached)
{
    const auto now = std::chrono::steady_clock::now();
    auto& paths = m_state.paths();
    const bool was_lost = paths.is_lost();
    const auto lost_time = paths.lost_time(now);
    paths.end_probe(is_reached, now);
    if (paths.is_lost() && !was_lost)
        log_event(event::paths_lost, {{"endpoints", std::to_string(m_state.balancer().endpoints().size())}});
    if (was_lost && !paths.is_lost())
        log_event(event::paths_regained, {{"lost_ms", std::to_string(lost_time.count())}});
}

} // namespace siskinwharf::forwarding

#include "crash_check.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "siskinwharf/base/event_log.h"
#include "siskinwharf/base/hash.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

/// Delay before the endpoint is connected to again. A crashed endpoint refuses connections; one that only
/// reset a connection accepts a new one.
constexpr milliseconds check_delay{100};
/// Time in which other failures show whether the own paths are lost, and a probe of them ends.
constexpr milliseconds path_check_time{200};
/// Interval of looking whether a pause of the endpoint has ended, and the pause after which there is no
/// check.
constexpr milliseconds pause_check_interval{250};
constexpr milliseconds maximum_pause_to_wait{10'000};

} // namespace

asio::awaitable<void> check_for_crash(asio::any_io_executor executor, traffic_state& state,
                                      dispatch::endpoint_record endpoint, broken_request request)
{
    constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
    asio::steady_timer timer(executor, check_delay);
    co_await timer.async_wait(use_tuple);
    // A pausing endpoint wants no connections either.
    auto pause = state.balancer().constraints().pause_left(endpoint, std::chrono::steady_clock::now());
    if (pause > maximum_pause_to_wait)
        co_return;
    while (pause.count() > 0) {
        timer.expires_after(std::min(pause, pause_check_interval));
        co_await timer.async_wait(use_tuple);
        pause = state.balancer().constraints().pause_left(endpoint, std::chrono::steady_clock::now());
    }
    boost::system::error_code parse_error;
    const auto ip = asio::ip::make_address(endpoint.ip, parse_error);
    if (parse_error)
        co_return;
    asio::ip::tcp::socket socket(executor);
    const asio::ip::tcp::endpoint target(ip, endpoint.port);
    const auto [error] = co_await socket.async_connect(target, use_tuple);
    if (error != asio::error::connection_refused)
        co_return;
    // The own paths may refuse connections instead of the endpoint; others then fail too.
    state.paths().on_connect_failed(endpoint.id, std::chrono::steady_clock::now());
    if (state.paths().is_suspected(state.balancer().endpoints().size(), std::chrono::steady_clock::now())) {
        timer.expires_after(path_check_time);
        co_await timer.async_wait(use_tuple);
    }
    if (state.paths().was_just_lost(std::chrono::steady_clock::now()))
        co_return;
    const auto crash = combine64(hash64(endpoint.id.value()), endpoint.started_ms);
    const auto& content = request.content;
    const auto now = std::chrono::steady_clock::now();
    const auto status = state.count_crash(content, crash, now);
    log_event(event::endpoint_dead, {{"endpoint", endpoint.id.value()},
                                     {"request", request.id.value()},
                                     {"digest", content.digest},
                                     {"events", std::to_string(request.events)},
                                     {"parts", dispatch::to_string(request.parts)}});
    if (request.events == 0 && request.is_first_crash)
        state.count_part_crash(dispatch::shared_part_ids(request.parts), crash, now);
    if (status == admission::content_status::quarantined)
        log_event(event::request_quarantined,
                  {{"account", content.account.value()}, {"digest", content.digest}});
}

} // namespace siskinwharf::forwarding

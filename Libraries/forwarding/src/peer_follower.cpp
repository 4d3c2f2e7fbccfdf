#include "siskinwharf/forwarding/peer_follower.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "peer_table_times.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/http/error.h"
#include "state_text.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

/// Interval between checks while no newer version is known, and while one is missing.
constexpr milliseconds idle_interval{250};
constexpr milliseconds missing_interval{50};
/// Time for a whole answer. Another peer is asked long before.
constexpr milliseconds answer_timeout{3'000};
constexpr int status_ok = 200;

std::string_view name_of(shared_item item)
{
    return item == shared_item::configuration ? "configuration" : "endpoints";
}

} // namespace

peer_follower::peer_follower(asio::io_context& context, http::client& client, peer_exchange& peers,
                             followed_items items)
    : m_context(context), m_client(client), m_peers(peers), m_items(std::move(items)), m_timer(context)
{
    m_peers.on_newer_versions([this] { m_timer.cancel(); });
}

void peer_follower::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

bool peer_follower::must_read_store(shared_item item) const
{
    return plan(item).must_read_store(std::chrono::steady_clock::now());
}

const update_fetch_plan& peer_follower::plan(shared_item item) const
{
    return item == shared_item::configuration ? m_configuration : m_list;
}

update_fetch_plan& peer_follower::plan_of(shared_item item)
{
    return item == shared_item::configuration ? m_configuration : m_list;
}

asio::awaitable<void> peer_follower::run()
{
    while (true) {
        const bool fetches_configuration = begin_fetches(shared_item::configuration);
        const bool fetches_list = begin_fetches(shared_item::endpoint_list);
        m_timer.expires_after(fetches_configuration || fetches_list ? missing_interval : idle_interval);
        co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

bool peer_follower::begin_fetches(shared_item item)
{
    const auto now = std::chrono::steady_clock::now();
    auto& plan = plan_of(item);
    plan.observe(m_peers.offers(item), m_peers.versions(), now);
    if (!m_items.is_fetched(item, plan.missing_time(now)))
        return false;
    if (auto offer = plan.next(now))
        asio::co_spawn(m_context, fetch(item, std::move(*offer)), asio::detached);
    return plan.is_missing();
}

asio::awaitable<void> peer_follower::fetch(shared_item item, update_offer from)
{
    const auto asked = std::chrono::steady_clock::now();
    http::request message{
        "GET", "/state", encode_query(item, m_peers.versions(), from.versions.list.era), {}, ""};
    const http::address target{from.address.ip, from.address.port};
    auto& plan = plan_of(item);
    try {
        const auto response = co_await m_client.call(target, std::move(message), answer_timeout);
        const auto now = std::chrono::steady_clock::now();
        if (response.status == status_ok)
            plan.on_answered(from.process, m_items.apply(item, response.body), now);
        else
            plan.on_refused(from.process, now);
    } catch (const http::call_error& error) {
        plan.on_failed(from.process, std::chrono::steady_clock::now());
        log_failure(item, from, asked, error.what());
    }
    m_timer.cancel();
}

void peer_follower::log_failure(shared_item item, const update_offer& from, monotonic_time asked,
                                const std::string& reason) const
{
    const auto now = std::chrono::steady_clock::now();
    const auto& own = m_peers.versions();
    log_event(event::state_fetch_failed,
              {{"peer", from.process.value()},
               {"item", std::string(name_of(item))},
               {"configuration", std::to_string(from.versions.configuration.version)},
               {"own_configuration", std::to_string(own.configuration.version)},
               {"list", to_string(from.versions.list)},
               {"own_list", to_string(own.list)},
               {"taken_ms", std::to_string(elapsed(asked, now).count())},
               {"missing_ms", std::to_string(plan(item).missing_time(now).count())},
               {"reason", reason}});
}

} // namespace siskinwharf::forwarding

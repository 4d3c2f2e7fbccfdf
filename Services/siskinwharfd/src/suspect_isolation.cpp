#include "suspect_isolation.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

/// Suspects are few, so each looks for an idle endpoint by itself.
constexpr milliseconds poll_period{20};
/// With fewer endpoints a reservation would stop all healthy requests of the target.
constexpr std::size_t minimum_endpoints = 2;
/// Pause after a refusal by a peer. Differs between suspects, so that two that meet do not meet again.
constexpr milliseconds refused_pause{20};
constexpr std::size_t refused_pause_spread = 100;

milliseconds pause_of(const admission::content_key& key)
{
    return refused_pause + milliseconds(hash64(key.digest) % refused_pause_spread);
}

monotonic_time now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

/// Holds the place of a waiting suspect, also until its coroutine is destroyed.
class suspect_isolation::ticket {
public:
    ticket(suspect_isolation& owner, routing::target target, const admission::content_key& key)
        : m_owner(owner), m_target(std::move(target))
    {
        const std::scoped_lock lock(m_owner.m_mutex);
        auto& waiting = m_owner.m_targets[m_target].waiting;
        m_place = waiting.insert(waiting.end(), key);
    }
    ticket(const ticket&) = delete;
    ticket& operator=(const ticket&) = delete;
    ticket(ticket&&) = delete;
    ticket& operator=(ticket&&) = delete;
    ~ticket()
    {
        const std::scoped_lock lock(m_owner.m_mutex);
        auto& state = m_owner.m_targets[m_target];
        state.waiting.erase(m_place);
        m_owner.plan_without_start(state, m_target);
    }

private:
    suspect_isolation& m_owner;
    routing::target m_target;
    place m_place;
};

/// Holds an endpoint for a suspect until the peers have agreed, also until its coroutine is destroyed.
class suspect_isolation::claim {
public:
    claim(suspect_isolation& owner, routing::target target, routing::chosen_endpoint chosen)
        : m_owner(owner), m_target(std::move(target)), m_chosen(std::move(chosen))
    {
    }
    claim(const claim&) = delete;
    claim& operator=(const claim&) = delete;
    claim(claim&&) = delete;
    claim& operator=(claim&&) = delete;
    ~claim()
    {
        if (!m_chosen)
            return;
        const auto endpoint = m_chosen->endpoint->id;
        m_chosen.reset();
        m_owner.release(m_target, endpoint);
    }

    [[nodiscard]] const endpoint_id& endpoint() const { return m_chosen->endpoint->id; }
    [[nodiscard]] routing::chosen_endpoint take() { return *std::exchange(m_chosen, std::nullopt); }

private:
    suspect_isolation& m_owner;
    routing::target m_target;
    std::optional<routing::chosen_endpoint> m_chosen;
};

asio::awaitable<std::optional<routing::chosen_endpoint>>
suspect_isolation::acquire(admission::content_key key, routing::routing_request request,
                           monotonic_time give_up_at)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    const ticket waiting(*this, request.serves, key);
    while (true) {
        bool possible = false;
        auto pause = poll_period;
        if (auto started = try_start(key, request, possible)) {
            claim held(*this, request.serves, std::move(*started));
            if (!m_peers.claim || co_await m_peers.claim(held.endpoint(), key, give_up_at))
                co_return held.take();
            pause = pause_of(key);
        }
        if (!possible || now() >= give_up_at)
            co_return std::nullopt;
        timer.expires_at(std::min(now() + pause, give_up_at));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

std::optional<routing::chosen_endpoint> suspect_isolation::try_start(const admission::content_key& key,
                                                                     const routing::routing_request& request,
                                                                     bool& possible)
{
    const std::scoped_lock lock(m_mutex);
    drop_expired_holds();
    auto& state = m_targets[request.serves];
    auto endpoints = endpoints_of(state, request.serves);
    // An endpoint that just died or does not answer may still be in the table, and would be the first choice
    // because it runs nothing.
    std::erase_if(endpoints, [&](const admission::isolation_endpoint& entry) {
        return !entry.suspect &&
               std::ranges::find(request.excluded, entry.endpoint) != request.excluded.end();
    });
    possible = endpoints.size() >= minimum_endpoints;
    const auto endpoint = plan(state, endpoints, &key);
    if (!endpoint)
        return std::nullopt;
    const auto info = m_table.find_info(*endpoint);
    const auto load = m_table.find_load(*endpoint);
    if (!info || !load || info->state == routing::endpoint_state::leaving ||
        !load->try_acquire_slot(now(), 1, request.prompt_tokens, request.output_tokens))
        return std::nullopt;
    state.running.emplace(*endpoint, key);
    routing::in_flight_guard guard(load, request.prompt_tokens, request.output_tokens, now());
    return routing::chosen_endpoint{info, std::move(guard), 0, nanoseconds(0)};
}

void suspect_isolation::release(const routing::target& target, const endpoint_id& endpoint)
{
    const std::scoped_lock lock(m_mutex);
    auto& state = m_targets[target];
    const auto running = state.running.find(endpoint);
    if (running != state.running.end()) {
        if (m_peers.release)
            m_peers.release(endpoint, running->second);
        state.running.erase(running);
    }
    plan_without_start(state, target);
}

isolation_answer suspect_isolation::hold_for_peer(const instance_id& peer, const endpoint_id& endpoint,
                                                  const admission::content_key& suspect, milliseconds time)
{
    const std::scoped_lock lock(m_mutex);
    drop_expired_holds();
    const auto held = m_holds.find(endpoint);
    const bool own_hold =
        held != m_holds.end() && held->second.peer == peer && held->second.suspect == suspect;
    if (time == milliseconds{0}) {
        if (own_hold) {
            m_holds.erase(held);
            --m_reserved_count;
        }
        return {true, 0};
    }
    const bool copy_held = std::ranges::any_of(m_holds, [&](const auto& each) {
        return each.second.suspect == suspect && (each.first != endpoint || each.second.peer != peer);
    });
    if ((held != m_holds.end() && !own_hold) || copy_held || runs_here(endpoint, suspect))
        return {};
    if (m_holds.insert_or_assign(endpoint, peer_hold{peer, suspect, now() + time}).second)
        ++m_reserved_count;
    const auto load = m_table.find_load(endpoint);
    return {true, load ? load->own_streams() : 0};
}

bool suspect_isolation::runs_here(const endpoint_id& endpoint, const admission::content_key& suspect) const
{
    return std::ranges::any_of(m_targets, [&](const auto& target) {
        return std::ranges::any_of(target.second.running, [&](const auto& run) {
            return run.first == endpoint || run.second == suspect;
        });
    });
}

void suspect_isolation::drop_expired_holds() const
{
    m_reserved_count -=
        std::erase_if(m_holds, [time = now()](const auto& hold) { return hold.second.expires <= time; });
}

std::vector<endpoint_id> suspect_isolation::reserved(const routing::target& target) const
{
    const std::scoped_lock lock(m_mutex);
    drop_expired_holds();
    const auto found = m_targets.find(target);
    auto result = found == m_targets.end() ? std::vector<endpoint_id>{} : found->second.reserved;
    for (const auto& [endpoint, hold] : m_holds)
        result.push_back(endpoint);
    std::ranges::sort(result);
    return result;
}

bool suspect_isolation::is_reserved(const routing::target& target, const endpoint_id& endpoint) const
{
    if (!any_reserved())
        return false;
    const auto all = reserved(target);
    return std::ranges::binary_search(all, endpoint);
}

void suspect_isolation::plan_without_start(target_state& state, const routing::target& target)
{
    plan(state, endpoints_of(state, target), nullptr);
}

std::optional<endpoint_id>
suspect_isolation::plan(target_state& state, const std::vector<admission::isolation_endpoint>& endpoints,
                        const admission::content_key* key)
{
    admission::isolation_plan planned;
    if (endpoints.size() >= minimum_endpoints) {
        const std::vector<admission::content_key> waiting(state.waiting.begin(), state.waiting.end());
        planned = admission::plan_isolation(waiting, endpoints, admission::isolation_limits{});
    }
    // Holds end without a new plan, so they are kept apart.
    std::erase_if(planned.reserved, [this](const auto& endpoint) { return m_holds.contains(endpoint); });
    m_reserved_count += planned.reserved.size();
    m_reserved_count -= state.reserved.size();
    state.reserved = std::move(planned.reserved);
    for (const auto& run : planned.runs) {
        if (key != nullptr && run.suspect == *key)
            return run.endpoint;
    }
    return std::nullopt;
}

std::vector<admission::isolation_endpoint>
suspect_isolation::endpoints_of(const target_state& state, const routing::target& target) const
{
    std::vector<admission::isolation_endpoint> result;
    const routing::rcu_read_section section;
    const auto& targets = m_table.read(section).targets;
    const auto served = targets.find(target);
    if (served == targets.end())
        return result;
    const auto add = [&](const routing::endpoint_entry& entry) {
        admission::isolation_endpoint endpoint;
        endpoint.endpoint = entry.info->id;
        endpoint.in_flight = entry.load->streams();
        if (const auto running = state.running.find(entry.info->id); running != state.running.end())
            endpoint.suspect = running->second;
        else if (const auto held = m_holds.find(entry.info->id); held != m_holds.end())
            endpoint.suspect = held->second.suspect;
        endpoint.reserved = std::ranges::binary_search(state.reserved, entry.info->id);
        result.push_back(std::move(endpoint));
    };
    for (const auto& group : served->second.groups)
        std::ranges::for_each(group->endpoints, add);
    std::ranges::for_each(served->second.isolated, add);
    return result;
}

} // namespace siskinwharf::entry

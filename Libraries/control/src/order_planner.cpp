#include "siskinwharf/control/order_planner.h"

#include <algorithm>
#include <utility>

namespace siskinwharf::control {

namespace {

template<typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template<typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace

void order_planner::set_wanted(const endpoint_id& endpoint, endpoint_configuration wanted,
                               sheet::fencing_support support)
{
    auto& state = m_endpoints[endpoint.value()];
    state.support = support;
    if (state.wanted == wanted)
        return;
    state.wanted = std::move(wanted);
    state.matches = false;
    state.differs = false;
    state.retry_delay = nanoseconds(0);
    state.due = monotonic_time{};
}

void order_planner::set_permitted(const endpoint_id& endpoint, bool may_order)
{
    const auto found = m_endpoints.find(endpoint.value());
    if (found == m_endpoints.end())
        return;
    auto& state = found->second;
    state.permitted = may_order;
    if (may_order && std::exchange(state.withheld, false))
        state.due = monotonic_time{};
}

std::vector<order_action> order_planner::plan(const lease_holder& lease, monotonic_time now)
{
    std::vector<order_action> actions;
    const auto fencing = lease.fencing();
    if (!fencing || lease.permission(now, m_settings.time_to_send) != order_permission::permitted)
        return actions;
    if (m_planned_fencing != fencing) {
        // Under another lease, other processes may have sent orders, so all endpoints are read back first.
        m_planned_fencing = fencing;
        for (auto& [name, state] : m_endpoints) {
            state.matches = state.differs = state.in_flight = state.reading = state.withheld = false;
            state.present.reset();
            state.due = now;
        }
    }
    for (auto& [name, state] : m_endpoints)
        plan_endpoint(name, state, *fencing, now, actions);
    return actions;
}

void order_planner::plan_endpoint(const std::string& name, endpoint_state& state, std::uint64_t fencing,
                                  monotonic_time now, std::vector<order_action>& actions)
{
    if (state.in_flight || state.reading || now < state.due)
        return;
    if (!state.differs || !state.permitted) {
        state.reading = true;
        actions.emplace_back(read_back{endpoint_id(name)});
        return;
    }
    if (in_flight() >= m_settings.orders_in_flight)
        return;
    state.in_flight = true;
    state.differs = false;
    actions.emplace_back(send_order{endpoint_id(name), fencing, state.wanted});
}

void order_planner::order_done(const endpoint_id& endpoint, const order_result& result, lease_holder& lease,
                               monotonic_time now)
{
    if (const auto* stale = std::get_if<order_refused_stale>(&result))
        lease.stale_token_seen(stale->newer_token);
    const auto found = m_endpoints.find(endpoint.value());
    if (found == m_endpoints.end() || !found->second.in_flight)
        return;
    auto& state = found->second;
    state.in_flight = false;
    const auto wait = std::visit(overloaded{
                                     [](const order_accepted&) { return nanoseconds(0); },
                                     [](const order_refused_stale&) { return nanoseconds(0); },
                                     [&](const order_refused&) {
                                         state.retry_delay =
                                             std::clamp(state.retry_delay * 2, m_settings.first_retry,
                                                        m_settings.longest_retry);
                                         return state.retry_delay;
                                     },
                                     // Waits until the order has arrived or is lost, so that it cannot take
                                     // effect after the read-back.
                                     [&](const order_uncertain&) { return m_settings.longest_order_delay; },
                                 },
                                 result);
    state.due = now + wait;
}

void order_planner::configuration_read(const endpoint_id& endpoint,
                                       const std::optional<endpoint_configuration>& configuration,
                                       monotonic_time now)
{
    const auto found = m_endpoints.find(endpoint.value());
    if (found == m_endpoints.end() || !found->second.reading)
        return;
    auto& state = found->second;
    state.reading = false;
    state.withheld = false;
    state.present = configuration;
    if (!configuration) {
        state.retry_delay =
            std::clamp(state.retry_delay * 2, m_settings.first_retry, m_settings.longest_retry);
        state.due = now + state.retry_delay;
        return;
    }
    auto loaded = *configuration;
    loaded.loading = false;
    state.differs = loaded != state.wanted;
    const bool matched = std::exchange(state.matches, *configuration == state.wanted);
    // A load in progress is not ordered again, only read back.
    if (!state.matches && (!state.differs || !state.permitted)) {
        state.withheld = state.differs;
        state.due = now + m_settings.check_progress_every;
    }
    if (matched && state.differs)
        ++m_corrections;
    if (state.matches) {
        state.retry_delay = nanoseconds(0);
        state.due =
            now + (state.support == sheet::fencing_support::checked ? m_settings.check_every
                                                                    : m_settings.check_every_unfenced);
    }
}

bool order_planner::in_force(const endpoint_id& endpoint) const
{
    const auto found = m_endpoints.find(endpoint.value());
    return found != m_endpoints.end() && found->second.matches;
}

std::optional<endpoint_configuration> order_planner::present(const endpoint_id& endpoint) const
{
    const auto found = m_endpoints.find(endpoint.value());
    return found != m_endpoints.end() ? found->second.present : std::nullopt;
}

std::size_t order_planner::in_flight() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_endpoints, [](const auto& entry) { return entry.second.in_flight; }));
}

} // namespace siskinwharf::control

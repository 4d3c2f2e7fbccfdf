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
    auto& orders = m_endpoints[endpoint.value()];
    orders.support = support;
    if (orders.wanted == wanted)
        return;
    orders.wanted = std::move(wanted);
    orders.matches = false;
    orders.differs = false;
    orders.retry = nanoseconds(0);
    orders.due = monotonic_time{};
}

void order_planner::set_permitted(const endpoint_id& endpoint, bool may_order)
{
    const auto found = m_endpoints.find(endpoint.value());
    if (found == m_endpoints.end())
        return;
    auto& orders = found->second;
    orders.permitted = may_order;
    if (may_order && std::exchange(orders.held, false))
        orders.due = monotonic_time{};
}

std::vector<order_action> order_planner::plan(const lease_holder& lease, monotonic_time now)
{
    std::vector<order_action> actions;
    const auto fencing = lease.fencing();
    if (!fencing || lease.permission(now, m_settings.time_to_send) != order_permission::permitted)
        return actions;
    if (m_planned_fencing != fencing) {
        // Another process may have given orders since; everything is read back before the first order.
        m_planned_fencing = fencing;
        for (auto& [name, orders] : m_endpoints) {
            orders.matches = orders.differs = orders.in_flight = orders.reading = orders.held = false;
            orders.present.reset();
            orders.due = now;
        }
    }
    for (auto& [name, orders] : m_endpoints)
        plan_endpoint(name, orders, *fencing, now, actions);
    return actions;
}

void order_planner::plan_endpoint(const std::string& name, endpoint_orders& orders, std::uint64_t fencing,
                                  monotonic_time now, std::vector<order_action>& actions)
{
    if (orders.in_flight || orders.reading || now < orders.due)
        return;
    if (!orders.differs || !orders.permitted) {
        orders.reading = true;
        actions.emplace_back(read_back{endpoint_id(name)});
        return;
    }
    if (in_flight() >= m_settings.orders_in_flight)
        return;
    orders.in_flight = true;
    orders.differs = false;
    actions.emplace_back(send_order{endpoint_id(name), fencing, orders.wanted});
}

void order_planner::order_done(const endpoint_id& endpoint, const order_result& result, lease_holder& lease,
                               monotonic_time now)
{
    if (const auto* stale = std::get_if<order_refused_stale>(&result))
        lease.stale_token_seen(stale->newer_token);
    const auto found = m_endpoints.find(endpoint.value());
    if (found == m_endpoints.end() || !found->second.in_flight)
        return;
    auto& orders = found->second;
    orders.in_flight = false;
    const auto wait = std::visit(
        overloaded{
            [](const order_accepted&) { return nanoseconds(0); },
            [](const order_refused_stale&) { return nanoseconds(0); },
            [&](const order_refused&) {
                orders.retry = std::clamp(orders.retry * 2, m_settings.first_retry, m_settings.longest_retry);
                return orders.retry;
            },
            // Read back only when the order has arrived or is lost, so that it cannot follow the answer.
            [&](const order_uncertain&) { return m_settings.longest_order_delay; },
        },
        result);
    orders.due = now + wait;
}

void order_planner::configuration_read(const endpoint_id& endpoint,
                                       const std::optional<endpoint_configuration>& configuration,
                                       monotonic_time now)
{
    const auto found = m_endpoints.find(endpoint.value());
    if (found == m_endpoints.end() || !found->second.reading)
        return;
    auto& orders = found->second;
    orders.reading = false;
    orders.held = false;
    orders.present = configuration;
    if (!configuration) {
        orders.retry = std::clamp(orders.retry * 2, m_settings.first_retry, m_settings.longest_retry);
        orders.due = now + orders.retry;
        return;
    }
    auto loaded = *configuration;
    loaded.loading = false;
    orders.differs = loaded != orders.wanted;
    const bool matched = std::exchange(orders.matches, *configuration == orders.wanted);
    // A load that runs is not ordered again.
    if (!orders.matches && (!orders.differs || !orders.permitted)) {
        orders.held = orders.differs;
        orders.due = now + m_settings.check_progress_every;
    }
    if (matched && orders.differs)
        ++m_corrections;
    if (orders.matches) {
        orders.retry = nanoseconds(0);
        orders.due =
            now + (orders.support == sheet::fencing_support::checked ? m_settings.check_every
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

#include "siskinwharf/control/endpoint_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace siskinwharf::control {

namespace {

/// Target utilization of the endpoints. Above it, the time to the first event exceeds the targets.
/// Reclaimable endpoints, which cost little, are added until it is met.
constexpr double target_utilization = 0.25;
/// Target utilization after the loss of all reclaimable endpoints of a failure domain. On-demand endpoints
/// are added only as far as this target requires.
constexpr double surviving_utilization = 0.65;
/// Plans use the peak demand of this window, so that a short lull removes no endpoints.
constexpr seconds demand_window{8};
/// A surplus is removed after this time. The demand window provides the larger part of the hysteresis.
constexpr seconds surplus_retention_time{2};
/// Load is measured for this time before endpoints are removed for the first time.
constexpr seconds first_measurement_time{4};
/// Without load, each failure domain gets as many reclaimable endpoints as it has on-demand ones. Once the
/// reclaimable endpoints serve, this share of the on-demand ones is kept.
constexpr double initial_on_demand_share = 0.34;
/// Failure domains that may lose all reclaimable endpoints at once while no replacements are available. All
/// failure domains together keep on-demand endpoints for the load of so many of them.
constexpr double simultaneously_reclaimed_domains = 2;
/// For this time after a refusal of reclaimable endpoints in a failure domain, its minimum is filled with
/// on-demand endpoints and no reclaimable ones are added there.
constexpr seconds refusal_hold_off{10};
/// Longest time from the end of an endpoint's start until it has registered.
constexpr milliseconds registration_allowance{3'000};
/// Streams that stand for the capacity of one endpoint in the input of `capacity_planner`, which plans in
/// whole streams.
constexpr std::uint32_t streams_per_endpoint = 100;
constexpr double microcents_per_price_unit = 1e6;
constexpr std::uint64_t unlimited_budget = 1'000'000'000'000'000ULL;

capacity_settings planner_settings()
{
    capacity_settings settings;
    settings.demand_margin = 0;
    settings.first_backoff = seconds(2);
    settings.longest_backoff = seconds(8);
    settings.surplus_retention = surplus_retention_time;
    settings.starts_per_minute = 6'000;
    settings.burst_starts = 1'000;
    return settings;
}

std::uint32_t serving(const domain_endpoints& domain, instance_kind kind)
{
    return kind == instance_kind::on_demand ? domain.on_demand : domain.reclaimable;
}

const domain_endpoints& find_domain(const service_snapshot& snapshot, const failure_domain_id& domain)
{
    return *std::ranges::find(snapshot.domains, domain, &domain_endpoints::domain);
}

offer_key key_of(const failure_domain_id& domain, instance_kind kind)
{
    return {domain, "", kind};
}

} // namespace

endpoint_planner::endpoint_planner() : m_planner(planner_settings()) {}

std::vector<double> endpoint_planner::highest_demands(const service_snapshot& snapshot, monotonic_time now)
{
    while (!m_demands.empty() && m_demands.front().first + demand_window < now)
        m_demands.pop_front();
    std::vector<double> current;
    for (const auto& domain : snapshot.domains)
        current.push_back(domain.busy);
    m_demands.emplace_back(now, std::move(current));
    std::vector<double> highest(snapshot.domains.size());
    for (const auto& [time, demands] : m_demands) {
        for (std::size_t index = 0; index < std::min(demands.size(), highest.size()); ++index)
            highest[index] = std::max(highest[index], demands[index]);
    }
    return highest;
}

void endpoint_planner::apply_on_demand_floor(const service_snapshot& snapshot,
                                             const std::vector<double>& demands,
                                             std::vector<endpoint_count>& wanted) const
{
    const auto share =
        std::min(1.0, simultaneously_reclaimed_domains / static_cast<double>(snapshot.domains.size()));
    for (auto& entry : wanted) {
        if (entry.kind != instance_kind::on_demand)
            continue;
        for (std::size_t index = 0; index < demands.size(); ++index) {
            if (snapshot.domains[index].domain == entry.domain)
                entry.count =
                    std::max(entry.count, static_cast<std::uint32_t>(std::lround(demands[index] * share)));
        }
    }
}

void endpoint_planner::add_reclaimable(const service_snapshot& snapshot, double demand,
                                       std::vector<endpoint_count>& wanted, monotonic_time now) const
{
    const auto needed = static_cast<std::uint32_t>(std::ceil(demand / target_utilization));
    std::uint32_t sum = 0;
    std::vector<endpoint_count*> extensible;
    for (auto& entry : wanted) {
        sum += entry.count;
        if (entry.kind == instance_kind::reclaimable && reclaimable_available(snapshot, entry.domain, now))
            extensible.push_back(&entry);
    }
    // Extends the failure domain with the fewest reclaimable endpoints first, so that a reclaim of all those
    // in one domain takes as few as possible.
    for (; sum < needed && !extensible.empty(); ++sum)
        ++(*std::ranges::min_element(extensible, {}, [](const auto* entry) { return entry->count; }))->count;
}

bool endpoint_planner::reclaimable_available(const service_snapshot& snapshot,
                                             const failure_domain_id& domain, monotonic_time now) const
{
    const auto refusal = m_refusals.find(domain);
    const bool is_refused = refusal != m_refusals.end() && now < refusal->second + refusal_hold_off;
    return snapshot.reclaimable_price > 0 && !is_refused;
}

std::uint32_t endpoint_planner::starting(const offer& key, std::uint32_t serving_count,
                                         monotonic_time now) const
{
    const auto order = m_orders.find(key);
    if (order == m_orders.end() || order->second.start_deadline <= now)
        return 0;
    return order->second.count - std::min(order->second.count, serving_count);
}

capacity_snapshot endpoint_planner::capacity_snapshot_of(const service_snapshot& snapshot, double demand,
                                                         monotonic_time now) const
{
    capacity_snapshot result;
    result.demand_streams =
        static_cast<std::uint32_t>(std::ceil(demand / surviving_utilization * streams_per_endpoint));
    for (const auto& domain : snapshot.domains) {
        for (const auto kind : {instance_kind::reclaimable, instance_kind::on_demand}) {
            const auto share = kind == instance_kind::reclaimable ? snapshot.reclaimable_price : 1.0;
            if (kind == instance_kind::reclaimable && snapshot.reclaimable_price <= 0)
                continue; // The platform offers no reclaimable endpoints.
            capacity_offer entry;
            entry.key = key_of(domain.domain, kind);
            entry.microcents_per_hour =
                static_cast<std::uint64_t>(domain.price * share * microcents_per_price_unit);
            entry.streams = streams_per_endpoint;
            entry.running = serving(domain, kind);
            entry.starting = starting({domain.domain, kind}, entry.running, now);
            result.offers.push_back(entry);
        }
        result.budgets.push_back({domain.domain, unlimited_budget});
    }
    return result;
}

std::vector<endpoint_count> endpoint_planner::initial_orders(const service_snapshot& snapshot,
                                                             monotonic_time now)
{
    std::vector<endpoint_count> wanted;
    if (snapshot.reclaimable_price <= 0)
        return wanted;
    for (const auto& domain : snapshot.domains) {
        auto& first = m_initial_on_demand[domain.domain];
        first = std::max(first, domain.on_demand);
        const auto replacements = std::min(first, snapshot.maximum - std::min(snapshot.maximum, first));
        const auto kept = static_cast<std::uint32_t>(std::ceil(first * initial_on_demand_share));
        wanted.push_back(
            {domain.domain, instance_kind::reclaimable, std::max(domain.reclaimable, replacements)});
        const bool is_replaced = replacements > 0 && domain.reclaimable >= replacements;
        wanted.push_back({domain.domain, instance_kind::on_demand,
                          is_replaced ? std::max(kept, snapshot.minimum) : domain.on_demand});
    }
    return changed_counts(snapshot, wanted, now);
}

std::vector<endpoint_count> endpoint_planner::plan(const service_snapshot& snapshot, monotonic_time now)
{
    const auto demands = highest_demands(snapshot, now);
    const auto demand = std::accumulate(demands.begin(), demands.end(), 0.0);
    if (demand <= 0)
        return initial_orders(snapshot, now);
    if (m_first_demand_at == monotonic_time{})
        m_first_demand_at = now;
    double current = 0;
    for (const auto& domain : snapshot.domains)
        current += domain.busy;
    const auto capacity = capacity_snapshot_of(snapshot, current, now);
    const auto planned = m_planner.plan(capacity, now);
    std::vector<endpoint_count> wanted;
    for (const auto& option : capacity.offers) {
        const auto order = std::ranges::find(planned.orders, option.key, &capacity_order::key);
        const auto count = order == planned.orders.end() ? option.running + option.starting : order->count;
        wanted.push_back({option.key.domain, option.key.kind, count});
    }
    apply_on_demand_floor(snapshot, demands, wanted);
    add_reclaimable(snapshot, demand, wanted, now);
    if (now < m_first_demand_at + first_measurement_time) {
        for (auto& entry : wanted)
            entry.count = std::max(entry.count, serving(find_domain(snapshot, entry.domain), entry.kind));
    }
    return changed_counts(snapshot, apply_bounds(snapshot, demand, std::move(wanted), now), now);
}

std::vector<endpoint_count> endpoint_planner::apply_bounds(const service_snapshot& snapshot, double demand,
                                                           std::vector<endpoint_count> wanted,
                                                           monotonic_time now) const
{
    std::uint32_t serving_after = 0;
    for (const auto& entry : wanted)
        serving_after += std::min(entry.count, serving(find_domain(snapshot, entry.domain), entry.kind));
    // Removes nothing while the endpoints that would keep serving cannot carry the load.
    if (serving_after < std::ceil(demand / surviving_utilization)) {
        for (auto& entry : wanted)
            entry.count = std::max(entry.count, serving(find_domain(snapshot, entry.domain), entry.kind));
    }
    // On-demand endpoints cannot be reclaimed and therefore take their part of the bounds first; reclaimable
    // ones get the rest.
    std::map<failure_domain_id, std::uint32_t> counted;
    for (const auto kind : {instance_kind::on_demand, instance_kind::reclaimable}) {
        for (auto& entry : wanted) {
            if (entry.kind != kind)
                continue;
            auto& sum = counted[entry.domain];
            entry.count = std::min(entry.count, snapshot.maximum - std::min(snapshot.maximum, sum));
            const bool fills_minimum =
                (kind == instance_kind::reclaimable) == reclaimable_available(snapshot, entry.domain, now);
            if (fills_minimum && sum + entry.count < snapshot.minimum)
                entry.count = snapshot.minimum - sum;
            sum += entry.count;
        }
    }
    return wanted;
}

std::vector<endpoint_count> endpoint_planner::changed_counts(const service_snapshot& snapshot,
                                                             const std::vector<endpoint_count>& wanted,
                                                             monotonic_time now) const
{
    std::vector<endpoint_count> orders;
    for (const auto& entry : wanted) {
        const auto serving_now = serving(find_domain(snapshot, entry.domain), entry.kind);
        const auto order = m_orders.find({entry.domain, entry.kind});
        auto known = order == m_orders.end() ? serving_now : order->second.count;
        // The platform replaces endpoints that were reclaimed or did not start in time only on a new order.
        if (known > serving_now && order->second.start_deadline <= now)
            known = serving_now;
        if (entry.count != known)
            orders.push_back(entry);
    }
    return orders;
}

void endpoint_planner::accepted(const endpoint_count& order, milliseconds start_time, monotonic_time now)
{
    m_planner.start_accepted(key_of(order.domain, order.kind));
    m_orders[{order.domain, order.kind}] = {order.count, now + start_time + registration_allowance};
}

void endpoint_planner::refused(const endpoint_count& order, monotonic_time now)
{
    m_planner.start_refused(key_of(order.domain, order.kind), now);
    if (order.kind == instance_kind::reclaimable)
        m_refusals[order.domain] = now;
    m_orders.erase({order.domain, order.kind});
}

} // namespace siskinwharf::control

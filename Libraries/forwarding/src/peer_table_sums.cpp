// The part of peer_table that combines what several peers have told.

#include <algorithm>

#include "peer_table_times.h"
#include "siskinwharf/base/hash.h"
#include "siskinwharf/forwarding/peer_table.h"

namespace siskinwharf::forwarding {

namespace {

/// Maximum delivery time of a message between two regions.
constexpr milliseconds maximum_delivery_time{200};
/// A lease holder that was not seen for this time may be dead.
constexpr milliseconds lease_holder_timeout{1'500};
/// As above, where the sighting arrives through relays.
constexpr milliseconds relayed_lease_holder_timeout{2'500};

} // namespace

exchange::lease_sighting peer_table::lease_sighting(monotonic_time now) const
{
    exchange::lease_sighting best;
    const auto add = [&](std::uint64_t number, milliseconds age) {
        if (number > best.number || (number == best.number && age < best.age))
            best = {number, age};
    };
    for (const auto& [id, entry] : m_peers) {
        if (entry.state && entry.state->lease_number != 0)
            add(entry.state->lease_number, elapsed(entry.last_heard, now));
    }
    for (const auto& [id, entry] : m_domain_reports)
        add(entry.report.lease.number, entry.report.lease.age + elapsed(entry.heard, now));
    for (const auto& [id, entry] : m_deployment_reports)
        add(entry.report.lease.number, entry.report.lease.age + elapsed(entry.heard, now));
    return best;
}

bool peer_table::has_live_lease_holder(monotonic_time now) const
{
    const auto seen = lease_sighting(now);
    const auto limit =
        uses_relays() ? relayed_lease_holder_timeout : std::max(lease_holder_timeout, interval() * 4);
    return seen.number != 0 && seen.age <= limit;
}

std::vector<update_offer> peer_table::offers(shared_item item, const known_versions& own,
                                             monotonic_time now) const
{
    std::vector<update_offer> result;
    const auto own_hash = hash64(m_settings.instance.value());
    const auto add = [&](const instance_id& id, const settings::socket_address& address,
                         const known_versions& versions, const failure_domain_id& domain) {
        if (versions.is_newer(item, own))
            result.push_back({id, address, versions, domain == m_settings.domain,
                              combine64(own_hash, hash64(id.value()))});
    };
    for (const auto& [id, entry] : m_peers) {
        if (condition_of(entry, now) == condition::alive)
            add(id, entry.address, {entry.state->configuration, entry.state->list}, entry.state->domain);
    }
    for (const auto& [id, entry] : m_domain_reports) {
        if (now - entry.heard <= relay_timeout)
            add(id, entry.address, {entry.report.configuration, entry.report.list}, entry.report.domain);
    }
    return result;
}

std::vector<dispatch::helper> peer_table::helpers(monotonic_time now) const
{
    using dispatch::peer_distance;
    std::vector<dispatch::helper> result;
    for (const auto& [id, entry] : m_peers) {
        if (!entry.state || entry.state->is_leaving || condition_of(entry, now) != condition::alive)
            continue;
        auto distance = is_near(entry) ? peer_distance::same_region : peer_distance::other_region;
        if (is_in_domain(entry))
            distance = peer_distance::same_domain;
        const auto port = static_cast<std::uint16_t>(entry.address.port + relay_port_offset);
        result.push_back({id, entry.address.ip, port, distance});
    }
    return result;
}

monotonic_time peer_table::era_known_since(std::uint64_t era, monotonic_time own) const
{
    auto result = own;
    for (const auto& [id, entry] : m_peers) {
        if (entry.state && entry.state->list.era == era)
            result = std::min(result, entry.last_heard - entry.state->era_age);
    }
    return result;
}

std::map<failure_domain_id, exchange::service_demand> peer_table::demand_of(const service_id& service,
                                                                            monotonic_time now) const
{
    std::map<failure_domain_id, exchange::service_demand> result;
    const auto add = [&](const failure_domain_id& domain,
                         const std::vector<exchange::service_demand>& demands) {
        const auto found = std::ranges::find(demands, service, &exchange::service_demand::service);
        if (found == demands.end())
            return;
        auto& sum = result[domain];
        sum.service = service;
        sum.tokens_per_second += found->tokens_per_second;
        sum.running += found->running;
    };
    for (const auto& [id, entry] : m_peers) {
        const bool is_reported = uses_relays() && !is_in_domain(entry);
        if (!is_reported && condition_of(entry, now) == condition::alive)
            add(entry.state->domain, entry.state->services);
    }
    for (const auto& [domain, received] : newest_reports())
        add(domain, received->report.services);
    return result;
}

monotonic_time peer_table::domain_counts_complete_until(monotonic_time now) const
{
    auto result = now;
    for (const auto& [id, entry] : m_peers) {
        const bool has_counts = entry.state && !entry.state->is_leaving;
        const bool is_reported = uses_relays() && !is_in_domain(entry);
        if (has_counts && !is_reported && now - entry.last_heard <= dead_after)
            result = std::min(result, entry.last_heard);
    }
    return result;
}

monotonic_time peer_table::counts_complete_until(monotonic_time now) const
{
    auto result = domain_counts_complete_until(now);
    for (const auto& [domain, received] : newest_reports())
        result = std::min(result, received->heard - received->report.counts_age);
    // Counts made shortly before may still be in transit.
    return result - maximum_delivery_time;
}

} // namespace siskinwharf::forwarding

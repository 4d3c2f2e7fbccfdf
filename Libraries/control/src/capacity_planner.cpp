#include "siskinwharf/control/capacity_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "capacity_mix.h"

namespace siskinwharf::control {

capacity_planner::capacity_planner(const capacity_settings& settings)
    : m_settings(settings), m_start_tokens(settings.burst_starts)
{
}

void capacity_planner::start_refused(const offer_key& key, monotonic_time now)
{
    auto& entry = m_refusals[tuple_of(key)];
    // The starts of one order are often refused together and count as a single refusal.
    if (now < entry.retry_at)
        return;
    entry.backoff = std::clamp(entry.backoff * 2, m_settings.first_backoff, m_settings.longest_backoff);
    entry.retry_at = now + entry.backoff;
}

void capacity_planner::start_accepted(const offer_key& key)
{
    m_refusals.erase(tuple_of(key));
}

capacity_plan capacity_planner::plan(const capacity_snapshot& snapshot, monotonic_time now)
{
    std::vector<bool> startable;
    startable.reserve(snapshot.offers.size());
    for (const auto& offer : snapshot.offers)
        startable.push_back(!refused(offer.key, now));
    const auto demand =
        static_cast<std::uint64_t>(std::ceil(snapshot.demand_streams * (1.0 + m_settings.demand_margin)));
    const capacity_mix mix(snapshot, demand, std::move(startable));
    const auto counts = limit_changes(snapshot, mix.counts(), now);
    capacity_plan result;
    result.at_risk = mix.at_risk();
    result.microcents_per_hour = capacity_mix::cost(snapshot, counts);
    result.surviving_streams = capacity_mix::surviving(snapshot, counts);
    for (std::size_t index = 0; index < counts.size(); ++index) {
        const auto& offer = snapshot.offers[index];
        if (counts[index] != offer.running + offer.starting)
            result.orders.push_back({offer.key, counts[index]});
    }
    return result;
}

bool capacity_planner::refused(const offer_key& key, monotonic_time now) const
{
    const auto found = m_refusals.find(tuple_of(key));
    return found != m_refusals.end() && now < found->second.retry_at;
}

std::vector<std::uint32_t> capacity_planner::limit_changes(const capacity_snapshot& snapshot,
                                                           std::vector<std::uint32_t> counts,
                                                           monotonic_time now)
{
    const auto minutes =
        std::chrono::duration<double, std::ratio<60>>(now - m_start_tokens_updated_at).count();
    m_start_tokens =
        std::min(m_settings.burst_starts, m_start_tokens + minutes * m_settings.starts_per_minute);
    m_start_tokens_updated_at = now;
    std::map<std::string, std::uint64_t> spend;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        const auto& offer = snapshot.offers[index];
        const auto present = offer.running + offer.starting;
        if (counts[index] >= present)
            m_surplus_since.erase(tuple_of(offer.key));
        else if (m_surplus_since.try_emplace(tuple_of(offer.key), now).first->second +
                     m_settings.surplus_retention >
                 now)
            counts[index] = present;
        spend[offer.key.domain.value()] +=
            std::uint64_t{std::min(counts[index], present)} * offer.microcents_per_hour;
    }
    for (std::size_t index = 0; index < counts.size(); ++index) {
        const auto& offer = snapshot.offers[index];
        const auto present = offer.running + offer.starting;
        if (counts[index] <= present)
            continue;
        auto& spent = spend[offer.key.domain.value()];
        const auto budget = std::ranges::find(snapshot.budgets, offer.key.domain, &domain_budget::domain);
        const auto allowed = budget == snapshot.budgets.end() ? 0 : budget->microcents_per_hour;
        // A retained surplus counts against the budget.
        const auto affordable =
            (allowed - std::min(allowed, spent)) / std::max<std::uint64_t>(offer.microcents_per_hour, 1);
        const auto starts = std::min(
            {std::uint64_t{counts[index] - present}, affordable, static_cast<std::uint64_t>(m_start_tokens)});
        m_start_tokens -= static_cast<double>(starts);
        spent += starts * offer.microcents_per_hour;
        counts[index] = present + static_cast<std::uint32_t>(starts);
    }
    return counts;
}

capacity_planner::key_tuple capacity_planner::tuple_of(const offer_key& key)
{
    return {key.domain.value(), key.machine_class, key.kind};
}

} // namespace siskinwharf::control

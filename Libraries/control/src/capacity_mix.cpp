#include "capacity_mix.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

namespace siskinwharf::control {

namespace {

// Number of caps, evenly spaced up to the demand, that are tried for the reclaimable streams of one failure
// domain. More steps save less than one instance at the projected scale.
constexpr std::uint64_t loss_cap_steps = 64;
constexpr std::uint64_t no_cap = std::numeric_limits<std::uint64_t>::max();

double price_per_stream(const capacity_offer& offer)
{
    return static_cast<double>(offer.microcents_per_hour) / std::max<std::uint32_t>(offer.streams, 1);
}

bool reclaimable(const capacity_offer& offer)
{
    return offer.key.kind == instance_kind::reclaimable;
}

} // namespace

capacity_mix::capacity_mix(const capacity_snapshot& snapshot, std::uint64_t demand,
                           std::vector<bool> startable)
    : m_snapshot(snapshot),
      m_demand(demand),
      m_startable(std::move(startable)),
      m_offers_by_price(snapshot.offers.size())
{
    for (const auto& offer : snapshot.offers) {
        const auto budget = std::ranges::find(snapshot.budgets, offer.key.domain, &domain_budget::domain);
        m_domains.push_back(static_cast<std::size_t>(budget - snapshot.budgets.begin()));
    }
    std::iota(m_offers_by_price.begin(), m_offers_by_price.end(), std::size_t{0});
    std::ranges::stable_sort(m_offers_by_price, {},
                             [&](std::size_t offer) { return price_per_stream(snapshot.offers[offer]); });

    for (const bool with_on_demand : {false, true}) {
        m_at_risk = with_on_demand;
        if (select(with_on_demand))
            return;
    }
}

bool capacity_mix::select(bool with_on_demand)
{
    bool found = false;
    std::pair<std::uint64_t, std::uint64_t> best_reached{0, 0};
    std::uint64_t lowest_cost = 0;
    for (std::uint64_t step = with_on_demand ? 0 : 1; step <= loss_cap_steps; ++step) {
        auto tried = fill_reclaimable((m_demand * step + loss_cap_steps - 1) / loss_cap_steps);
        if (with_on_demand)
            add_on_demand(tried);
        // Serving the demand after a loss comes first, then serving it without a loss, then the cost.
        const std::pair reached{std::min(m_demand, tried.streams - worst_loss(tried)),
                                std::min(m_demand, tried.streams)};
        const auto costs = cost(m_snapshot, tried.counts);
        if (m_counts.empty() || reached > best_reached || (reached == best_reached && costs < lowest_cost)) {
            m_counts = std::move(tried.counts);
            best_reached = reached;
            lowest_cost = costs;
        }
        found = best_reached.first == m_demand;
    }
    return found;
}

capacity_mix::candidate_mix capacity_mix::empty_mix() const
{
    const auto domains = m_snapshot.budgets.size();
    return {std::vector<std::uint32_t>(m_snapshot.offers.size()), std::vector<std::uint64_t>(domains),
            std::vector<std::uint64_t>(domains), 0};
}

std::uint32_t capacity_mix::max_count(std::size_t offer) const
{
    const auto& there = m_snapshot.offers[offer];
    return m_startable[offer] ? std::numeric_limits<std::uint32_t>::max() : there.running + there.starting;
}

void capacity_mix::add_instances(candidate_mix& mix, std::size_t offer, std::uint64_t streams,
                                 std::uint64_t cap) const
{
    const auto& bought = m_snapshot.offers[offer];
    const auto domain = domain_of(offer);
    if (bought.streams == 0 || domain >= m_snapshot.budgets.size())
        return;
    const auto budget = m_snapshot.budgets[domain].microcents_per_hour;
    const auto remaining_budget = budget - std::min(budget, mix.domain_spend[domain]);
    std::uint64_t count = (streams + bought.streams - 1) / bought.streams;
    count = std::min<std::uint64_t>(count, max_count(offer) - mix.counts[offer]);
    count = std::min(count, remaining_budget / std::max<std::uint64_t>(bought.microcents_per_hour, 1));
    if (reclaimable(bought) && cap != no_cap) {
        const auto used = mix.domain_streams[domain];
        // Rounded up, or a demand smaller than the streams of one instance would get no instance.
        count = std::min(count, (cap - std::min(cap, used) + bought.streams - 1) / bought.streams);
    }
    mix.counts[offer] += static_cast<std::uint32_t>(count);
    mix.domain_spend[domain] += count * bought.microcents_per_hour;
    mix.streams += count * bought.streams;
    if (reclaimable(bought))
        mix.domain_streams[domain] += count * bought.streams;
}

capacity_mix::candidate_mix capacity_mix::fill_reclaimable(std::uint64_t cap) const
{
    auto filled = empty_mix();
    if (cap == 0)
        return filled;
    const auto needed = m_demand + cap;
    // The share of each failure domain is what its cheapest class would get if every start succeeded.
    candidate_mix ideal = empty_mix();
    for (const auto offer : m_offers_by_price) {
        if (reclaimable(m_snapshot.offers[offer]) && ideal.streams < needed && max_count(offer) > 0)
            add_instances(ideal, offer, needed - ideal.streams, cap);
    }
    // The part of a share that cannot be started moves to the next class in the same failure domain.
    for (const auto offer : m_offers_by_price) {
        const auto domain = domain_of(offer);
        if (!reclaimable(m_snapshot.offers[offer]) || domain >= ideal.domain_streams.size())
            continue;
        const auto share = ideal.domain_streams[domain];
        if (filled.domain_streams[domain] < share)
            add_instances(filled, offer, share - filled.domain_streams[domain], cap);
    }
    // Demand that is still unserved moves to the next failure domain.
    for (const auto offer : m_offers_by_price) {
        if (reclaimable(m_snapshot.offers[offer]) && filled.streams < needed)
            add_instances(filled, offer, needed - filled.streams, cap);
    }
    // Rounding up to whole instances can raise the worst loss above the cap, so it is covered as well.
    for (const auto offer : m_offers_by_price) {
        const auto target = m_demand + worst_loss(filled);
        if (reclaimable(m_snapshot.offers[offer]) && filled.streams < target)
            add_instances(filled, offer, target - filled.streams, worst_loss(filled));
    }
    return filled;
}

void capacity_mix::add_on_demand(candidate_mix& mix) const
{
    for (const auto offer : m_offers_by_price) {
        const auto surviving_now = mix.streams - worst_loss(mix);
        if (!reclaimable(m_snapshot.offers[offer]) && surviving_now < m_demand)
            add_instances(mix, offer, m_demand - surviving_now, no_cap);
    }
}

std::uint64_t capacity_mix::worst_loss(const candidate_mix& mix)
{
    return mix.domain_streams.empty() ? 0 : std::ranges::max(mix.domain_streams);
}

std::uint64_t capacity_mix::surviving(const capacity_snapshot& snapshot,
                                      const std::vector<std::uint32_t>& counts)
{
    std::uint64_t total = 0;
    std::map<std::string, std::uint64_t> lost;
    for (std::size_t offer = 0; offer < counts.size(); ++offer) {
        const auto& bought = snapshot.offers[offer];
        const auto streams = std::uint64_t{counts[offer]} * bought.streams;
        total += streams;
        if (reclaimable(bought))
            lost[bought.key.domain.value()] += streams;
    }
    std::uint64_t worst = 0;
    for (const auto& [domain, streams] : lost)
        worst = std::max(worst, streams);
    return total - worst;
}

std::uint64_t capacity_mix::cost(const capacity_snapshot& snapshot, const std::vector<std::uint32_t>& counts)
{
    std::uint64_t sum = 0;
    for (std::size_t offer = 0; offer < counts.size(); ++offer)
        sum += counts[offer] * snapshot.offers[offer].microcents_per_hour;
    return sum;
}

} // namespace siskinwharf::control

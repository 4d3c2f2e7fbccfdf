#include "siskinwharf/forwarding/update_fetch_plan.h"

#include <algorithm>
#include <utility>

#include "peer_table_times.h"

namespace siskinwharf::forwarding {

namespace {

/// A peer that has not answered for this time is joined by another one.
constexpr milliseconds second_call_delay{250};
constexpr std::size_t maximum_calls = 2;
/// Time for which a peer that failed is left out, and one that refused or had nothing newer.
constexpr milliseconds failed_pause{2'000};
constexpr milliseconds refused_pause{200};
/// Peers of other failure domains are asked after this time. Traffic between domains is billed, and a reader
/// of the own domain announces the same version a moment later.
constexpr milliseconds other_domain_delay{100};
/// A version that peers have not delivered after this time is read from the store, or as soon as this many
/// peers have refused to send it.
constexpr milliseconds store_delay{500};
constexpr std::size_t refusals_until_store = 2;

} // namespace

void update_fetch_plan::observe(std::vector<update_offer> offers, const known_versions& own,
                                monotonic_time now)
{
    const bool has_advanced = own.is_newer(m_item, m_own);
    m_own = own;
    m_offers = std::move(offers);
    std::erase_if(m_not_before, [&](const auto& entry) { return entry.second <= now; });
    if (m_offers.empty()) {
        m_missing_since.reset();
        m_failures = 0;
        m_refusals = 0;
        return;
    }
    if (has_advanced || !m_missing_since) {
        m_missing_since = now;
        m_failures = 0;
        m_refusals = 0;
    }
}

bool update_fetch_plan::may_ask(const update_offer& offer, monotonic_time now) const
{
    if (m_running.contains(offer.process) || m_not_before.contains(offer.process))
        return false;
    return offer.is_in_domain || missing_time(now) >= other_domain_delay;
}

std::optional<update_offer> update_fetch_plan::next(monotonic_time now)
{
    if (m_running.size() >= maximum_calls)
        return std::nullopt;
    const bool is_one_recent = std::ranges::any_of(
        m_running, [&](const auto& call) { return elapsed(call.second, now) < second_call_delay; });
    if (is_one_recent)
        return std::nullopt;
    const update_offer* best = nullptr;
    for (const auto& offer : m_offers) {
        if (!may_ask(offer, now))
            continue;
        const bool is_better = best == nullptr || std::pair(offer.is_in_domain, offer.rank) >
                                                      std::pair(best->is_in_domain, best->rank);
        if (is_better)
            best = &offer;
    }
    if (best == nullptr)
        return std::nullopt;
    m_running[best->process] = now;
    return *best;
}

void update_fetch_plan::on_answered(const instance_id& process, bool has_news, monotonic_time now)
{
    m_running.erase(process);
    if (!has_news)
        m_not_before[process] = now + refused_pause;
}

void update_fetch_plan::on_failed(const instance_id& process, monotonic_time now)
{
    m_running.erase(process);
    m_not_before[process] = now + failed_pause;
    ++m_failures;
}

void update_fetch_plan::on_refused(const instance_id& process, monotonic_time now)
{
    m_running.erase(process);
    m_not_before[process] = now + refused_pause;
    ++m_refusals;
}

bool update_fetch_plan::must_read_store(monotonic_time now) const
{
    return m_missing_since && (missing_time(now) >= store_delay || m_refusals >= refusals_until_store);
}

milliseconds update_fetch_plan::missing_time(monotonic_time now) const
{
    return m_missing_since ? elapsed(*m_missing_since, now) : milliseconds(0);
}

} // namespace siskinwharf::forwarding

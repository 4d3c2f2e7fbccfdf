#include "siskinwharf/dispatch/account_quota.h"

#include <algorithm>
#include <cmath>

namespace siskinwharf::dispatch {

namespace {

/// Over which the demand is averaged.
constexpr double demand_seconds = 2;
/// Demand that counts for each process, so that one without requests can admit its first ones.
constexpr double least_demand = 1;
/// Share of an average process that each one has whatever its demand is.
constexpr double floor_share = 0.25;

double seconds_between(monotonic_time from, monotonic_time until)
{
    return std::max(0.0, std::chrono::duration<double>(until - from).count());
}

} // namespace

double quota_share(double own_per_second, const std::vector<peer_demand>& peers)
{
    double sum_heard = own_per_second;
    double heard = 1;
    for (const auto& peer : peers) {
        if (!peer.is_silent) {
            sum_heard += peer.per_second;
            heard += 1;
        }
    }
    const auto average = sum_heard / heard;
    const auto floor = std::max(least_demand, average * floor_share);
    const auto own = std::max(own_per_second, floor);
    auto total = own;
    for (const auto& peer : peers)
        total += std::max({peer.per_second, floor, peer.is_silent ? average : 0.0});
    return own / total;
}

account_quota::account_quota(double per_second, double burst, monotonic_time now)
    : m_per_second(per_second), m_burst(burst), m_refilled_at(now), m_demand_at(now)
{
}

void account_quota::set_limit(double per_second, double burst)
{
    m_per_second = per_second;
    m_burst = burst;
}

void account_quota::set_share(double share, monotonic_time now)
{
    refill(now);
    m_share = share;
}

void account_quota::refill(monotonic_time now)
{
    const auto gained = m_per_second * m_share * seconds_between(m_refilled_at, now);
    m_refilled_at = now;
    m_level = std::min(m_level + gained, m_burst * m_share);
}

bool account_quota::try_take(double amount, monotonic_time now)
{
    m_demand = demand(now) + amount / demand_seconds;
    m_demand_at = now;
    if (m_per_second <= 0)
        return true;
    refill(now);
    if (m_level <= 0)
        return false;
    m_level -= amount;
    return true;
}

void account_quota::give_back(double amount)
{
    if (m_per_second > 0)
        m_level = std::min(m_level + amount, m_burst * m_share);
}

double account_quota::demand(monotonic_time now) const
{
    return m_demand * std::exp(-seconds_between(m_demand_at, now) / demand_seconds);
}

} // namespace siskinwharf::dispatch

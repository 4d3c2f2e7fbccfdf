#include "siskinwharf/dispatch/account_quota.h"

#include <algorithm>

namespace siskinwharf::dispatch {

namespace {

/// Time over which the current rate is measured.
constexpr milliseconds rate_measurement_time{1'000};
/// Time in which the usage of each process reaches all others, including the delay between regions.
constexpr double report_propagation_s = 1;
/// A report older than this is overdue. Reports arrive several times a second, from other regions about every
/// 0.75 s.
constexpr milliseconds maximum_report_age{1'200};
/// Fraction of the tolerance that is used. The rest covers what processes admit before their usage reports
/// reach each other.
constexpr double used_tolerance_share = 0.3;
/// While the account has used less than this fraction of the allowed amount, its requests are not limited by
/// this process's share. Only a sudden rise to many times the limit could exceed it before the usage reports
/// arrive.
constexpr double unrestricted_share = 0.5;

double seconds_between(monotonic_time from, monotonic_time until)
{
    return std::max(0.0, std::chrono::duration<double>(until - from).count());
}

} // namespace

quota_usage estimate_peer_usage(const quota_usage& own, const std::vector<peer_usage>& peers,
                                const quota_limit& limit)
{
    quota_usage reported;
    double processes = 0;
    const auto window_s = std::chrono::duration<double>(limit.window).count();
    const auto is_current = [](const peer_usage& peer) {
        return !peer.has_ended && peer.age <= maximum_report_age;
    };
    for (const auto& peer : peers) {
        if (!is_current(peer))
            continue;
        const auto age_s = std::chrono::duration<double>(peer.age).count();
        reported.in_window += peer.use.in_window + peer.use.per_second * age_s;
        reported.per_second += peer.use.per_second;
        processes += 1;
    }
    const quota_usage average{(reported.in_window + own.in_window) / (processes + 1),
                              (reported.per_second + own.per_second) / (processes + 1)};
    auto result = reported;
    for (const auto& peer : peers) {
        if (is_current(peer))
            continue;
        if (peer.has_ended) {
            // All of the usage may have occurred at the end of the reported window.
            result.in_window += peer.age < limit.window ? peer.use.in_window : 0;
            continue;
        }
        const auto elapsed_s = std::min(std::chrono::duration<double>(peer.age).count(), window_s);
        const auto extrapolated = peer.use.in_window + peer.use.per_second * elapsed_s;
        result.in_window +=
            std::max(std::min(extrapolated, peer.use.per_second * window_s), average.in_window);
        result.per_second += std::max(peer.use.per_second, average.per_second);
    }
    return result;
}

void account_quota::set_peer_usage(const quota_usage& use, std::size_t processes, double coverage,
                                   monotonic_time now)
{
    refill(now);
    m_coverage = std::clamp(coverage, 0.0, 1.0);
    m_processes = std::max<std::size_t>(processes, 1);
    const auto own = this->use(now);
    const auto remaining = allowed_in_window() - own.in_window - use.in_window;
    m_peers_in_window = use.in_window;
    // Half of the remainder is divided equally, so that a process without recent requests can admit some. The
    // other half is divided in proportion to the current rates.
    const auto equal_share = 1.0 / static_cast<double>(m_processes);
    const auto total = own.per_second + use.per_second;
    const auto rate_share = total > 0 ? std::max(own.per_second, 0.0) / total : equal_share;
    m_own_share = std::max(0.0, remaining) * (equal_share + rate_share) / 2;
}

double account_quota::allowed_in_window() const
{
    const auto window_s = std::chrono::duration<double>(m_limit.window).count();
    // The burst may have been used in the part of the window for which the usage is unknown. The square of
    // the coverage makes the burst available again only late in the window.
    const auto limit = m_limit.per_second * window_s * m_coverage + m_limit.burst * m_coverage * m_coverage;
    return limit * (1 + used_tolerance_share * m_limit.tolerance_share) +
           used_tolerance_share * m_limit.tolerance_amount;
}

void account_quota::refill(monotonic_time now)
{
    m_available = std::min(m_own_share, m_available + m_own_share * seconds_between(m_refilled_at, now) /
                                                          report_propagation_s);
    m_refilled_at = now;
}

void account_quota::set_limit(const quota_limit& limit)
{
    m_limit = limit;
    m_admitted.set_span(limit.window);
}

quota_usage account_quota::use(monotonic_time now) const
{
    return {m_admitted.since(now - m_limit.window), m_admitted.per_second(rate_measurement_time, now)};
}

bool account_quota::has_capacity(double amount, monotonic_time now)
{
    refill(now);
    const auto used = m_admitted.since(now - m_limit.window) + m_peers_in_window;
    return m_available > 0 || used + amount <= unrestricted_share * allowed_in_window();
}

bool account_quota::try_acquire(double amount, monotonic_time now)
{
    if (m_limit.per_second > 0 && !has_capacity(amount, now))
        return false;
    m_admitted.add(amount, now);
    m_available -= amount;
    return true;
}

void account_quota::refund(double amount, monotonic_time now)
{
    m_admitted.add(-amount, now);
    m_available += amount;
}

} // namespace siskinwharf::dispatch

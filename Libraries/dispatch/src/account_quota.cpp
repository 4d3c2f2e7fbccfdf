#include "siskinwharf/dispatch/account_quota.h"

#include <algorithm>

namespace siskinwharf::dispatch {

namespace {

constexpr milliseconds recent_time{1'000};
/// In which all processes have heard what each has admitted, with the delay between regions.
constexpr double exchange_time_s = 1;
/// Messages come several times a second, from other regions about one in 0.75 s.
constexpr milliseconds longest_message_gap{1'200};
/// Part of the tolerance that is used. The rest covers what processes admit before they hear of each other.
constexpr double used_tolerance = 0.3;
/// While the account has used less than this share of what is allowed, its requests are not rationed: it
/// would take a sudden rise to many times the limit to exceed it before the processes hear of each other.
constexpr double free_share = 0.5;

double seconds_between(monotonic_time from, monotonic_time until)
{
    return std::max(0.0, std::chrono::duration<double>(until - from).count());
}

} // namespace

quota_usage estimate_peer_usage(const quota_usage& own, const std::vector<peer_usage>& peers,
                                const quota_limit& limit)
{
    quota_usage heard;
    double processes = 0;
    const auto window_s = std::chrono::duration<double>(limit.window).count();
    const auto is_heard = [](const peer_usage& peer) {
        return !peer.has_ended && peer.age <= longest_message_gap;
    };
    for (const auto& peer : peers) {
        if (!is_heard(peer))
            continue;
        const auto age_s = std::chrono::duration<double>(peer.age).count();
        heard.in_window += peer.use.in_window + peer.use.per_second * age_s;
        heard.per_second += peer.use.per_second;
        processes += 1;
    }
    const quota_usage average{(heard.in_window + own.in_window) / (processes + 1),
                              (heard.per_second + own.per_second) / (processes + 1)};
    auto result = heard;
    for (const auto& peer : peers) {
        if (is_heard(peer))
            continue;
        if (peer.has_ended) {
            // All of it may have been used at the end of its window.
            result.in_window += peer.age < limit.window ? peer.use.in_window : 0;
            continue;
        }
        const auto silent_s = std::min(std::chrono::duration<double>(peer.age).count(), window_s);
        const auto continued = peer.use.in_window + peer.use.per_second * silent_s;
        result.in_window += std::max(std::min(continued, peer.use.per_second * window_s), average.in_window);
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
    const auto left = allowed_in_window() - own.in_window - use.in_window;
    m_peers_in_window = use.in_window;
    // Half is divided equally, so that a process without recent requests can admit some.
    const auto equal = 1.0 / static_cast<double>(m_processes);
    const auto total = own.per_second + use.per_second;
    const auto by_use = total > 0 ? std::max(own.per_second, 0.0) / total : equal;
    m_own_share = std::max(0.0, left) * (equal + by_use) / 2;
}

double account_quota::allowed_in_window() const
{
    const auto window_s = std::chrono::duration<double>(m_limit.window).count();
    // The burst may have been used in the part of the window that is not known; its square lets it return
    // late.
    const auto limit = m_limit.per_second * window_s * m_coverage + m_limit.burst * m_coverage * m_coverage;
    return limit * (1 + used_tolerance * m_limit.tolerance_share) + used_tolerance * m_limit.tolerance_amount;
}

void account_quota::refill(monotonic_time now)
{
    m_available = std::min(m_own_share,
                           m_available + m_own_share * seconds_between(m_refilled_at, now) / exchange_time_s);
    m_refilled_at = now;
}

void account_quota::set_limit(const quota_limit& limit)
{
    m_limit = limit;
    m_admitted.set_span(limit.window);
}

quota_usage account_quota::use(monotonic_time now) const
{
    return {m_admitted.since(now - m_limit.window), m_admitted.per_second(recent_time, now)};
}

bool account_quota::has_capacity(double amount, monotonic_time now)
{
    refill(now);
    const auto known = m_admitted.since(now - m_limit.window) + m_peers_in_window;
    return m_available > 0 || known + amount <= free_share * allowed_in_window();
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

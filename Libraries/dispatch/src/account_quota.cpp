#include "siskinwharf/dispatch/account_quota.h"

#include <algorithm>

namespace siskinwharf::dispatch {

namespace {

/// Time over which the current rates are measured: no longer than reports are old, so that a jump shows at
/// once.
constexpr milliseconds rate_measurement_time{300};
/// Time for which what a process admits counts as unknown to the others.
constexpr milliseconds report_propagation{400};
/// Time over which the remainder is spent at the rate that is asked for.
constexpr milliseconds spending_time{300};
/// Fraction of the room that all processes together may have used without a report. If processes restart, the
/// others never learn of what they used then.
constexpr double unreported_room_share = 0.8;
/// An account whose remainder lasts for less than this many times `spending_time` is close to its limit.
constexpr int near_limit_factor = 5;
/// Factor by which the rate of a process may have risen between its last report and its end.
constexpr double ended_rate_factor = 2;
/// A report older than this is overdue. Reports arrive several times a second, from other regions about every
/// 0.75 s.
constexpr milliseconds maximum_report_age{1'200};
/// Fraction of the tolerance that is used. The rest covers what processes admit before their usage reports
/// reach each other.
constexpr double used_tolerance_share = 0.3;
/// Fraction of the tolerance that all processes share which the others may not count any more. Together with
/// `used_tolerance_share` it leaves a part for what is admitted before reports arrive.
constexpr double isolated_tolerance_share = 0.2;
/// Weight of the newest request in the moving average of their sizes.
constexpr double size_sample_weight = 0.1;
/// Bounds of the retry delay of a refused request. A caller has left by the time that a longer delay is over.
constexpr double minimum_retry_after_s = 0.25;
constexpr double maximum_retry_after_s = 4;
/// The retry delay is spread over this part of itself in both directions.
constexpr double retry_spread = 0.25;

double seconds_between(monotonic_time from, monotonic_time until)
{
    return std::max(0.0, std::chrono::duration<double>(until - from).count());
}

} // namespace

quota_usage estimate_peer_usage(const quota_usage& own, const std::vector<peer_usage>& peers,
                                const quota_limit& limit)
{
    quota_usage reported;
    double since_reports = 0;
    double processes = 0;
    const auto window_s = std::chrono::duration<double>(limit.window).count();
    const auto propagation_s = std::chrono::duration<double>(report_propagation).count();
    const auto is_current = [](const peer_usage& peer) {
        return !peer.has_ended && peer.age <= maximum_report_age;
    };
    for (const auto& peer : peers) {
        if (!is_current(peer))
            continue;
        const auto age_s = std::chrono::duration<double>(peer.age).count();
        reported.in_window += peer.use.in_window;
        since_reports += peer.use.per_second * age_s;
        reported.per_second += peer.use.per_second;
        reported.asked_per_second += peer.use.asked_per_second;
        processes += peer.processes;
    }
    // The peers, too, admit nothing beyond the limit, so a high rate does not go on when it is reached.
    const auto room = limit.per_second * window_s + limit.burst - reported.in_window - own.in_window;
    const auto admitted_since = std::min(since_reports, std::max(room, 0.0));
    reported.in_window += admitted_since;
    const auto all = processes + 1;
    const quota_usage average{(reported.in_window + own.in_window) / all,
                              (reported.per_second + own.per_second) / all,
                              (reported.asked_per_second + own.asked_per_second) / all};
    auto result = reported;
    double unreported = 0;
    for (const auto& peer : peers) {
        if (is_current(peer))
            continue;
        if (peer.has_ended) {
            // All of the usage may have occurred at the end of the reported window. What came after it was
            // not reported, and its rate may have risen meanwhile.
            if (peer.age >= limit.window)
                continue;
            result.in_window += peer.use.in_window;
            unreported += peer.use.asked_per_second * propagation_s * ended_rate_factor;
            continue;
        }
        const auto elapsed_s = std::min(std::chrono::duration<double>(peer.age).count(), window_s);
        const auto extrapolated = peer.use.in_window + peer.use.per_second * elapsed_s;
        // Part of what it used has left the window, in the order in which it was admitted.
        const auto left = peer.use.in_window * (1 - elapsed_s / window_s);
        result.in_window += std::max({left, std::min(extrapolated, peer.use.per_second * window_s),
                                      average.in_window * peer.processes});
        result.per_second += std::max(peer.use.per_second, average.per_second * peer.processes);
        result.asked_per_second +=
            std::max(peer.use.asked_per_second, average.asked_per_second * peer.processes);
    }
    result.in_window += std::min(unreported, std::max(room - admitted_since, 0.0));
    return result;
}

void account_quota::set_peer_usage(const quota_usage& use, double coverage, monotonic_time now)
{
    m_peers = use;
    m_has_peer_usage = true;
    m_peers_at = now;
    m_coverage = std::clamp(coverage, 0.0, 1.0);
}

double account_quota::allowed_in_window() const
{
    const auto window_s = std::chrono::duration<double>(m_limit.window).count();
    if (m_isolated_among > 0) {
        const auto whole = m_limit.per_second * window_s + m_limit.burst;
        const auto tolerance = whole * m_limit.tolerance_share + m_limit.tolerance_amount;
        return isolated_tolerance_share * tolerance / static_cast<double>(m_isolated_among);
    }
    // The burst may have been used in the part of the window for which the usage is unknown. The square of
    // the coverage makes the burst available again only late in the window.
    const auto limit = m_limit.per_second * window_s * m_coverage + m_limit.burst * m_coverage * m_coverage;
    return limit * (1 + used_tolerance_share * m_limit.tolerance_share) +
           used_tolerance_share * m_limit.tolerance_amount;
}

double account_quota::remaining(monotonic_time now) const
{
    const auto own = m_admitted.since(now - m_limit.window);
    if (m_isolated_among > 0)
        return allowed_in_window() - own;
    const auto room = allowed_in_window() - own - m_peers.in_window;
    // The peers admit nothing beyond the limit either.
    const auto since_estimate = m_peers.per_second * seconds_between(m_peers_at, now);
    return room - std::min(since_estimate, std::max(room, 0.0));
}

double account_quota::expected_demand(monotonic_time now) const
{
    const auto own = std::max(0.0, m_asked.per_second(rate_measurement_time, now));
    return (own + m_peers.asked_per_second) * std::chrono::duration<double>(spending_time).count();
}

double account_quota::needed_room(double amount, monotonic_time now) const
{
    // To refuse a request that is small against the others would save little.
    const auto relative_size = m_mean_amount > 0 ? std::min(1.0, amount / m_mean_amount) : 1.0;
    // A single request may be larger than what all processes are asked for in that time.
    return std::max(amount, expected_demand(now) * relative_size);
}

bool account_quota::is_within_share(double draw, monotonic_time now) const
{
    // An isolated process has a share of its own already, and a single process shares with none.
    if (m_isolated_among > 0 || m_processes == 1)
        return true;
    const auto unreported = m_admitted.since(now - report_propagation);
    const auto own = m_asked.per_second(m_limit.window, now);
    const auto all = own + m_peers.asked_per_second;
    // A process that has just started knows nothing of what the others are asked for.
    const auto asked_share = m_has_peer_usage && all > 0 ? own / all : 0.0;
    const auto share = std::max(1 / static_cast<double>(m_processes), asked_share);
    // What this process has just admitted is part of the room that all share. One more request is admitted by
    // chance, because a share may be smaller than that.
    return unreported <= unreported_room_share * share * (remaining(now) + unreported) + draw * m_mean_amount;
}

void account_quota::set_limit(const quota_limit& limit)
{
    m_limit = limit;
    m_admitted.set_span(limit.window);
    m_asked.set_span(limit.window);
}

bool account_quota::is_near_limit(monotonic_time now) const
{
    return m_limit.per_second > 0 && remaining(now) < near_limit_factor * expected_demand(now);
}

quota_usage account_quota::use(monotonic_time now) const
{
    return {m_admitted.since(now - m_limit.window), m_admitted.per_second(rate_measurement_time, now),
            m_asked.per_second(rate_measurement_time, now)};
}

quota_balance account_quota::balance(monotonic_time now) const
{
    return {allowed_in_window(), remaining(now), expected_demand(now),
            std::chrono::duration_cast<milliseconds>(now - m_peers_at)};
}

bool account_quota::try_acquire(double amount, double draw, monotonic_time now)
{
    m_mean_amount += (m_mean_amount == 0 ? 1 : size_sample_weight) * (amount - m_mean_amount);
    const bool has_room = m_limit.per_second <= 0 ||
                          (remaining(now) > draw * needed_room(amount, now) && is_within_share(draw, now));
    m_asked.add(amount, now);
    if (!has_room)
        return false;
    m_admitted.add(amount, now);
    return true;
}

void account_quota::refund(double amount, monotonic_time now)
{
    m_admitted.add(-amount, now);
}

milliseconds account_quota::retry_after(double amount, double draw, monotonic_time now) const
{
    const auto missing = needed_room(amount, now) - remaining(now);
    const auto delay_s =
        std::clamp(missing / std::max(m_limit.per_second, 1.0), minimum_retry_after_s, maximum_retry_after_s);
    const auto spread_s = delay_s * (1 + retry_spread * (2 * draw - 1));
    return std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(spread_s));
}

} // namespace siskinwharf::dispatch

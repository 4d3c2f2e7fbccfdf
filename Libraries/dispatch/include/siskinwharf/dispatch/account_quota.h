#pragma once

#include <cstdint>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/dispatch/sliding_sum.h"

namespace siskinwharf::dispatch {

/// Rate limit of an account across all processes: at most `per_second` x `window` + `burst` in any window.
/// Amounts are requests, or tokens for an account whose quota is in tokens.
struct quota_limit {
    double per_second = 0; ///< 0: no limit.
    double burst = 0;      ///< Amount allowed in any window in addition to the rate.
    milliseconds window{8'000};
    double tolerance_share = 0;  ///< Fraction of the limit by which all processes together may exceed it.
    double tolerance_amount = 0; ///< Amount by which all processes together may exceed the limit.

    auto operator<=>(const quota_limit&) const = default;
};

/// Amounts that one process has admitted for an account.
struct quota_usage {
    double in_window = 0;  ///< Amount in the last window.
    double per_second = 0; ///< Average rate over the last second.

    auto operator<=>(const quota_usage&) const = default;
};

/// Usage of a quota as last reported by a peer process.
struct peer_usage {
    quota_usage use;
    milliseconds age{0};    ///< Time since the report.
    bool has_ended = false; ///< The peer has restarted since. Its usage before the restart still counts.
};

/// Estimates the current usage of a quota by all other processes. The last report of each peer is
/// extrapolated at its reported rate. A peer whose reports are overdue may be partitioned from this process
/// while its traffic changes, so it counts with at least the average usage. This keeps the processes on both
/// sides of a network partition within the limit together.
[[nodiscard]] quota_usage estimate_peer_usage(const quota_usage& own, const std::vector<peer_usage>& peers,
                                              const quota_limit& limit);

/// Distributed rate limiter for one account. It admits requests so that all processes together stay within
/// the limit. The remainder of the limit, after this process's own usage and the usage reported by its peers,
/// is divided among the processes. Each process spends its share no faster than the usage reports of its
/// peers arrive.
class account_quota {
public:
    account_quota(const quota_limit& limit, monotonic_time now)
        : m_limit(limit), m_refilled_at(now), m_admitted(limit.window)
    {
    }

    void set_limit(const quota_limit& limit);
    /// Updates the usage by peers and recomputes this process's share. `processes` is the number of all
    /// processes, including this one. `coverage` is the fraction of a window, 0 to 1, for which the usage is
    /// known: after all processes have restarted, the usage before the restart is unknown.
    void set_peer_usage(const quota_usage& use, std::size_t processes, double coverage, monotonic_time now);

    /// Counts `amount` and returns true, or returns false if the limit is reached.
    [[nodiscard]] bool try_acquire(double amount, monotonic_time now);
    /// Returns the amount that was taken for a request that did not run.
    void refund(double amount, monotonic_time now);

    [[nodiscard]] quota_usage use(monotonic_time now) const;
    [[nodiscard]] const quota_limit& limit() const { return m_limit; }

private:
    /// Whether `amount` can be admitted now.
    [[nodiscard]] bool has_capacity(double amount, monotonic_time now);
    /// Amount that all processes may admit in a window: the limit, reduced to the part of the window for
    /// which the usage is known, plus the part of the tolerance that is used.
    [[nodiscard]] double allowed_in_window() const;
    /// Adds to the amount that may be admitted, in proportion to the time since the last refill.
    void refill(monotonic_time now);

    quota_limit m_limit;
    std::size_t m_processes = 1;
    double m_peers_in_window = 0;
    double m_coverage = 0;
    double m_own_share = 0; ///< This process's share of the remaining limit.
    double m_available = 0; ///< Amount of the share that may be admitted now.
    monotonic_time m_refilled_at;
    sliding_sum m_admitted;
};

} // namespace siskinwharf::dispatch

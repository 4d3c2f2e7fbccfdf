#pragma once

#include <algorithm>
#include <cstddef>
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

/// Use of a quota by one process or by several.
struct quota_usage {
    double in_window = 0;        ///< Amount admitted in the last window.
    double per_second = 0;       ///< Current rate of admission.
    double asked_per_second = 0; ///< Current rate of requests, including what was refused.

    auto operator<=>(const quota_usage&) const = default;
};

/// Usage of a quota as last reported by a peer process, or as the sum over several.
struct peer_usage {
    quota_usage use;
    milliseconds age{0};         ///< Time since the report.
    bool has_ended = false;      ///< The peer has restarted since. Its usage before the restart still counts.
    std::uint32_t processes = 1; ///< Number of processes that the report covers.
};

/// Estimates the current usage of a quota by all other processes. The last report of each peer is
/// extrapolated at its reported rate. A peer whose reports are overdue may be partitioned from this process
/// while its traffic changes, so it counts with at least the average usage. This keeps the processes on both
/// sides of a network partition within the limit together.
[[nodiscard]] quota_usage estimate_peer_usage(const quota_usage& own, const std::vector<peer_usage>& peers,
                                              const quota_limit& limit);

/// What an admission is decided by.
struct quota_balance {
    double allowed = 0;   ///< Amount that all processes may admit in a window.
    double remaining = 0; ///< What is left of it after the known use; negative if it is exceeded.
    double expected = 0;  ///< Amount that all processes are asked for while they spend the remainder.
    milliseconds age{0};  ///< Time since the use by other processes was last computed.

    auto operator<=>(const quota_balance&) const = default;
};

/// Distributed rate limiter for one account. It admits requests so that all processes together stay within
/// the limit. What remains of the limit is not divided into shares: a share of one of several hundred
/// processes is smaller than one request, and requests do not arrive in equal parts. Instead, each process
/// admits the same fraction of what it is asked: the fraction at which all processes together spend the
/// remainder no faster than reports of usage reach each other. Load pattern: an account that jumps to many
/// times its usual rate at all processes at once. Until the others know of it, each admits no more than its
/// share of the remainder and one request.
class account_quota {
public:
    account_quota(const quota_limit& limit, monotonic_time now)
        : m_limit(limit), m_peers_at(now), m_admitted(limit.window), m_asked(limit.window)
    {
    }

    void set_limit(const quota_limit& limit);
    /// Updates the usage by all other processes. `coverage` is the fraction of a window, 0 to 1, for which
    /// the usage is known: after all processes have restarted, the usage before the restart is unknown.
    void set_peer_usage(const quota_usage& use, double coverage, monotonic_time now);

    /// Sets the number of processes that share the quota, this one included.
    void set_processes(std::size_t processes) { m_processes = std::max<std::size_t>(processes, 1); }

    /// Restricts this process to an equal share of what is reserved for processes that the others may not
    /// count any more. `processes` is the number of all; 0 ends the restriction.
    void set_isolated(std::size_t processes) { m_isolated_among = processes; }

    /// Counts `amount` and returns true, or returns false if the request is refused. `draw` is a number from
    /// 0 up to 1 that differs between requests, such as a hash of the request's id.
    [[nodiscard]] bool try_acquire(double amount, double draw, monotonic_time now);
    /// Returns the amount that was taken for a request that did not run.
    void refund(double amount, monotonic_time now);
    /// Time after which there is room for a refused request. `draw` spreads the callers that were refused
    /// together.
    [[nodiscard]] milliseconds retry_after(double amount, double draw, monotonic_time now) const;

    /// Whether the remainder could be used up before the next whole reports of use reach all processes.
    [[nodiscard]] bool is_near_limit(monotonic_time now) const;

    [[nodiscard]] quota_usage use(monotonic_time now) const;
    [[nodiscard]] quota_balance balance(monotonic_time now) const;
    [[nodiscard]] const quota_limit& limit() const { return m_limit; }

private:
    /// Amount that all processes may admit in a window: the limit, reduced to the part of the window for
    /// which the usage is known, plus the part of the tolerance that is used.
    [[nodiscard]] double allowed_in_window() const;
    /// What remains of the limit after the known usage of all processes.
    [[nodiscard]] double remaining(monotonic_time now) const;
    /// Amount that all processes are asked for in the time in which they spend the remainder.
    [[nodiscard]] double expected_demand(monotonic_time now) const;
    /// Remainder from which on every request of this size is admitted. Below it, a part of them is.
    [[nodiscard]] double needed_room(double amount, monotonic_time now) const;

    /// Whether what this process admitted in the time in which the others do not know it yet is within its
    /// share of the room. Bounds what all admit together before the rate of a jump is known.
    [[nodiscard]] bool is_within_share(double draw, monotonic_time now) const;

    quota_limit m_limit;
    quota_usage m_peers;
    bool m_has_peer_usage = false; ///< `m_peers` has been set since the start.
    monotonic_time m_peers_at;     ///< Time for which `m_peers` was estimated.
    double m_coverage = 0;
    std::size_t m_processes = 1;
    std::size_t m_isolated_among = 0; ///< Number of all processes while this one is isolated, otherwise 0.
    sliding_sum m_admitted;
    sliding_sum m_asked;
    double m_mean_amount = 0; ///< Moving average of the sizes of requests; 0 before the first one.
};

} // namespace siskinwharf::dispatch

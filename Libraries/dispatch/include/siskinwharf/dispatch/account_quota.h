#pragma once

#include <cstdint>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/dispatch/sliding_sum.h"

namespace siskinwharf::dispatch {

/// Limit of an account over all processes: `per_second` x `window` + `burst` in any window.
struct quota_limit {
    double per_second = 0; ///< 0: no limit.
    double burst = 0;
    milliseconds window{8'000};
    double tolerance_share = 0;  ///< Of the limit, by which all processes together may exceed it.
    double tolerance_amount = 0; ///< The same as an amount.

    auto operator<=>(const quota_limit&) const = default;
};

/// What one process has admitted for an account.
struct quota_usage {
    double in_window = 0;  ///< In the last window.
    double per_second = 0; ///< In the last second.

    auto operator<=>(const quota_usage&) const = default;
};

/// What a peer last said about its use of a quota.
struct peer_usage {
    quota_usage use;
    milliseconds age{0};    ///< Since the peer said so.
    bool has_ended = false; ///< The peer has started again since; what it used before stays used.
};

/// What the other processes use of a quota. A peer goes on as it said; one that has missed its messages may
/// be cut off while the traffic changes, and counts as an average one at least, so that the processes on both
/// sides of a partition together stay within the limit.
[[nodiscard]] quota_usage estimate_peer_usage(const quota_usage& own, const std::vector<peer_usage>& peers,
                                              const quota_limit& limit);

/// Admits requests of one account so that all processes together stay within the limit. What is left of the
/// limit, by this process's count and what the others say, is divided among the processes, and each spends
/// its part no faster than it hears what the others spend.
class account_quota {
public:
    account_quota(const quota_limit& limit, monotonic_time now)
        : m_limit(limit), m_refilled_at(now), m_admitted(limit.window)
    {
    }

    void set_limit(const quota_limit& limit);
    /// `processes` is the number of all processes, this one included. `coverage` is the part of a window, 0
    /// to 1, of which the processes know what they admitted: after a start of all, nobody knows what was used
    /// before.
    void set_peer_usage(const quota_usage& use, std::size_t processes, double coverage, monotonic_time now);

    /// Counts `amount` and returns true, or returns false if the limit is reached.
    [[nodiscard]] bool try_acquire(double amount, monotonic_time now);
    /// Gives back what a request that did not run has taken.
    void refund(double amount, monotonic_time now);

    [[nodiscard]] quota_usage use(monotonic_time now) const;
    [[nodiscard]] const quota_limit& limit() const { return m_limit; }

private:
    [[nodiscard]] bool has_capacity(double amount, monotonic_time now);
    /// The limit in the known part of a window and the used part of the tolerance.
    [[nodiscard]] double allowed_in_window() const;
    void refill(monotonic_time now);

    quota_limit m_limit;
    std::size_t m_processes = 1;
    double m_peers_in_window = 0;
    double m_coverage = 0;
    double m_own_share = 0; ///< This process's part of what is left of the limit.
    double m_available = 0; ///< Of that part, what may be taken now.
    monotonic_time m_refilled_at;
    sliding_sum m_admitted;
};

} // namespace siskinwharf::dispatch

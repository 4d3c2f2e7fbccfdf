#pragma once

#include <cstdint>
#include <vector>

#include "siskinwharf/base/time.h"

namespace siskinwharf::dispatch {

/// What a peer last said it was asked for by an account.
struct peer_demand {
    double per_second = 0;
    bool is_silent = false; ///< The peer has not been heard for a while; it may still serve.
};

/// This process's share of an account's quota, in proportion to what each process is asked for. A silent peer
/// keeps at least the share of an average one, so that the processes on both sides of a partition together stay
/// within the quota.
[[nodiscard]] double quota_share(double own_per_second, const std::vector<peer_demand>& peers);

/// Token bucket for this process's share of one account's quota, and a moving average of what it is asked for.
class account_quota {
public:
    /// `per_second` of 0 means no limit. Starts empty: a restarted process must not spend the burst again.
    account_quota(double per_second, double burst, monotonic_time now);

    void set_limit(double per_second, double burst);
    void set_share(double share, monotonic_time now);

    /// Takes `amount` and returns true, or returns false if the share is used up. A request larger than what is
    /// left is admitted and paid for by later ones.
    [[nodiscard]] bool try_take(double amount, monotonic_time now);
    /// Gives back what a request that did not run has taken.
    void give_back(double amount);

    /// Amount asked for in a second, admitted or not.
    [[nodiscard]] double demand(monotonic_time now) const;
    [[nodiscard]] double available() const { return m_level; }

private:
    void refill(monotonic_time now);

    double m_per_second;
    double m_burst;
    double m_share = 0;
    double m_level = 0;
    monotonic_time m_refilled_at;
    mutable double m_demand = 0;
    mutable monotonic_time m_demand_at;
};

} // namespace siskinwharf::dispatch

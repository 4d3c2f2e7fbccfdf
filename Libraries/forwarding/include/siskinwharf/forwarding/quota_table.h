#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "siskinwharf/deployment/snapshot.h"
#include "siskinwharf/dispatch/account_quota.h"
#include "siskinwharf/forwarding/peer_view.h"
#include "siskinwharf/forwarding/process_settings.h"

namespace siskinwharf::forwarding {

/// Which accounts a report on quotas names.
enum class account_selection {
    all,
    near_limit, ///< Those whose remainder could be used up before the next report on all.
};

/// Quotas of all client accounts at this process, and their use by all processes. Performs no I/O.
class quota_table {
public:
    quota_table(const service_bounds& bounds, monotonic_time started) : m_bounds(bounds), m_started(started)
    {
    }

    /// Adds, changes and removes quotas as a configuration says.
    void set_accounts(const std::vector<deployment::account>& accounts, monotonic_time now);
    /// Recomputes the use by all other processes.
    void set_peers(const deployment_view& view, monotonic_time now);

    /// Sets until when the store shows this process to others.
    void set_registered_until(monotonic_time time) { m_registered_until = time; }
    /// Whether other processes may have ceased to count this one: it could not renew its registration, and
    /// there are peers that it does not hear.
    [[nodiscard]] bool is_isolated(monotonic_time now) const;

    /// `draw` differs between requests; see `dispatch::account_quota::try_acquire`.
    [[nodiscard]] bool take(const account_id& account, double amount, double draw, monotonic_time now);
    void refund(const account_id& account, double amount, monotonic_time now);
    /// Time after which there is room for a request that was refused.
    [[nodiscard]] milliseconds retry_after(const account_id& account, double amount, double draw,
                                           monotonic_time now) const;

    [[nodiscard]] dispatch::quota_balance balance(const account_id& account, monotonic_time now) const;

    /// Use by this process alone.
    [[nodiscard]] std::vector<exchange::account_use> own_use(monotonic_time now) const;
    /// Use by this process and the peers that are not part of a summary, as of the last `set_peers`.
    [[nodiscard]] std::vector<exchange::account_use> domain_use(account_selection selection,
                                                                monotonic_time now) const;
    /// Use by all processes except `receiver`, as of the last `set_peers`.
    [[nodiscard]] std::vector<exchange::account_use>
    use_without(const peer_view& receiver, account_selection selection, monotonic_time now) const;
    /// Fraction of the quota window for which the use by the processes of `domain_use` is known.
    [[nodiscard]] double domain_coverage() const { return m_domain_coverage; }
    /// Fraction of the quota window for which the use by all processes is known.
    [[nodiscard]] double coverage() const { return m_coverage; }

private:
    /// Reports on one account, in the order of `deployment_view`.
    struct account_reports {
        std::vector<dispatch::peer_usage> peers;
        std::vector<dispatch::peer_usage> summaries;
    };
    struct account_sums {
        dispatch::quota_usage domain;
        dispatch::quota_usage all;
    };

    [[nodiscard]] std::map<account_id, account_reports> reports_of(const deployment_view& view) const;
    void set_coverage(const deployment_view& view, monotonic_time now);
    [[nodiscard]] bool is_selected(const account_id& account, account_selection selection,
                                   monotonic_time now) const;

    service_bounds m_bounds;
    monotonic_time m_started;
    std::map<account_id, dispatch::account_quota> m_quotas;
    std::map<account_id, account_sums> m_sums;
    std::optional<monotonic_time> m_registered_until;
    monotonic_time m_peers_at{};    ///< When `set_peers` ran last.
    bool m_has_silent_peer = false; ///< As of then.
    std::size_t m_processes = 1;    ///< As of then, silent ones included.
    double m_domain_coverage = 0;
    double m_coverage = 0;
};

} // namespace siskinwharf::forwarding

#pragma once

#include <map>
#include <memory>

#include "siskinwharf/admission/quarantine.h"
#include "siskinwharf/deployment/snapshot.h"
#include "siskinwharf/dispatch/account_quota.h"
#include "siskinwharf/dispatch/load_balancer.h"
#include "siskinwharf/dispatch/retry_limiter.h"
#include "siskinwharf/exchange/process_state.h"
#include "siskinwharf/forwarding/call.h"
#include "siskinwharf/forwarding/process_settings.h"
#include "siskinwharf/usage/synchronized_clock.h"
#include "siskinwharf/usage/usage_ledger.h"

namespace siskinwharf::forwarding {

/// The newest message of a peer, and its age.
struct peer_view {
    const exchange::process_state* state = nullptr; ///< Null for a peer that was never heard.
    milliseconds age{0};
    bool is_heard = false;  ///< Recently enough to be taken for working.
    bool has_ended = false; ///< The message of a former start of the peer.
};

/// What a forwarding process knows and has counted. Decides on quotas, placement and repeats; no I/O. Used
/// from one thread.
class traffic_state {
public:
    traffic_state(const process_settings& settings, std::uint64_t start, usage::wall_time wall,
                  monotonic_time now);

    /// Takes a configuration into force. Returns false if a newer one, or this one, is in force already.
    bool set_configuration(deployment::snapshot_content content, monotonic_time now);
    void set_endpoints(const std::vector<dispatch::endpoint_record>& endpoints);
    /// Takes over what the peers say: their requests, demand, counts and crashes.
    void merge_peer(const exchange::process_state& state, monotonic_time now);
    /// Recomputes what depends on all peers that may serve.
    void set_peers(const std::vector<peer_view>& peers, monotonic_time now);

    [[nodiscard]] const std::shared_ptr<const deployment::snapshot>& configuration() const
    {
        return m_snapshot;
    }
    [[nodiscard]] bool is_ready() const { return m_snapshot != nullptr && m_has_endpoints; }
    [[nodiscard]] dispatch::load_balancer& board() { return m_board; }
    [[nodiscard]] const dispatch::load_balancer& board() const { return m_board; }
    [[nodiscard]] admission::quarantine& quarantine() { return m_quarantine; }
    [[nodiscard]] usage::usage_ledger& ledger() { return m_ledger; }
    [[nodiscard]] const usage::synchronized_clock& clock() const { return m_clock; }
    [[nodiscard]] std::size_t processes() const { return m_processes; }

    /// What a request counts against the quota of its account.
    [[nodiscard]] static double quota_amount(const deployment::account& account, const call& request);
    [[nodiscard]] bool take_quota(const deployment::account& account, double amount, monotonic_time now);
    void give_back_quota(const deployment::account& account, double amount, monotonic_time now);

    /// Counts a caller's request to a service.
    void count_request(const service_id& service, monotonic_time now);
    /// Counts prompt tokens that endpoints of a service have to read, or would have to for a refused request.
    void count_work(const service_id& service, std::uint64_t tokens, monotonic_time now);
    [[nodiscard]] bool try_repeat(const service_id& service, monotonic_time now);
    /// Counts a request that an endpoint has begun to run.
    void count_run(const account_id& account, monotonic_time now);

    /// The part of this process's message that depends on its traffic.
    void describe(exchange::process_state& state, monotonic_time now) const;
    /// Own counts of usage that peers are to know.
    [[nodiscard]] std::vector<usage::usage_entry> told_usage(monotonic_time now) const;
    [[nodiscard]] usage::window_number current_window(monotonic_time now) const;
    /// Work that callers ask of a service at this process.
    [[nodiscard]] exchange::service_demand demand_of(const service_id& service, monotonic_time now) const;

private:
    struct service_traffic {
        dispatch::retry_limiter allowance;
        dispatch::sliding_sum tokens; ///< Of prompts that callers asked to read.
    };
    /// Part of a quota's window of which the processes that are heard know what they admitted.
    [[nodiscard]] double window_coverage(const std::vector<peer_view>& peers, monotonic_time now) const;
    service_traffic& traffic_of(const service_id& service);

    process_settings m_settings;
    monotonic_time m_started;
    std::shared_ptr<const deployment::snapshot> m_snapshot;
    dispatch::load_balancer m_board;
    bool m_has_endpoints = false;
    std::map<service_id, service_traffic> m_services;
    std::map<account_id, dispatch::account_quota> m_quotas;
    usage::usage_ledger m_ledger;
    usage::synchronized_clock m_clock;
    admission::quarantine m_quarantine{admission::quarantine_limits{}};
    std::size_t m_processes = 1;
};

} // namespace siskinwharf::forwarding

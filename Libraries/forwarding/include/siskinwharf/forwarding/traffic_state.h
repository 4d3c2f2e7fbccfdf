#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "siskinwharf/admission/part_quarantine.h"
#include "siskinwharf/admission/quarantine.h"
#include "siskinwharf/base/memory_budget.h"
#include "siskinwharf/deployment/snapshot.h"
#include "siskinwharf/dispatch/answer_pace.h"
#include "siskinwharf/dispatch/helper_choice.h"
#include "siskinwharf/dispatch/load_balancer.h"
#include "siskinwharf/dispatch/path_monitor.h"
#include "siskinwharf/dispatch/retry_limiter.h"
#include "siskinwharf/dispatch/software_history.h"
#include "siskinwharf/dispatch/stream_origins.h"
#include "siskinwharf/exchange/process_state.h"
#include "siskinwharf/forwarding/call.h"
#include "siskinwharf/forwarding/peer_view.h"
#include "siskinwharf/forwarding/process_settings.h"
#include "siskinwharf/forwarding/quota_table.h"
#include "siskinwharf/usage/synchronized_clock.h"
#include "siskinwharf/usage/usage_ledger.h"

namespace siskinwharf::forwarding {

/// Times of a planned stop.
struct stop_schedule {
    /// Until then the load balancer may still send new connections here.
    monotonic_time drained{};
    /// Requests that are still running then are ended.
    monotonic_time end{};
};

/// From whom a process has its configuration.
enum class configuration_source { store, peer };

[[nodiscard]] std::string_view to_string(configuration_source source);

/// How and when the configuration in force came into force at this process.
struct configuration_origin {
    configuration_source source = configuration_source::store;
    monotonic_time since{};

    auto operator<=>(const configuration_origin&) const = default;
};

/// State of a forwarding process: configuration, endpoints, quotas, retry budgets and usage counts. Performs
/// no I/O. Not thread-safe; used from one thread.
class traffic_state {
public:
    traffic_state(const process_settings& settings, std::uint64_t start, usage::wall_time wall,
                  monotonic_time now);

    /// Activates a configuration. Its position was compared with that of the active one by
    /// `deployment_watch`.
    void set_configuration(deployment::snapshot_content content, monotonic_time now,
                           configuration_source source = configuration_source::store);
    void set_endpoints(const std::vector<dispatch::endpoint_record>& endpoints, monotonic_time now);
    /// Merges the clock reading of a peer's message.
    void merge_peer_state(const exchange::process_state& state, monotonic_time now);
    /// Recomputes endpoint loads, quotas and the process count from the current peers, and expires old
    /// records.
    void set_peers(const deployment_view& view, monotonic_time now);

    /// Sets until when the store shows this process to others; see `quota_table`.
    void set_registered_until(monotonic_time time) { m_quotas.set_registered_until(time); }

    [[nodiscard]] const std::shared_ptr<const deployment::snapshot>& configuration() const
    {
        return m_snapshot;
    }
    /// Of the configuration in force; meaningless if there is none.
    [[nodiscard]] const configuration_origin& origin_of_configuration() const
    {
        return m_configuration_origin;
    }
    /// Time since the list of endpoints was last set.
    [[nodiscard]] milliseconds endpoints_age(monotonic_time now) const;
    [[nodiscard]] bool is_ready() const { return m_snapshot != nullptr && m_has_endpoints; }
    [[nodiscard]] dispatch::load_balancer& balancer() { return m_balancer; }
    [[nodiscard]] const dispatch::load_balancer& balancer() const { return m_balancer; }
    [[nodiscard]] admission::quarantine& quarantine() { return m_quarantine; }
    [[nodiscard]] const admission::part_quarantine& parts() const { return m_parts; }
    [[nodiscard]] usage::usage_ledger& ledger() { return m_ledger; }
    [[nodiscard]] const quota_table& quotas() const { return m_quotas; }
    /// Software versions that were in service lately, and which of them began which stream.
    [[nodiscard]] dispatch::software_history& software() { return m_software; }
    [[nodiscard]] const dispatch::software_history& software() const { return m_software; }
    [[nodiscard]] dispatch::stream_origins& streams() { return m_streams; }
    [[nodiscard]] const usage::synchronized_clock& clock() const { return m_clock; }
    [[nodiscard]] std::size_t processes() const { return m_processes; }
    /// Whether this process can reach endpoints, and through which peers it helps itself while it cannot.
    [[nodiscard]] dispatch::path_monitor& paths() { return m_paths; }
    [[nodiscard]] const dispatch::path_monitor& paths() const { return m_paths; }
    [[nodiscard]] dispatch::helper_choice& helpers() { return m_helpers; }
    /// Memory for what is read or held for callers and endpoints.
    [[nodiscard]] const std::shared_ptr<memory_budget>& memory() const { return m_memory; }

    /// Tells the state that this process has been told to stop.
    void begin_stop(const stop_schedule& stop) { m_stop = stop; }
    [[nodiscard]] const std::optional<stop_schedule>& stop() const { return m_stop; }
    /// How long the streams of a service take.
    [[nodiscard]] dispatch::answer_pace& pace(const service_id& service);

    /// Returns the quota cost of a request: 1, or its tokens if the client account is limited by tokens.
    [[nodiscard]] static double quota_amount(const deployment::account& account, const call& request);
    /// `draw` is a number from 0 up to 1 that differs between requests.
    [[nodiscard]] bool take_quota(const deployment::account& account, double amount, double draw,
                                  monotonic_time now);
    void refund_quota(const deployment::account& account, double amount, monotonic_time now);

    /// Counts a caller's request to a service towards its retry budget.
    void count_request(const service_id& service, monotonic_time now);
    /// Counts the prompt tokens that endpoints of a service process, or would process for a refused request.
    void count_prompt_tokens(const service_id& service, std::uint64_t tokens, monotonic_time now);
    /// Takes a retry from the retry budget of a service. Returns false if the budget is used up.
    [[nodiscard]] bool try_repeat(const service_id& service, monotonic_time now);
    /// Counts a request that an endpoint started to run towards the usage of the client account.
    void count_run(const account_id& account, monotonic_time now);

    /// Records that an endpoint crashed while it ran a request. Returns the status of the request.
    admission::content_status count_crash(const admission::content_key& content, admission::crash_id crash,
                                          monotonic_time now);
    /// Whether this process has learned something of crashes lately that its peers may not know.
    [[nodiscard]] bool has_crash_news(monotonic_time now) const;
    /// Records that an endpoint crashed before a request had an event, or that a request was answered in
    /// full. `shared` are the parts of its prompt that other requests may have too.
    void count_part_crash(const std::vector<admission::prompt_part_id>& shared, admission::crash_id crash,
                          monotonic_time now);
    void count_part_answer(const std::vector<admission::prompt_part_id>& shared, monotonic_time now);
    void merge_part_crashes(const std::vector<admission::part_crash_record>& records, monotonic_time now);

    /// Records what a response of the endpoint says of the requests that it takes.
    void observe_statement(const dispatch::endpoint_record& endpoint,
                           const dispatch::endpoint_statement& stated, monotonic_time now);
    void merge_endpoint_limits(const std::vector<dispatch::endpoint_limit>& limits, monotonic_time now);

    /// Fills in the fields of this process's state message that come from this object.
    void fill_message(exchange::process_state& state, monotonic_time now) const;
    /// Returns the records of crashing requests that are sent to peers.
    [[nodiscard]] std::vector<admission::quarantine_record> crashes_to_share(monotonic_time now) const;
    /// Returns the usage counts of this process that are sent to peers.
    [[nodiscard]] std::vector<usage::usage_entry> usage_to_share(monotonic_time now) const;
    /// Returns the sums of the usage counts of the processes of this failure domain, which a relay sends.
    [[nodiscard]] std::vector<usage::usage_entry> domain_usage_to_share(monotonic_time now) const;
    /// Returns the demand for all services at this process.
    [[nodiscard]] std::vector<exchange::service_demand> demands(monotonic_time now) const;
    [[nodiscard]] usage::window_number current_window(monotonic_time now) const;
    /// Returns the demand for a service at this process: prompt tokens per second and running requests.
    [[nodiscard]] exchange::service_demand demand_of(const service_id& service, monotonic_time now) const;

private:
    struct service_traffic {
        dispatch::retry_limiter allowance;
        dispatch::sliding_sum tokens; ///< Prompt tokens requested by callers.
        dispatch::answer_pace pace;
    };
    service_traffic& traffic_of(const service_id& service);
    void log_ended_constraints(monotonic_time now);
    void log_isolation(monotonic_time now);

    process_settings m_settings;
    monotonic_time m_started;
    std::shared_ptr<const deployment::snapshot> m_snapshot;
    dispatch::path_monitor m_paths;
    dispatch::helper_choice m_helpers;
    configuration_origin m_configuration_origin;
    dispatch::load_balancer m_balancer;
    bool m_has_endpoints = false;
    monotonic_time m_endpoints_set{};
    bool m_is_isolated = false; ///< As last written to the log.
    std::map<service_id, service_traffic> m_services;
    quota_table m_quotas;
    usage::usage_ledger m_ledger;
    usage::synchronized_clock m_clock;
    admission::quarantine m_quarantine{admission::quarantine_limits{}};
    admission::part_quarantine m_parts{admission::part_quarantine_limits{}};
    dispatch::software_history m_software;
    dispatch::stream_origins m_streams;
    std::optional<monotonic_time> m_crash_news; ///< When this process last learned something of crashes.
    std::size_t m_processes = 1;
    std::optional<stop_schedule> m_stop;
    std::shared_ptr<memory_budget> m_memory;
};

} // namespace siskinwharf::forwarding

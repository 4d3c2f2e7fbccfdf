#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/control/order_planner.h"

namespace siskinwharf::control {

struct rollout_settings {
    /// Share of the endpoints of a model in one failure domain that may be out of service for a change; at
    /// least one endpoint.
    std::uint32_t percent_at_once = 25;
    /// P5 gives the entry processes 2 s to stop sending new work; the count of streams lags by up to 1 s.
    nanoseconds shortest_drain = seconds(3);
    /// After this time the streams of a drained endpoint continue on another one of the same version.
    nanoseconds move_streams_after = seconds(20);
    /// The longest deadline of a request; no stream runs longer.
    nanoseconds longest_drain = seconds(600);
    nanoseconds longest_load = seconds(600);
    nanoseconds first_backoff = seconds(5); ///< After a failed change; doubles with each further one.
    nanoseconds longest_backoff = seconds(120);
    /// Failures of a version in a row, over all endpoints, after which it is not spread any further.
    std::uint32_t failures_until_stop = 3;
    /// A stopped version is tried again on one endpoint this often, since the fault may be the weight
    /// store's.
    nanoseconds retry_stopped_every = seconds(600);
    /// An endpoint that has been out of service for longer does not hold up the others.
    nanoseconds ignore_unavailable_after = seconds(300);
    /// Entry processes forget a drain that is not repeated, so a drain does not survive a gap between plans.
    nanoseconds longest_plan_gap = seconds(2);
    /// Loads that the weight store sustains, and how many may come at once.
    double loads_per_minute = 20;
    double burst_loads = 4;
};

/// One endpoint as a rollout sees it.
struct rollout_endpoint {
    endpoint_id endpoint;
    endpoint_configuration wanted;
    std::optional<endpoint_configuration> present; ///< As read back; nothing while it is not known.
    bool live = true;                              ///< Neither leaving nor dead.
    std::uint32_t streams = 0;                     ///< Running there for all entry processes together.
};

/// What is to be done with one endpoint.
struct rollout_decision {
    bool drained = false;    ///< It gets no new work.
    bool may_order = false;  ///< The wanted configuration may be ordered.
    monotonic_time empty_by; ///< Of a drained endpoint: streams that cannot end by then continue elsewhere.

    auto operator<=>(const rollout_decision&) const = default;
};

/// A version that failed to load too often and is not spread any further for now.
struct rollout_stop {
    model_id model;
    std::string version;
    std::uint32_t failures = 0;

    auto operator<=>(const rollout_stop&) const = default;
};

struct rollout_plan {
    std::map<endpoint_id, rollout_decision> endpoints;
    std::vector<rollout_stop> stopped; ///< Each stop is reported once.
};

/// Decides which endpoints of a failure domain change their model or version now. An endpoint is drained,
/// then ordered, then read back as loaded before the next one starts; the first one with a version goes
/// alone. Knows only what this holder of the lease has done, so it is made anew with each lease. Not
/// thread-safe.
class rollout_planner {
public:
    explicit rollout_planner(const rollout_settings& settings)
        : m_settings(settings), m_load_tokens(settings.burst_loads)
    {
    }

    /// Must be called at least every `longest_plan_gap`, otherwise drains start again.
    [[nodiscard]] rollout_plan plan(const std::vector<rollout_endpoint>& endpoints, monotonic_time now);

    /// The endpoint has refused the order.
    void order_refused(const endpoint_id& endpoint, monotonic_time now);

private:
    enum class phase { idle, draining, ordered };

    struct progress {
        endpoint_configuration wanted;
        phase current_phase = phase::idle;
        monotonic_time phase_since;
        std::uint32_t failures = 0;
        monotonic_time retry_at;
        bool was_in_force = false;
        bool serving = false;
        monotonic_time unavailable_since;
        /// Model and version that were last seen loaded.
        std::pair<model_id, std::string> loaded;
    };

    struct version_state {
        std::uint32_t failures = 0;
        bool stopped = false;
        monotonic_time retry_at;
    };

    using version_key = std::pair<model_id, std::string>;
    using endpoint_list = std::vector<rollout_endpoint>;

    void observe(const rollout_endpoint& endpoint, monotonic_time now);
    void advance(const rollout_endpoint& endpoint, monotonic_time now);
    void record_failure(progress& failed, monotonic_time now);
    void refill_load_tokens(monotonic_time now);
    [[nodiscard]] bool try_take_load();
    void start_changes(const endpoint_list& endpoints, const model_id& model, monotonic_time now);
    [[nodiscard]] std::size_t concurrency_limit(const endpoint_list& endpoints, const model_id& model,
                                                const version_key& version) const;
    [[nodiscard]] std::size_t count_unavailable(const endpoint_list& endpoints, const model_id& model,
                                                monotonic_time now) const;
    [[nodiscard]] std::vector<const rollout_endpoint*>
    candidates(const endpoint_list& endpoints, const model_id& model, monotonic_time now) const;
    /// Whether a change of this endpoint leaves its present model without an endpoint.
    [[nodiscard]] bool is_last_of_model(const endpoint_list& endpoints,
                                        const rollout_endpoint& endpoint) const;
    /// Whether another endpoint is to get the present model of this one and does not serve yet.
    [[nodiscard]] bool has_pending_replacement(const endpoint_list& endpoints,
                                               const rollout_endpoint& endpoint, monotonic_time now) const;
    [[nodiscard]] rollout_decision decide(const endpoint_list& endpoints,
                                          const rollout_endpoint& endpoint) const;
    [[nodiscard]] const progress& progress_of(const rollout_endpoint& endpoint) const
    {
        return m_progress.at(endpoint.endpoint);
    }

    rollout_settings m_settings;
    std::map<endpoint_id, progress> m_progress;
    std::map<version_key, version_state> m_versions;
    std::vector<rollout_stop> m_stopped;
    monotonic_time m_planned_at;
    double m_load_tokens;
};

} // namespace siskinwharf::control

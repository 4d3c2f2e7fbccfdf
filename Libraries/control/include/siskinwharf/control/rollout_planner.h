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

/// Settings of `rollout_planner`.
struct rollout_settings {
    /// Percentage of the endpoints of a model in one failure domain that may be out of service for a change
    /// at a time; at least one endpoint may.
    std::uint32_t percent_at_once = 25;
    /// Requirement P5 gives the entry processes 2 s to stop sending new work, and the count of streams lags
    /// by up to 1 s.
    nanoseconds shortest_drain = seconds(3);
    /// After this time, the streams of a draining endpoint are moved to another one of the same version.
    nanoseconds move_streams_after = seconds(20);
    /// The longest deadline of a request; no stream runs longer, so a drain ends by then.
    nanoseconds longest_drain = seconds(600);
    nanoseconds longest_load = seconds(600); ///< An ordered change that takes longer has failed.
    /// Wait before an endpoint is tried again after a failed change; doubles with each further failure.
    nanoseconds first_backoff = seconds(5);
    nanoseconds longest_backoff = seconds(120);
    /// Consecutive failures of a version, over all endpoints, after which its rollout is stopped.
    std::uint32_t failures_until_stop = 3;
    /// How often a stopped version is tried again on one endpoint, as the weight store may have caused the
    /// failures.
    nanoseconds retry_stopped_every = seconds(600);
    /// An endpoint that has been out of service for longer does not count against the others' limit.
    nanoseconds ignore_unavailable_after = seconds(300);
    /// Entry processes discard a drain that is not repeated, so drains restart after a longer gap between
    /// plans.
    nanoseconds longest_plan_gap = seconds(2);
    /// Token bucket for model loads: the rate and the burst that the weight store sustains.
    double loads_per_minute = 20;
    double burst_loads = 4;
};

/// State of one endpoint, as input of the plan.
struct rollout_endpoint {
    endpoint_id endpoint;
    endpoint_configuration wanted;
    std::optional<endpoint_configuration> present; ///< Configuration read back; nothing while it is unknown.
    bool live = true;                              ///< Neither leaving nor dead.
    std::uint32_t streams = 0;                     ///< Running streams of all entry processes together.
};

/// What the plan allows for one endpoint.
struct rollout_decision {
    bool drained = false;          ///< The endpoint gets no new work.
    bool may_order = false;        ///< The wanted configuration may be ordered.
    monotonic_time drain_deadline; ///< For a draining endpoint: streams that cannot end by then are moved.

    auto operator<=>(const rollout_decision&) const = default;
};

/// A version whose rollout is stopped because it has failed too often.
struct rollout_stop {
    model_id model;
    std::string version;
    std::uint32_t failures = 0;

    auto operator<=>(const rollout_stop&) const = default;
};

/// Decisions for all endpoints, and newly stopped versions.
struct rollout_plan {
    std::map<endpoint_id, rollout_decision> endpoints;
    std::vector<rollout_stop> stopped; ///< Each stop is reported once.
};

/// Decides which endpoints of a failure domain may change their model or version now. An endpoint is drained,
/// then ordered, and counts as changing until its new version has been read back as loaded; the number of
/// changing endpoints is limited. A version that no endpoint serves yet is tried on a single endpoint first.
/// The state covers only what this holder of the lease has done, so a new planner is needed for each lease.
/// Not thread-safe.
class rollout_planner {
public:
    explicit rollout_planner(const rollout_settings& settings)
        : m_settings(settings), m_load_tokens(settings.burst_loads)
    {
    }

    /// Returns the decisions for `endpoints`. Must be called at least every `longest_plan_gap`, or drains
    /// restart.
    [[nodiscard]] rollout_plan plan(const std::vector<rollout_endpoint>& endpoints, monotonic_time now);

    /// Reports that the endpoint has refused the order, which counts as a failure of the version.
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
    /// Whether no other endpoint serves the present model of this one.
    [[nodiscard]] bool is_last_of_model(const endpoint_list& endpoints,
                                        const rollout_endpoint& endpoint) const;
    /// Whether another endpoint that does not serve yet is to load the present model of this one.
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

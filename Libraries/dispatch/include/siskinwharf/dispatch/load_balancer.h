#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "siskinwharf/deployment/snapshot.h"
#include "siskinwharf/dispatch/endpoint_activity.h"
#include "siskinwharf/dispatch/endpoint_constraints.h"
#include "siskinwharf/dispatch/endpoint_state.h"

namespace siskinwharf::dispatch {

/// Settings of an `load_balancer`.
struct load_balancer_settings {
    instance_id process;                      ///< This process.
    failure_domain_id domain;                 ///< Failure domain of this process.
    region_id region;                         ///< Region of this process.
    milliseconds inter_region_round_trip{60}; ///< Added to the expected response time of other regions.
    /// Added to the expected response time of an endpoint of another region when endpoints are compared,
    /// because traffic between regions is billed by volume.
    milliseconds other_region_penalty{150};
    milliseconds other_domain_penalty{15}; ///< Added for another failure domain of the same region.
    milliseconds failure_penalty{1'500};   ///< Added at a failure rate of 1, in proportion below.
    milliseconds initial_backoff{500};     ///< Doubles with each further connection failure.
    milliseconds maximum_backoff{4'000};   ///< Upper bound of the backoff.
};

/// Reason why no endpoint was selected.
enum class refusal_reason {
    no_endpoint, ///< The service has no available endpoint.
    overloaded,  ///< The expected latency exceeds the latency target.
    limited,     ///< No available endpoint takes more requests now: all named a limit or a pause.
};

[[nodiscard]] std::string_view to_string(refusal_reason reason);

/// The endpoint selected for a request.
struct placement {
    endpoint_record endpoint;
    /// Expected time to the first event, or to the response at a service without engines.
    milliseconds expected{0};
    std::size_t candidates = 0; ///< Number of endpoints that were compared.
    double slowdown = 1;        ///< Factor of the endpoint's times against the usual speed of its service.
    /// Tokens of the shared prefix of which only an assumed share is expected to be cached; 0 if it is known.
    std::uint64_t uncertain_tokens = 0;
};

/// The request must not be sent.
struct placement_refusal {
    refusal_reason reason = refusal_reason::no_endpoint;
    milliseconds retry_after{0}; ///< Time after which the client should retry.
    milliseconds expected{0};    ///< Expected time at the best endpoint; 0 if there is none.
};

using placement_decision = std::variant<placement, placement_refusal>;

/// An attempt to run a request at an endpoint, from `load_balancer::start` until `load_balancer::finish`. It
/// records what the attempt added to the load of the endpoint.
struct attempt_ticket {
    endpoint_id endpoint;
    std::uint64_t started_ms = 0; ///< Start time of the endpoint's incarnation, in ms since the epoch.
    service_id service;
    std::uint64_t prefill_tokens = 0; ///< Prompt tokens expected to be computed before the first event.
    std::uint64_t tokens_ahead = 0;   ///< Tokens that were waiting at the endpoint when the request was sent.
    std::uint32_t running_before = 0; ///< Requests at the endpoint when this one was sent.
    std::uint64_t reserved_tokens = 0;  ///< Prompt tokens and maximum answer tokens of the request.
    std::uint64_t uncertain_tokens = 0; ///< From the placement.
    bool is_engine = false;             ///< The endpoint is a model engine.
    double queue_ms = 0;                ///< Expected wait for a slot and for memory, at the usual speed.
    double round_trip_ms = 0;           ///< Network part of the time to the first event.
    monotonic_time started{};
    std::optional<monotonic_time> first_event_at;
};

/// Selects the endpoint for each request, based on the list of endpoints, the requests that this process has
/// running, the loads that peer processes report and how fast each engine answered lately. It does no I/O and
/// reads no clock. Load pattern: engines of different speed, or that slow down before they are full.
class load_balancer {
public:
    explicit load_balancer(load_balancer_settings settings)
        : m_settings(std::move(settings)), m_constraints({m_settings.process, m_settings.domain})
    {
    }

    /// Replaces the list of endpoints. The state of an endpoint is kept unless the endpoint has restarted.
    void set_endpoints(const std::vector<endpoint_record>& endpoints);
    /// Replaces the loads of all peers.
    void set_peer_loads(const std::vector<endpoint_load>& loads);
    /// Replaces the loads of one peer: subtracts `before` and adds `after`.
    void change_peer_loads(const std::vector<endpoint_load>& before, const std::vector<endpoint_load>& after);
    /// Returns this process's loads at the endpoints whose waiting tokens changed since the last call.
    [[nodiscard]] std::vector<endpoint_load> take_changed_loads();
    /// Sets a listener that is called when the waiting tokens of an endpoint have changed so much since the
    /// last `take_changed_loads` that peers should know at once.
    void on_changed_load(std::function<void()> listener) { m_on_changed_load = std::move(listener); }

    /// Selects an endpoint. `budget` is the time in which the response must begin; 0: no limit. Endpoints in
    /// `tried` are excluded.
    [[nodiscard]] placement_decision place(const deployment::service& wanted, const workload& work,
                                           const std::vector<endpoint_id>& tried, milliseconds budget,
                                           monotonic_time now) const;

    /// Adds the request to the load of the endpoint.
    [[nodiscard]] attempt_ticket start(const deployment::service& wanted, const endpoint_id& endpoint,
                                       const workload& work, monotonic_time now);
    /// Records the first event of the response: the prompt has been computed. Later calls do nothing.
    void first_event(attempt_ticket& ticket, monotonic_time now);
    /// Removes the request from the load of the endpoint and updates the failure rate and the backoff.
    void finish(attempt_ticket& ticket, attempt_result result, monotonic_time now);

    [[nodiscard]] endpoint_activity& activity() { return m_activity; }
    [[nodiscard]] endpoint_constraints& constraints() { return m_constraints; }
    [[nodiscard]] const endpoint_constraints& constraints() const { return m_constraints; }
    /// Merges what a peer said of limits and of leaving endpoints. Returns what is news.
    std::vector<endpoint_limit> merge_limits(const std::vector<endpoint_limit>& limits, monotonic_time now);
    /// Prompt tokens per millisecond that an engine of this service computes when there is little contention.
    [[nodiscard]] double prefill_speed(const service_id& service) const
    {
        return averages_of(service).uncontended_tokens_per_ms;
    }
    /// Ages what was measured of endpoints and recomputes how much slower than usual each one is. Does
    /// nothing if it was called shortly before.
    void update_slowdowns(monotonic_time now);
    /// Loads of this process at all endpoints where it has running requests or lately measured times, sorted.
    [[nodiscard]] std::vector<endpoint_load> own_loads() const;
    /// State of this endpoint, or null if it is not in the list.
    [[nodiscard]] const endpoint_state* find(const endpoint_id& endpoint) const;
    /// Whether this endpoint is in the list and not leaving.
    [[nodiscard]] bool is_listed(const endpoint_id& endpoint) const;
    [[nodiscard]] const std::unordered_map<endpoint_id, endpoint_state>& endpoints() const
    {
        return m_endpoints;
    }

private:
    /// Moving averages over all endpoints of a service.
    struct latency_averages {
        double tokens_per_ms = 50; ///< Prompt tokens that an engine computes, including all delays.
        double uncontended_tokens_per_ms = 50; ///< Average that follows the faster attempts.
        double answer_ms = 40;                 ///< From the request to the end of the response.
        /// Share of the shared prompt prefix that was cached at the preferred endpoint if this process had
        /// sent nothing of it there. This process has no index of the prompts that its peers have sent there.
        double cached_share = 0.8;
    };

    /// Endpoints that can serve a request.
    struct candidate_set {
        std::vector<const endpoint_state*> endpoints;
        double lowest_failure_rate = 1; ///< Lowest failure rate among `endpoints`.
        /// Endpoint of this failure domain selected by a hash of the shared prompt prefix, or null.
        const endpoint_state* preferred = nullptr;
        /// Shortest wait for an endpoint that takes no request now; `never`: there is none.
        milliseconds constraint_wait = endpoint_constraints::never;
        bool has_tried = false; ///< An endpoint that takes requests was left out because it was tried.
    };
    /// Collects the endpoints of a service except those in `tried`. An endpoint in backoff is used only if
    /// there is no other.
    [[nodiscard]] candidate_set find_candidates(const service_id& service, const workload& work,
                                                const std::vector<endpoint_id>& tried,
                                                monotonic_time now) const;
    /// Expected time to the first event, or to the response at a service without engines.
    [[nodiscard]] double expected_ms(const endpoint_state& state, const deployment::service& wanted,
                                     const latency_averages& times, const workload& work,
                                     std::uint64_t prefill_tokens) const;
    /// Expected wait for a slot and for memory at the usual speed of the service.
    [[nodiscard]] double queue_ms(const endpoint_state& state, const deployment::service& wanted,
                                  const latency_averages& times, const workload& work) const;
    [[nodiscard]] double round_trip_ms(const endpoint_state& state) const;
    /// Time in which an engine of usual speed computes this many tokens and sends the first event.
    [[nodiscard]] static double prompt_ms(double tokens, const latency_averages& times);
    /// Adds the measured time to the first event to what is known of the endpoint's speed.
    void learn_speed(endpoint_state& state, const attempt_ticket& ticket, monotonic_time now);
    /// Penalty for an endpoint of another region or failure domain.
    [[nodiscard]] double locality_penalty_ms(const endpoint_state& state) const;
    /// Updates the share of an uncertain prefix that was cached, from the time in which it was computed.
    static void learn_cached_share(latency_averages& times, const attempt_ticket& ticket, double waited_ms);
    /// Prompt tokens that are probably not in the engine's cache.
    [[nodiscard]] std::uint64_t prefill_tokens(const endpoint_state& state, const workload& work) const;
    [[nodiscard]] const latency_averages& averages_of(const service_id& service) const;
    /// Calls the listener if the waiting tokens differ enough from those that were last published.
    void notify_load_change(const endpoint_state& state);
    void add_peer_loads(const std::vector<endpoint_load>& loads);

    load_balancer_settings m_settings;
    std::unordered_map<endpoint_id, endpoint_state> m_endpoints;
    std::map<service_id, std::vector<endpoint_state*>> m_by_service; ///< Elements of `m_endpoints`.
    std::map<service_id, latency_averages> m_averages;
    /// Waiting tokens that were last published to peers; 0 if absent.
    std::map<endpoint_id, std::uint64_t> m_published_tokens;
    monotonic_time m_slowdowns_at{}; ///< When the slowdowns were last updated.
    std::function<void()> m_on_changed_load;
    endpoint_constraints m_constraints;
    endpoint_activity m_activity;
};

} // namespace siskinwharf::dispatch

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "siskinwharf/deployment/snapshot.h"
#include "siskinwharf/dispatch/endpoint_state.h"

namespace siskinwharf::dispatch {

/// Settings of an `load_balancer`.
struct load_balancer_settings {
    failure_domain_id domain; ///< Of this process.
    region_id region;
    milliseconds inter_region_round_trip{60}; ///< Round trip; adds to the expected answer time.
    /// Added to the expected answer time of an endpoint of another region when endpoints are compared,
    /// because traffic between regions is billed by volume.
    milliseconds other_region_penalty{150};
    milliseconds other_domain_penalty{15}; ///< The same for another failure domain of the region.
    milliseconds failure_penalty{1'500};   ///< For an endpoint whose attempts all fail.
    milliseconds initial_backoff{500};     ///< After a broken connection; doubles with each further one.
    milliseconds maximum_backoff{4'000};
};

/// Why no endpoint is chosen.
enum class refusal_reason {
    no_endpoint, ///< The service has no usable endpoint.
    overloaded,  ///< The answer would begin after the latency target.
};

[[nodiscard]] std::string_view to_string(refusal_reason reason);

/// Send the request to this endpoint.
struct placement {
    endpoint_record endpoint;
    milliseconds expected{0}; ///< Until the first event or the answer.
    std::size_t candidates = 0;
};

/// Do not send the request.
struct placement_refusal {
    refusal_reason reason = refusal_reason::no_endpoint;
    milliseconds retry_after{0};
    milliseconds expected{0}; ///< At the best endpoint; 0 if there is none.
};

using placement_decision = std::variant<placement, placement_refusal>;

/// A request at an endpoint, from `start` until `finish`.
struct attempt_ticket {
    endpoint_id endpoint;
    std::uint64_t started_ms = 0; ///< Incarnation of the endpoint.
    service_id service;
    std::uint64_t prefill_tokens = 0; ///< Expected to be read before the first event.
    std::uint64_t tokens_ahead = 0;   ///< That were waiting at the endpoint when the request was sent.
    std::uint32_t running_before = 0; ///< Requests at the endpoint when this one was sent.
    std::uint64_t reserved_tokens = 0;
    monotonic_time started{};
    std::optional<monotonic_time> first_event_at;
};

/// Decides which endpoint serves a request, from the list of endpoints, this process's own requests and what
/// peers say about theirs. No I/O and no clock.
class load_balancer {
public:
    explicit load_balancer(load_balancer_settings settings) : m_settings(std::move(settings)) {}

    /// Replaces the list of endpoints. What is known of those that stay is kept.
    void set_endpoints(const std::vector<endpoint_record>& endpoints);
    void set_peer_loads(const std::vector<endpoint_load>& loads);
    /// Replaces what one peer said.
    void change_peer_loads(const std::vector<endpoint_load>& before, const std::vector<endpoint_load>& after);
    /// Own loads that peers should know at once: their waiting tokens changed much since the last call.
    [[nodiscard]] std::vector<endpoint_load> take_changed_loads();
    /// Is called when `take_changed_loads` has something new.
    void on_changed_load(std::function<void()> listener) { m_on_changed_load = std::move(listener); }

    /// `budget` is the time in which the answer must begin. Endpoints of `tried` are passed over.
    [[nodiscard]] placement_decision place(const deployment::service& wanted, const workload& work,
                                           const std::vector<endpoint_id>& tried, milliseconds budget,
                                           monotonic_time now) const;

    [[nodiscard]] attempt_ticket start(const deployment::service& wanted, const endpoint_id& endpoint,
                                       const workload& work, monotonic_time now);
    void first_event(attempt_ticket& ticket, monotonic_time now);
    void finish(attempt_ticket& ticket, attempt_result result, monotonic_time now);

    /// Prompt tokens that an engine of this service reads in a millisecond when little delays it.
    [[nodiscard]] double prefill_speed(const service_id& service) const
    {
        return times_of(service).uncontended_tokens_per_ms;
    }
    [[nodiscard]] std::vector<endpoint_load> own_loads() const;
    [[nodiscard]] const endpoint_state* find(const endpoint_id& endpoint) const;
    /// Whether requests may be sent to this endpoint, so far as the list says.
    [[nodiscard]] bool is_listed(const endpoint_id& endpoint) const;
    [[nodiscard]] const std::unordered_map<endpoint_id, endpoint_state>& endpoints() const
    {
        return m_endpoints;
    }

private:
    /// Moving averages of one service's endpoints.
    struct service_times {
        double tokens_per_ms = 50; ///< Prompt tokens that an engine reads, with everything that delays it.
        double uncontended_tokens_per_ms = 50; ///< The same of the faster attempts.
        double answer_ms = 40;                 ///< From the request to the whole answer.
    };

    /// Endpoints that may serve a request.
    struct candidate_set {
        std::vector<const endpoint_state*> endpoints;
        double lowest_failure = 1;
        const endpoint_state* preferred =
            nullptr; ///< Of this failure domain, by the shared parts of the prompt.
    };
    /// Without those of `tried`. One that is avoided is taken if there is no other.
    [[nodiscard]] candidate_set find_candidates(const service_id& service, const workload& work,
                                                const std::vector<endpoint_id>& tried,
                                                monotonic_time now) const;
    [[nodiscard]] double expected_ms(const endpoint_state& state, const deployment::service& wanted,
                                     const workload& work, std::uint64_t prefill_tokens) const;
    [[nodiscard]] double preference_ms(const endpoint_state& state) const;
    [[nodiscard]] std::uint64_t prefill_tokens(const endpoint_state& state, const workload& work) const;
    [[nodiscard]] const service_times& times_of(const service_id& service) const;
    void notify_load_change(const endpoint_state& state);
    void add_peer_loads(const std::vector<endpoint_load>& loads);

    load_balancer_settings m_settings;
    std::unordered_map<endpoint_id, endpoint_state> m_endpoints;
    std::map<service_id, std::vector<endpoint_id>> m_by_service;
    std::map<service_id, service_times> m_times;
    std::map<endpoint_id, std::uint64_t>
        m_published_tokens; ///< Waiting tokens as peers know them; 0 if absent.
    std::function<void()> m_on_changed_load;
};

} // namespace siskinwharf::dispatch

#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::control {

/// Whether the cloud may reclaim an instance at any time.
enum class instance_kind { reclaimable, on_demand };

/// Identifies an offer: instances are bought by failure domain, machine class and kind.
struct offer_key {
    failure_domain_id domain;
    std::string machine_class;
    instance_kind kind = instance_kind::reclaimable;

    bool operator==(const offer_key&) const = default;
};

/// An offer of the cloud, with its price and the instances of it that already run or start.
struct capacity_offer {
    offer_key key;
    std::uint64_t microcents_per_hour = 0; ///< Price of one instance.
    std::uint32_t streams = 0;  ///< Concurrent streams that one instance serves at the latency target.
    std::uint32_t running = 0;  ///< Instances that serve now.
    std::uint32_t starting = 0; ///< Instances that were ordered and not refused, but do not serve yet.

    bool operator==(const capacity_offer&) const = default;
};

/// Upper bound on the spend of a failure domain.
struct domain_budget {
    failure_domain_id domain;
    std::uint64_t microcents_per_hour = 0;

    bool operator==(const domain_budget&) const = default;
};

/// Demand, offers and budgets of a region, or of all regions that serve the same demand, at one time.
struct capacity_snapshot {
    std::uint32_t demand_streams = 0; ///< Concurrent streams expected until new instances serve.
    std::vector<capacity_offer> offers;
    std::vector<domain_budget> budgets; ///< A failure domain without a budget buys nothing.

    bool operator==(const capacity_snapshot&) const = default;
};

/// Target number of instances of one offer, including those that are starting.
struct capacity_order {
    offer_key key;
    std::uint32_t count = 0;

    bool operator==(const capacity_order&) const = default;
};

/// Orders for the offers whose count changes, and what the capacity costs and survives after them.
struct capacity_plan {
    std::vector<capacity_order> orders;
    std::uint64_t microcents_per_hour = 0; ///< Cost of all instances after the orders.
    /// Streams that are still served when the failure domain with the most reclaimable capacity loses all of
    /// its reclaimable instances.
    std::uint64_t surviving_streams = 0;
    /// Reclaimable instances alone cannot serve the demand after one failure domain has lost all of its own.
    bool at_risk = false;

    bool operator==(const capacity_plan&) const = default;
};

/// Settings of `capacity_planner`.
struct capacity_settings {
    /// Share of the demand that is added to it, for its changes between two plans.
    double demand_margin = 0.05;
    /// Wait before an offer is tried again after a refused start; doubles with each further refusal.
    nanoseconds first_backoff = seconds(60);
    nanoseconds longest_backoff = seconds(1920);
    /// How long surplus capacity is kept: a new start takes minutes and loads the model weights again.
    nanoseconds surplus_retention = seconds(900);
    /// Token bucket for instance starts: the rate and the burst that the weight store sustains.
    double starts_per_minute = 20;
    double burst_starts = 40;
};

/// Decides how many instances of which kind to run. Every entry process that holds the lease of a failure
/// domain plans for all failure domains from the same summaries, but executes only the orders of its own
/// domain. Each failure domain has its own budget, so its spend stays bounded during a network partition as
/// well. Not thread-safe.
class capacity_planner {
public:
    explicit capacity_planner(const capacity_settings& settings);

    /// Reports that the cloud API has refused to start an instance of this offer. The offer is backed off.
    void start_refused(const offer_key& key, monotonic_time now);
    /// Reports that the cloud API has started an instance of this offer. Ends its back-off.
    void start_accepted(const offer_key& key);

    /// Returns the changes towards the cheapest capacity that serves the demand within the budgets.
    [[nodiscard]] capacity_plan plan(const capacity_snapshot& snapshot, monotonic_time now);

private:
    using key_tuple = std::tuple<std::string, std::string, instance_kind>;

    struct refusal {
        nanoseconds backoff{0};
        monotonic_time retry_at;
    };

    [[nodiscard]] bool refused(const offer_key& key, monotonic_time now) const;
    /// Retains a recent surplus and limits starts to the budgets and the start rate. Returns the final
    /// counts.
    [[nodiscard]] std::vector<std::uint32_t>
    limit_changes(const capacity_snapshot& snapshot, std::vector<std::uint32_t> counts, monotonic_time now);
    [[nodiscard]] static key_tuple tuple_of(const offer_key& key);

    const capacity_settings m_settings;
    std::map<key_tuple, refusal> m_refusals;
    std::map<key_tuple, monotonic_time> m_surplus_since;
    double m_start_tokens;
    monotonic_time m_start_tokens_updated_at;
};

} // namespace siskinwharf::control

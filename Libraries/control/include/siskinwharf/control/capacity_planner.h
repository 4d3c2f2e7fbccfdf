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

/// What instances are bought by: machine class, failure domain and kind.
struct offer_key {
    failure_domain_id domain;
    std::string machine_class;
    instance_kind kind = instance_kind::reclaimable;

    bool operator==(const offer_key&) const = default;
};

/// Instances that can be bought, and those that are there.
struct capacity_offer {
    offer_key key;
    std::uint64_t microcents_per_hour = 0; ///< Of one instance.
    std::uint32_t streams = 0;             ///< That one instance serves at the latency target.
    std::uint32_t running = 0;
    std::uint32_t starting = 0; ///< Ordered and not refused, but not serving yet.

    bool operator==(const capacity_offer&) const = default;
};

/// What a failure domain may spend.
struct domain_budget {
    failure_domain_id domain;
    std::uint64_t microcents_per_hour = 0;

    bool operator==(const domain_budget&) const = default;
};

/// One look at the capacity of a region, or of all regions that serve the same demand.
struct capacity_snapshot {
    std::uint32_t demand_streams = 0; ///< Concurrent streams expected until new instances serve.
    std::vector<capacity_offer> offers;
    std::vector<domain_budget> budgets; ///< A failure domain without a budget buys nothing.

    bool operator==(const capacity_snapshot&) const = default;
};

/// How many instances of one offer there are to be, those that are starting included.
struct capacity_order {
    offer_key key;
    std::uint32_t count = 0;

    bool operator==(const capacity_order&) const = default;
};

/// Orders for the offers whose count changes.
struct capacity_plan {
    std::vector<capacity_order> orders;
    std::uint64_t microcents_per_hour = 0; ///< Of everything after the orders.
    /// Streams left after the worst loss of all reclaimable instances of one failure domain.
    std::uint64_t surviving_streams = 0;
    bool at_risk = false; ///< Reclaimable instances cannot carry the demand through the loss of a domain's.

    bool operator==(const capacity_plan&) const = default;
};

struct capacity_settings {
    double demand_margin = 0.05;             ///< Added to the demand, for its changes between two plans.
    nanoseconds first_backoff = seconds(60); ///< After a refused start; doubles with each further one.
    nanoseconds longest_backoff = seconds(1920);
    /// Capacity above the need is kept for this long, because a start takes minutes and loads weights.
    nanoseconds surplus_retention = seconds(900);
    /// Starts that the weight store sustains, and how many may come at once.
    double starts_per_minute = 20;
    double burst_starts = 40;
};

/// Decides how many instances of which kind to run. Every entry process that holds a failure domain's lease
/// plans for all failure domains from the same summaries and executes the orders of its own; the spend of
/// each failure domain is bounded by its own budget, also while it is partitioned from the others. Not
/// thread-safe.
class capacity_planner {
public:
    explicit capacity_planner(const capacity_settings& settings);

    /// The cloud API has refused to start an instance of this offer.
    void start_refused(const offer_key& key, monotonic_time now);
    /// The cloud API has started an instance of this offer.
    void start_accepted(const offer_key& key);

    [[nodiscard]] capacity_plan plan(const capacity_snapshot& snapshot, monotonic_time now);

private:
    using key_tuple = std::tuple<std::string, std::string, instance_kind>;

    struct refusal {
        nanoseconds backoff{0};
        monotonic_time retry_at;
    };

    [[nodiscard]] bool refused(const offer_key& key, monotonic_time now) const;
    /// Keeps a surplus for a while and limits the starts. Returns the final counts.
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

#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/control/capacity_planner.h"

namespace siskinwharf::control {

/// Load and serving endpoints of a service in one failure domain.
struct domain_endpoints {
    failure_domain_id domain;
    double price = 1; ///< Price of one on-demand endpoint, in any unit.
    double busy = 0;  ///< Load of the callers in this domain, as the number of fully utilized endpoints.
    std::uint32_t on_demand = 0;   ///< On-demand endpoints that serve now.
    std::uint32_t reclaimable = 0; ///< Reclaimable endpoints that serve now.

    auto operator<=>(const domain_endpoints&) const = default;
};

/// Bounds, prices and load of a service at one time: the input of `endpoint_planner`.
struct service_snapshot {
    std::uint32_t minimum =
        0; ///< Lower bound on the endpoints of both kinds together in each failure domain.
    std::uint32_t maximum =
        0; ///< Upper bound on the endpoints of both kinds together in each failure domain.
    milliseconds start_time{0}; ///< Time from an order until its endpoints start to serve.
    /// Price of a reclaimable endpoint as a share of the on-demand price; 0 if the platform offers none.
    double reclaimable_price = 1;
    std::vector<domain_endpoints> domains;

    bool operator==(const service_snapshot&) const = default;
};

/// Target number of endpoints of one kind in a failure domain.
struct endpoint_count {
    failure_domain_id domain;
    instance_kind kind = instance_kind::on_demand;
    std::uint32_t count = 0;

    bool operator==(const endpoint_count&) const = default;
};

/// Decides how many endpoints of a service to run, where and of which kind. `capacity_planner` finds the
/// cheapest mix that survives the loss of all reclaimable endpoints of a failure domain. This class tracks
/// the demand, applies the bounds of the platform, and removes no endpoint before its replacement serves. Not
/// thread-safe.
class endpoint_planner {
public:
    endpoint_planner();

    /// Returns the target counts that differ from the last accepted orders.
    [[nodiscard]] std::vector<endpoint_count> plan(const service_snapshot& snapshot, monotonic_time now);
    /// Reports that the platform has accepted an order. New endpoints take `start_time` to start.
    void accepted(const endpoint_count& order, milliseconds start_time, monotonic_time now);
    /// Reports that the platform has refused an order.
    void refused(const endpoint_count& order, monotonic_time now);

private:
    struct accepted_order {
        std::uint32_t count = 0;
        monotonic_time start_deadline; ///< Until then, missing endpoints count as starting.
    };
    using offer = std::pair<failure_domain_id, instance_kind>;

    /// Peak load of each failure domain within the last seconds.
    [[nodiscard]] std::vector<double> highest_demands(const service_snapshot& snapshot, monotonic_time now);
    void apply_on_demand_floor(const service_snapshot& snapshot, const std::vector<double>& demands,
                               std::vector<endpoint_count>& wanted) const;
    /// Raises the counts of reclaimable endpoints until the utilization of all endpoints is within its
    /// target.
    void add_reclaimable(const service_snapshot& snapshot, double demand, std::vector<endpoint_count>& wanted,
                         monotonic_time now) const;
    [[nodiscard]] bool reclaimable_available(const service_snapshot& snapshot,
                                             const failure_domain_id& domain, monotonic_time now) const;
    [[nodiscard]] std::uint32_t starting(const offer& key, std::uint32_t serving, monotonic_time now) const;
    [[nodiscard]] capacity_snapshot capacity_snapshot_of(const service_snapshot& snapshot, double demand,
                                                         monotonic_time now) const;
    /// Orders while there has been no load within the last seconds: replaces on-demand endpoints by
    /// reclaimable ones.
    [[nodiscard]] std::vector<endpoint_count> initial_orders(const service_snapshot& snapshot,
                                                             monotonic_time now);
    [[nodiscard]] std::vector<endpoint_count> apply_bounds(const service_snapshot& snapshot, double demand,
                                                           std::vector<endpoint_count> wanted,
                                                           monotonic_time now) const;
    [[nodiscard]] std::vector<endpoint_count> changed_counts(const service_snapshot& snapshot,
                                                             const std::vector<endpoint_count>& wanted,
                                                             monotonic_time now) const;

    capacity_planner m_planner;
    std::map<offer, accepted_order> m_orders;
    std::map<failure_domain_id, monotonic_time> m_refusals; ///< Last one of reclaimable endpoints.
    std::deque<std::pair<monotonic_time, std::vector<double>>> m_demands; ///< Load by failure domain.
    std::map<failure_domain_id, std::uint32_t> m_initial_on_demand;       ///< Highest count without load.
    monotonic_time m_first_demand_at{};
};

} // namespace siskinwharf::control

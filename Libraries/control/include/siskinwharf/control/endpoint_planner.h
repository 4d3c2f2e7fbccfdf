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

/// Endpoints of a service in one failure domain that serve now.
struct domain_endpoints {
    failure_domain_id domain;
    double price = 1; ///< Of an on-demand endpoint, in any unit.
    double busy = 0;  ///< Work of the callers there, in endpoints that would be busy all the time.
    std::uint32_t on_demand = 0;
    std::uint32_t reclaimable = 0;

    auto operator<=>(const domain_endpoints&) const = default;
};

/// What is known of a service when its endpoints are planned.
struct service_snapshot {
    std::uint32_t minimum = 0; ///< In each failure domain, of both kinds together.
    std::uint32_t maximum = 0;
    milliseconds start_time{0};
    double reclaimable_price = 1; ///< Share of the on-demand price.
    std::vector<domain_endpoints> domains;

    bool operator==(const service_snapshot&) const = default;
};

/// How many endpoints of one kind there are to be in a failure domain.
struct endpoint_count {
    failure_domain_id domain;
    instance_kind kind = instance_kind::on_demand;
    std::uint32_t count = 0;

    bool operator==(const endpoint_count&) const = default;
};

/// Decides how many endpoints of a service to run, where and of which kind. `capacity_planner` finds the
/// cheapest mix that survives the loss of all reclaimable endpoints of a failure domain; this class measures
/// the demand, keeps the platform's bounds, and gives nothing back before its replacement serves. Not
/// thread-safe.
class endpoint_planner {
public:
    endpoint_planner();

    /// Orders for the kinds whose count changes.
    [[nodiscard]] std::vector<endpoint_count> plan(const service_snapshot& snapshot, monotonic_time now);
    /// The outcome of an order.
    void accepted(const endpoint_count& order, milliseconds start_time, monotonic_time now);
    void refused(const endpoint_count& order, monotonic_time now);

private:
    struct accepted_order {
        std::uint32_t count = 0;
        monotonic_time start_deadline; ///< Endpoints that are missing until then are starting.
    };
    using offer = std::pair<failure_domain_id, instance_kind>;

    /// Highest work of each failure domain in the last seconds.
    [[nodiscard]] std::vector<double> highest_demands(const service_snapshot& snapshot, monotonic_time now);
    void apply_on_demand_floor(const service_snapshot& snapshot, const std::vector<double>& demands,
                               std::vector<endpoint_count>& wanted) const;
    /// Raises the numbers of reclaimable endpoints until all together carry the demand with ease.
    void add_reclaimable(const service_snapshot& snapshot, double demand, std::vector<endpoint_count>& wanted,
                         monotonic_time now) const;
    [[nodiscard]] bool reclaimable_available(const service_snapshot& snapshot,
                                             const failure_domain_id& domain, monotonic_time now) const;
    [[nodiscard]] std::uint32_t starting(const offer& key, std::uint32_t serving, monotonic_time now) const;
    [[nodiscard]] capacity_snapshot capacity_snapshot_of(const service_snapshot& snapshot, double demand,
                                                         monotonic_time now) const;
    /// Endpoints that are ordered ahead of the first requests.
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
    std::map<failure_domain_id, monotonic_time> m_refusals;               ///< Of reclaimable endpoints.
    std::deque<std::pair<monotonic_time, std::vector<double>>> m_demands; ///< In the order of the domains.
    std::map<failure_domain_id, std::uint32_t> m_initial_on_demand; ///< That stood there before any load.
    monotonic_time m_first_demand_at{};
};

} // namespace siskinwharf::control

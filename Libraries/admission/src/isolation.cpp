#include "siskinwharf/admission/isolation.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace siskinwharf::admission {

namespace {

std::size_t reservable(std::size_t endpoints, const isolation_limits& limits)
{
    // At least one, since a suspect could never run otherwise. A single endpoint is used in turn.
    return std::max<std::size_t>(endpoints * limits.maximum_percent / 100, 1);
}

} // namespace

isolation_plan plan_isolation(const std::vector<content_key>& waiting,
                              const std::vector<isolation_endpoint>& endpoints,
                              const isolation_limits& limits)
{
    isolation_plan plan;
    std::set<content_key> running;
    std::vector<const isolation_endpoint*> candidates;
    for (const auto& endpoint : endpoints) {
        if (endpoint.suspect) {
            running.insert(*endpoint.suspect);
            plan.reserved.push_back(endpoint.endpoint);
        } else {
            candidates.push_back(&endpoint);
        }
    }
    // Endpoints that already drain come first among equals, so that plans do not reserve ever new ones.
    std::sort(candidates.begin(), candidates.end(), [](const auto* left, const auto* right) {
        return std::tuple(left->in_flight != 0, !left->reserved, left->in_flight, left->endpoint) <
               std::tuple(right->in_flight != 0, !right->reserved, right->in_flight, right->endpoint);
    });
    const std::size_t maximum = reservable(endpoints.size(), limits);
    auto next = candidates.begin();
    for (const content_key& suspect : waiting) {
        if (next == candidates.end() || plan.reserved.size() >= maximum)
            break;
        if (!running.insert(suspect).second)
            continue;
        const isolation_endpoint& endpoint = **next++;
        plan.reserved.push_back(endpoint.endpoint);
        if (endpoint.in_flight == 0)
            plan.runs.push_back({suspect, endpoint.endpoint});
    }
    std::sort(plan.reserved.begin(), plan.reserved.end());
    return plan;
}

} // namespace siskinwharf::admission

#include "siskinwharf/admission/isolation.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace siskinwharf::admission {

namespace {

std::size_t maximum_reserved(std::size_t endpoints, const isolation_limits& limits)
{
    // With a limit of zero, suspects could never run. A single endpoint alternates between suspects and
    // healthy requests.
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
    // Idle endpoints come first, then those that already drain, so that successive plans do not reserve
    // different endpoints.
    std::sort(candidates.begin(), candidates.end(), [](const auto* left, const auto* right) {
        return std::tuple(left->in_flight != 0, !left->reserved, left->in_flight, left->endpoint) <
               std::tuple(right->in_flight != 0, !right->reserved, right->in_flight, right->endpoint);
    });
    const std::size_t maximum = maximum_reserved(endpoints.size(), limits);
    auto next_candidate = candidates.begin();
    for (const content_key& suspect : waiting) {
        if (next_candidate == candidates.end() || plan.reserved.size() >= maximum)
            break;
        if (!running.insert(suspect).second)
            continue;
        const isolation_endpoint& endpoint = **next_candidate++;
        plan.reserved.push_back(endpoint.endpoint);
        if (endpoint.in_flight == 0)
            plan.runs.push_back({suspect, endpoint.endpoint});
    }
    std::sort(plan.reserved.begin(), plan.reserved.end());
    return plan;
}

} // namespace siskinwharf::admission

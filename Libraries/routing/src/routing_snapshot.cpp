#include "siskinwharf/routing/routing_snapshot.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::routing {

namespace {

// With 32 points per endpoint the largest share of the ring is about 1.5 times the mean; the load bound of
// `prefix_affinity` limits the remaining imbalance.
constexpr std::uint32_t points_per_endpoint = 32;

using entries_by_domain = std::map<std::string, std::vector<endpoint_entry>>;

bool same_entries(const endpoint_group& group, const std::vector<endpoint_entry>& entries)
{
    return std::equal(group.endpoints.begin(), group.endpoints.end(), entries.begin(), entries.end(),
                      [](const endpoint_entry& left, const endpoint_entry& right) {
                          return left.info == right.info && left.load == right.load;
                      });
}

/// The group of the previous snapshot if it has exactly these entries, or null.
std::shared_ptr<const endpoint_group> reuse_group(const target_endpoints* previous, const std::string& domain,
                                                  const std::vector<endpoint_entry>& sorted)
{
    if (previous == nullptr)
        return nullptr;
    for (const auto& group : previous->groups) {
        if (group->domain.value() == domain && same_entries(*group, sorted))
            return group;
    }
    return nullptr;
}

bool less_by_key(const endpoint_entry& left, const endpoint_entry& right)
{
    return std::tie(left.key, left.info->id.value()) < std::tie(right.key, right.info->id.value());
}

} // namespace

const endpoint_entry* endpoint_group::find(std::uint64_t key) const
{
    const auto found =
        std::lower_bound(endpoints.begin(), endpoints.end(), key,
                         [](const endpoint_entry& entry, std::uint64_t value) { return entry.key < value; });
    return found != endpoints.end() && found->key == key ? &*found : nullptr;
}

std::shared_ptr<const endpoint_group> make_group(std::vector<endpoint_entry> entries)
{
    auto group = std::make_shared<endpoint_group>();
    std::sort(entries.begin(), entries.end(), less_by_key);
    group->endpoints = std::move(entries);
    group->cheapest_microcents_per_token = std::numeric_limits<double>::infinity();
    std::uint32_t index = 0;
    for (const auto& entry : group->endpoints) {
        group->cheapest_microcents_per_token =
            std::min(group->cheapest_microcents_per_token, microcents_per_token(*entry.info));
        for (std::uint32_t point = 0; point < points_per_endpoint; ++point)
            group->ring.push_back({combine64(entry.key, point), index});
        ++index;
    }
    std::ranges::sort(group->ring, {}, &ring_point::position);
    if (!group->endpoints.empty()) {
        group->domain = group->endpoints.front().info->domain;
        group->region = group->endpoints.front().info->region;
        group->domain_key = hash64(group->domain.value());
    }
    return group;
}

routing_snapshot make_snapshot(endpoint_map endpoints, egress_prices egress, const routing_snapshot& previous)
{
    routing_snapshot snapshot;
    std::unordered_map<target, entries_by_domain, target_hash> live;
    for (const auto& [id, entry] : endpoints) {
        auto& served = snapshot.targets[entry.info->serves];
        if (entry.info->state == endpoint_state::leaving)
            ++served.leaving;
        else if (entry.info->state == endpoint_state::isolated)
            served.isolated.push_back(entry);
        else
            live[entry.info->serves][entry.info->domain.value()].push_back(entry);
    }
    for (auto& [served, domains] : live) {
        const auto known = previous.targets.find(served);
        const auto* before = known != previous.targets.end() ? &known->second : nullptr;
        auto& groups = snapshot.targets[served].groups;
        for (auto& [domain, entries] : domains) {
            std::sort(entries.begin(), entries.end(), less_by_key);
            auto group = reuse_group(before, domain, entries);
            groups.push_back(group ? std::move(group) : make_group(std::move(entries)));
        }
    }
    snapshot.endpoints = std::move(endpoints);
    snapshot.egress = std::move(egress);
    return snapshot;
}

} // namespace siskinwharf::routing

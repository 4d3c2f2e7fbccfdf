#include "siskinwharf/membership/polling.h"

#include <cstdint>
#include <utility>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::membership {

std::optional<instance_id> work_owner(std::string_view work, const std::vector<instance_id>& members)
{
    const std::uint64_t work_hash = hash64(work);
    const instance_id* owner = nullptr;
    std::uint64_t highest = 0;
    for (const auto& member : members) {
        const std::uint64_t weight = combine64(hash64(member.value()), work_hash);
        // The id breaks ties, so that the order of the members does not matter.
        if (owner == nullptr || weight > highest || (weight == highest && member < *owner)) {
            owner = &member;
            highest = weight;
        }
    }
    if (owner == nullptr)
        return std::nullopt;
    return *owner;
}

std::optional<instance_id> polling_owner(const endpoint_id& endpoint, const std::vector<instance_id>& members)
{
    return work_owner(endpoint.value(), members);
}

std::vector<endpoint_id> polled_endpoints(const instance_id& self, const std::vector<instance_id>& members,
                                          const std::vector<endpoint_id>& endpoints)
{
    std::vector<endpoint_id> result;
    for (const auto& endpoint : endpoints) {
        if (polling_owner(endpoint, members) == self)
            result.push_back(endpoint);
    }
    return result;
}

} // namespace siskinwharf::membership

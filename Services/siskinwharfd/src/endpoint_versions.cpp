#include "endpoint_versions.h"

#include <tuple>
#include <utility>

namespace siskinwharf::entry {

endpoint_versions::changes endpoint_versions::apply(const peer::rollout_state& state, monotonic_time now)
{
    changes result;
    for (const auto& item : state.endpoints) {
        auto& known = m_endpoints[item.endpoint];
        if (std::tie(state.fencing, state.sequence) <= std::tie(known.fencing, known.sequence))
            continue;
        known.fencing = state.fencing;
        known.sequence = state.sequence;
        routing::model_target serves{item.model, item.version};
        const bool was_drained = known.drained_at.has_value();
        if (std::exchange(known.serves, serves) != serves || was_drained != item.drained.has_value())
            result.changed.insert(item.endpoint);
        if (item.drained && !was_drained)
            result.drained[item.endpoint] = now + *item.drained;
        if (!item.drained && was_drained)
            result.restored.insert(item.endpoint);
        known.drained_at = item.drained ? std::optional(now) : std::nullopt;
    }
    return result;
}

endpoint_versions::changes endpoint_versions::expire(monotonic_time now)
{
    changes result;
    for (auto& [id, known] : m_endpoints) {
        if (!known.drained_at || now - *known.drained_at < drain_lifetime)
            continue;
        known.drained_at.reset();
        result.changed.insert(id);
        result.restored.insert(id);
    }
    return result;
}

void endpoint_versions::correct(routing::endpoint_info& info) const
{
    const auto found = m_endpoints.find(info.id);
    if (found == m_endpoints.end() || !std::holds_alternative<routing::model_target>(info.serves))
        return;
    if (!found->second.serves.model.empty())
        info.serves = found->second.serves;
    if (found->second.drained_at)
        info.state = routing::endpoint_state::leaving;
}

void endpoint_versions::retain(const std::set<endpoint_id>& listed)
{
    std::erase_if(m_endpoints, [&](const auto& entry) { return !listed.contains(entry.first); });
}

} // namespace siskinwharf::entry

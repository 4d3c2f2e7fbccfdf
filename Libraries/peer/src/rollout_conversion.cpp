#include <algorithm>

#include "conversion.h"

namespace siskinwharf::peer {

namespace {

constexpr std::int64_t not_drained = -1;
/// Bounds keep later additions to a time point from overflowing. No drain takes longer.
constexpr std::int64_t longest_drain_ms = 3'600'000;

} // namespace

wire::rollout_state to_wire(const rollout_state& value)
{
    wire::rollout_state result;
    result.fencing = static_cast<std::int64_t>(value.fencing);
    result.sequence = static_cast<std::int64_t>(value.sequence);
    for (const auto& [endpoint, model, version, drained] : value.endpoints) {
        auto& item = result.endpoints.emplace_back();
        item.endpoint = endpoint.value();
        item.model = model.value();
        item.version = version;
        item.drained_ms = drained ? drained->count() : not_drained;
    }
    return result;
}

rollout_state from_wire(const wire::rollout_state& value)
{
    rollout_state result{
        static_cast<std::uint64_t>(value.fencing), static_cast<std::uint64_t>(value.sequence), {}};
    for (const auto& item : value.endpoints) {
        std::optional<milliseconds> drained;
        if (item.drained_ms >= 0)
            drained = milliseconds(std::min(item.drained_ms, longest_drain_ms));
        result.endpoints.push_back({endpoint_id(item.endpoint), model_id(item.model), item.version, drained});
    }
    return result;
}

} // namespace siskinwharf::peer

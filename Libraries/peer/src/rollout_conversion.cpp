#include <algorithm>

#include "conversion.h"
#include "wire_values.h"

namespace siskinwharf::peer {

namespace {

constexpr std::int64_t not_drained = -1;
/// No drain takes longer.
constexpr milliseconds longest_drain{3'600'000};

} // namespace

wire::rollout_state to_wire(const rollout_state& value)
{
    wire::rollout_state result;
    result.fencing = to_signed(value.fencing);
    result.sequence = to_signed(value.sequence);
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
    rollout_state result{to_unsigned(value.fencing), to_unsigned(value.sequence), {}};
    for (const auto& item : value.endpoints) {
        std::optional<milliseconds> drained;
        if (item.drained_ms >= 0)
            drained = std::min(to_duration(item.drained_ms), longest_drain);
        result.endpoints.push_back({endpoint_id(item.endpoint), model_id(item.model), item.version, drained});
    }
    return result;
}

} // namespace siskinwharf::peer

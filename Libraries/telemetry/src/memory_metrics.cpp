#include "siskinwharf/telemetry/memory_metrics.h"

#include <cstdint>

namespace siskinwharf::telemetry {

void set_memory_metrics(metrics_registry& registry, const memory_budget& memory)
{
    registry
        .find_gauge("siskinwharf_memory_budget_bytes",
                    "Memory for what is read or held for callers and endpoints.")
        ->set(static_cast<std::int64_t>(memory.limit()));
    registry
        .find_gauge("siskinwharf_memory_held_bytes", "What is held of `siskinwharf_memory_budget_bytes`.")
        ->set(static_cast<std::int64_t>(memory.held()));
    const auto refusals = registry.find_counter("siskinwharf_memory_refusals_total",
                                                "Requests and connections refused for want of memory.");
    refusals->add(memory.refusals() - refusals->value());
}

} // namespace siskinwharf::telemetry

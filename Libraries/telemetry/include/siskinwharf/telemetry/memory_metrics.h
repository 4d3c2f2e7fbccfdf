#pragma once

#include "siskinwharf/base/memory_budget.h"
#include "siskinwharf/telemetry/metrics_registry.h"

namespace siskinwharf::telemetry {

/// Sets the metrics of a budget: its size, what is held of it, and what was refused for want of memory. Must
/// always be called on the same thread for one registry.
void set_memory_metrics(metrics_registry& registry, const memory_budget& memory);

} // namespace siskinwharf::telemetry

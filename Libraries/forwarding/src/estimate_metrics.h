#pragma once

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/telemetry/metrics_registry.h"

namespace siskinwharf::forwarding {

/// Counts an attempt in the histogram of the ratio between the real and the expected time to its first event.
/// The buckets are cumulative, as in the Prometheus text format.
void count_estimate(telemetry::metrics_registry& metrics, const service_id& service, milliseconds expected,
                    milliseconds real);

} // namespace siskinwharf::forwarding

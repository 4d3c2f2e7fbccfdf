#pragma once

#include <compare>

#include "siskinwharf/base/time.h"

namespace siskinwharf::dispatch {

/// How long engines took to their first events and how long that should have taken at the usual speed of
/// their service, summed over requests. Older requests weigh less, so that a change of speed shows within
/// seconds.
struct speed_evidence {
    double expected_ms = 0; ///< At the usual speed of the service.
    double measured_ms = 0;

    auto operator<=>(const speed_evidence&) const = default;
};

[[nodiscard]] speed_evidence operator+(const speed_evidence& left, const speed_evidence& right);
/// Takes back what was added before. No sum falls below 0.
[[nodiscard]] speed_evidence operator-(const speed_evidence& left, const speed_evidence& right);

/// Adds one request. A time far above the expected one counts as a multiple of it only, because a process
/// that was paused measures it at all endpoints.
void add_sample(speed_evidence& evidence, double expected_ms, double measured_ms);

/// Reduces the weight of what was measured before, by half in each second.
void age(speed_evidence& evidence, nanoseconds elapsed);

/// Factor by which an endpoint takes longer than all endpoints of its service do on average. With little
/// evidence it is close to 1, so an endpoint that has served nothing for some seconds is used like the others
/// again. With enough evidence, a load that slows all endpoints down alike leaves it close to 1.
[[nodiscard]] double slowdown(const speed_evidence& endpoint, const speed_evidence& service);

} // namespace siskinwharf::dispatch

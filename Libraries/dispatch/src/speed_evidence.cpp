#include "siskinwharf/dispatch/speed_evidence.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace siskinwharf::dispatch {

namespace {

/// Time in which the weight of a sample halves.
constexpr std::chrono::duration<double> half_life{1.0};
/// Factor from which on an endpoint differs from the others. Times of equal engines differ by less, because
/// the estimate does not know all of their load.
constexpr double clear_difference = 1.4;
/// Bounds of one sample, as a multiple of the expected time.
constexpr double minimum_ratio = 0.1;
constexpr double maximum_ratio = 8;
/// Weight of the assumption that an endpoint is as fast as usual, in ms of expected time: about two requests.
constexpr double prior_weight_ms = 150;

} // namespace

speed_evidence operator+(const speed_evidence& left, const speed_evidence& right)
{
    return {left.expected_ms + right.expected_ms, left.measured_ms + right.measured_ms};
}

speed_evidence operator-(const speed_evidence& left, const speed_evidence& right)
{
    return {std::max(0.0, left.expected_ms - right.expected_ms),
            std::max(0.0, left.measured_ms - right.measured_ms)};
}

void add_sample(speed_evidence& evidence, double expected_ms, double measured_ms)
{
    if (expected_ms <= 0)
        return;
    evidence.expected_ms += expected_ms;
    evidence.measured_ms += std::clamp(measured_ms, minimum_ratio * expected_ms, maximum_ratio * expected_ms);
}

void age(speed_evidence& evidence, nanoseconds elapsed)
{
    const auto weight = std::exp2(-std::chrono::duration<double>(elapsed) / half_life);
    evidence.expected_ms *= weight;
    evidence.measured_ms *= weight;
}

double slowdown(const speed_evidence& endpoint, const speed_evidence& service)
{
    const auto usual = (prior_weight_ms + service.measured_ms) / (prior_weight_ms + service.expected_ms);
    const auto factor =
        (prior_weight_ms + endpoint.measured_ms / usual) / (prior_weight_ms + endpoint.expected_ms);
    const bool is_clear = factor > clear_difference || factor < 1 / clear_difference;
    return is_clear ? factor : 1;
}

} // namespace siskinwharf::dispatch

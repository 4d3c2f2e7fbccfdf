#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "siskinwharf/base/time.h"

namespace siskinwharf::telemetry {

/// What is measured for each account and class.
enum class latency { first_token, between_tokens, queue_wait, whole_answer };

inline constexpr std::array all_latencies{latency::first_token, latency::between_tokens, latency::queue_wait,
                                          latency::whole_answer};

/// The name of a latency as used in metrics.
[[nodiscard]] std::string_view to_string(latency kind);

/// One histogram for each kind of latency. Bins grow by a factor of 2^(1/8) from 2^-13 s (0.12 ms) to 2^9 s
/// (512 s), so a quantile is off by at most 9%. Recording takes no lock and is safe from several threads.
class latency_histograms {
public:
    static constexpr int bins_per_octave = 8;
    static constexpr int lowest_exponent = -13;
    static constexpr int highest_exponent = 9;
    static constexpr int octaves = highest_exponent - lowest_exponent;

    /// Number of durations below 2^(lowest_exponent + index) seconds for each index, and of all.
    struct snapshot {
        std::array<std::uint64_t, octaves + 1> below{};
        std::uint64_t count = 0;
        nanoseconds sum{0};
    };

    latency_histograms();
    latency_histograms(const latency_histograms&) = delete;
    latency_histograms& operator=(const latency_histograms&) = delete;
    latency_histograms(latency_histograms&&) = delete;
    latency_histograms& operator=(latency_histograms&&) = delete;
    ~latency_histograms();

    /// Records one duration. Negative durations count as 0.
    void record(latency kind, nanoseconds duration);

    /// Estimates a quantile; `share` is from 0 to 1. Durations outside the bins yield the nearest limit.
    /// `std::nullopt` if nothing was recorded.
    [[nodiscard]] std::optional<nanoseconds> quantile(latency kind, double share) const;

    [[nodiscard]] snapshot take_snapshot(latency kind) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace siskinwharf::telemetry

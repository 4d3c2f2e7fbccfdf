#include "siskinwharf/telemetry/latency_histograms.h"

#include <atomic>
#include <cmath>
#include <vector>

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace siskinwharf::telemetry {

namespace {

namespace histogram = boost::histogram;

constexpr int bins = latency_histograms::octaves * latency_histograms::bins_per_octave;
constexpr double nanoseconds_per_second = 1e9;

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;
/// Atomic bins; several threads may fill the histogram, because its axis does not grow.
using atomic_bins = histogram::dense_storage<histogram::accumulators::count<std::uint64_t, true>>;

auto make_latency_histogram()
{
    return histogram::make_histogram_with(atomic_bins(),
                                          log_axis(bins, std::exp2(latency_histograms::lowest_exponent),
                                                   std::exp2(latency_histograms::highest_exponent)));
}

double seconds_at(double position)
{
    return std::exp2(latency_histograms::lowest_exponent + position / latency_histograms::bins_per_octave);
}

nanoseconds to_duration(double in_seconds)
{
    return nanoseconds(std::llround(in_seconds * nanoseconds_per_second));
}

} // namespace

struct latency_histograms::implementation {
    struct entry {
        decltype(make_latency_histogram()) durations = make_latency_histogram();
        std::atomic<std::int64_t> sum_nanoseconds{0};

        /// Counts of all bins; index 0 is below the lowest limit, the last is above the highest.
        [[nodiscard]] std::vector<std::uint64_t> counts() const
        {
            std::vector<std::uint64_t> values;
            values.reserve(bins + 2);
            for (int index = -1; index <= bins; ++index)
                values.push_back(durations.at(index).value());
            return values;
        }
    };

    [[nodiscard]] entry& at(latency kind) { return entries[static_cast<std::size_t>(kind)]; }

    std::array<entry, all_latencies.size()> entries;
};

std::string_view to_string(latency kind)
{
    switch (kind) {
    case latency::first_token:
        return "first_token";
    case latency::between_tokens:
        return "between_tokens";
    case latency::queue_wait:
        return "queue_wait";
    case latency::whole_answer:
        return "whole_answer";
    }
    return "unknown";
}

latency_histograms::latency_histograms() : m_implementation(std::make_unique<implementation>()) {}

latency_histograms::~latency_histograms() = default;

void latency_histograms::record(latency kind, nanoseconds duration)
{
    const nanoseconds counted = std::max(duration, nanoseconds{0});
    auto& entry = m_implementation->at(kind);
    entry.durations(static_cast<double>(counted.count()) / nanoseconds_per_second);
    entry.sum_nanoseconds.fetch_add(counted.count(), std::memory_order_relaxed);
}

std::optional<nanoseconds> latency_histograms::quantile(latency kind, double share) const
{
    const std::vector<std::uint64_t> counts = m_implementation->at(kind).counts();
    std::uint64_t count = 0;
    for (const std::uint64_t in_bin : counts)
        count += in_bin;
    if (count == 0)
        return std::nullopt;
    const double rank = share * static_cast<double>(count);
    double before = 0;
    for (int index = 0; index <= bins; ++index) {
        const auto in_bin = static_cast<double>(counts[static_cast<std::size_t>(index)]);
        if (in_bin > 0 && before + in_bin >= rank) {
            // Bin `index` of the vector ends at position `index` of the axis; within it the rank is
            // interpolated.
            const double position = index == 0 ? 0 : index - 1 + (rank - before) / in_bin;
            return to_duration(seconds_at(position));
        }
        before += in_bin;
    }
    return to_duration(seconds_at(bins));
}

latency_histograms::snapshot latency_histograms::take_snapshot(latency kind) const
{
    snapshot result;
    result.sum = nanoseconds(m_implementation->at(kind).sum_nanoseconds.load(std::memory_order_relaxed));
    int index = 0;
    for (const std::uint64_t in_bin : m_implementation->at(kind).counts()) {
        result.count += in_bin;
        if (index % bins_per_octave == 0 && index <= bins)
            result.below[static_cast<std::size_t>(index / bins_per_octave)] = result.count;
        ++index;
    }
    return result;
}

} // namespace siskinwharf::telemetry

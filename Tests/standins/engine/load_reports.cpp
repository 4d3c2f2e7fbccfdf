#include "load_reports.h"

#include <algorithm>

namespace siskinwharf::standins {

namespace {

/// Time over which the token rate is averaged.
constexpr seconds rate_window{1};

} // namespace

void load_reports::record(const load_sample& sample, std::uint64_t decoded, monotonic_time now)
{
    m_entries.push_back({sample, decoded, ++m_sequence, now});
    const auto oldest = now - milliseconds(m_options.load_lag_ms) - rate_window;
    // The newest entry from before the window stays: it is the load at the window's begin.
    while (m_entries.size() > 1 && m_entries[1].time < oldest)
        m_entries.pop_front();
}

boost::json::object load_reports::report(monotonic_time now) const
{
    const auto shown = now - milliseconds(m_options.load_lag_ms);
    load_sample sample;
    std::uint64_t sequence = 0;
    std::uint64_t decoded = 0;
    for (const entry& present : m_entries) {
        if (present.time > shown)
            break;
        sample = present.sample;
        sequence = present.sequence;
        if (present.time > shown - rate_window)
            decoded += present.decoded;
    }
    const std::int64_t used = static_cast<std::int64_t>(sample.in_flight + sample.queued);
    return {{"endpoint_id", m_options.endpoint_id},
            {"in_flight", sample.in_flight},
            {"queued", sample.queued},
            {"capacity", m_options.capacity},
            {"free", std::max<std::int64_t>(m_options.capacity - used, 0)},
            {"tokens_per_second", decoded},
            {"cached_blocks", sample.cached_blocks},
            {"leaving", sample.leaving},
            {"sequence", sequence}};
}

} // namespace siskinwharf::standins

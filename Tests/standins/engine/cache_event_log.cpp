#include "cache_event_log.h"

#include <fmt/format.h>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::standins {

namespace {

constexpr std::size_t kept_events = 8192;
constexpr std::size_t events_per_answer = 1024;

} // namespace

void cache_event_log::append(const std::vector<cache_change>& changes, monotonic_time now)
{
    for (const cache_change& change : changes) {
        ++m_last_sequence;
        const std::uint64_t draw =
            combine64(static_cast<std::uint64_t>(m_options.seed), m_last_sequence) % 100;
        if (draw < static_cast<std::uint64_t>(m_options.cache_event_gap_percent))
            continue;
        m_entries.push_back({m_last_sequence, change, now});
        if (m_entries.size() > kept_events)
            m_entries.pop_front();
    }
}

boost::json::object cache_event_log::read(std::uint64_t after, monotonic_time now) const
{
    boost::json::array events;
    std::uint64_t last = after;
    for (const auto& [sequence, change, time] : m_entries) {
        if (sequence <= after)
            continue;
        if (now - time < milliseconds(m_options.cache_event_lag_ms) || events.size() == events_per_answer)
            break;
        events.push_back(boost::json::object{{"sequence", sequence},
                                             {"kind", change.stored ? "stored" : "evicted"},
                                             {"block", fmt::format("{:016x}", change.block)}});
        last = sequence;
    }
    return {{"events", std::move(events)}, {"last", last}};
}

} // namespace siskinwharf::standins

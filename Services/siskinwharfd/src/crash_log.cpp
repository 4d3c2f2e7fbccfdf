#include "crash_log.h"

#include <algorithm>
#include <string>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::entry {

namespace {

/// A request finds out about the death within its header timeout and its resumes.
constexpr milliseconds detection_time{10'000};

} // namespace

admission::crash_id crash_number_of(const routing::endpoint_info& endpoint)
{
    return hash64(endpoint.id.value() + "@" + std::to_string(endpoint.incarnation));
}

std::optional<admission::crash_id> crash_log::on_lost(const routing::endpoint_info& endpoint,
                                                      const routing::routing_table& table, monotonic_time now)
{
    const std::scoped_lock lock(m_mutex);
    const auto number = crash_number_of(endpoint);
    // Later requests find the endpoint leaving because of the first one's report, and this log.
    if (is_recent(number, now))
        return number;
    const auto info = table.find_info(endpoint.id);
    if (!info)
        return std::nullopt;
    // A restarted endpoint is listed as live again, and its state says nothing about its predecessor.
    const bool restarted = info->incarnation > endpoint.incarnation;
    if (!restarted && info->state == routing::endpoint_state::leaving)
        return std::nullopt;
    m_recent.push_back({number, now});
    return number;
}

void crash_log::note_death(const endpoint_id& endpoint, const routing::routing_table& table,
                           monotonic_time now)
{
    const std::scoped_lock lock(m_mutex);
    const auto info = table.find_info(endpoint);
    if (!info || info->state == routing::endpoint_state::leaving)
        return;
    const auto number = crash_number_of(*info);
    if (!is_recent(number, now))
        m_recent.push_back({number, now});
}

bool crash_log::is_recent(admission::crash_id number, monotonic_time now)
{
    std::erase_if(m_recent, [now](const crash& entry) { return now - entry.time > detection_time; });
    return std::ranges::find(m_recent, number, &crash::number) != m_recent.end();
}

} // namespace siskinwharf::entry

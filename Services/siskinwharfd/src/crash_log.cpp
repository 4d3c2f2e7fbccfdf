#include "crash_log.h"

#include <algorithm>
#include <string>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::entry {

namespace {

/// A request finds out about the death within its header timeout and its resumes.
constexpr milliseconds detection_time{10'000};
/// Entry processes that see the same death within this time give it the same number; an endpoint that
/// restarts under its old name and dies again in the same minute counts once.
constexpr std::chrono::seconds number_period{60};

} // namespace

std::optional<admission::crash_number> crash_log::on_lost(const endpoint_id& endpoint,
                                                          const routing::routing_table& table,
                                                          monotonic_time now,
                                                          std::chrono::system_clock::time_point wall_time)
{
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_recent, [now](const crash& entry) { return now - entry.time > detection_time; });
    const auto found = std::ranges::find(m_recent, endpoint, &crash::endpoint);
    if (found != m_recent.end())
        return found->number;
    // Later requests find the endpoint leaving because of the first one's report, and this log.
    const auto info = table.find_info(endpoint);
    if (!info || info->state == routing::endpoint_state::leaving)
        return std::nullopt;
    const auto period = wall_time.time_since_epoch() / number_period;
    const auto number = hash64(endpoint.value() + "@" + std::to_string(period));
    m_recent.push_back({endpoint, number, now});
    return number;
}

} // namespace siskinwharf::entry

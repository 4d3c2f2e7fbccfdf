#include "siskinwharf/dispatch/endpoint_limits.h"

namespace siskinwharf::dispatch {

bool endpoint_limits::observe(const endpoint_record& endpoint, std::optional<double> per_second,
                              monotonic_time /*now*/)
{
    const auto found = m_entries.find(endpoint.id);
    if (found == m_entries.end() && !per_second)
        return false;
    auto& value = m_entries[endpoint.id];
    const bool is_news = value.started_ms != endpoint.started_ms || value.per_second != per_second;
    value = {endpoint.started_ms, per_second};
    return is_news;
}

} // namespace siskinwharf::dispatch

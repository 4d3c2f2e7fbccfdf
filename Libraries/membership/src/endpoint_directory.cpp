#include "siskinwharf/membership/endpoint_directory.h"

#include <tuple>

namespace siskinwharf::membership {

using peer::endpoint_notice;
using peer::endpoint_state;

endpoint_changes endpoint_directory::apply_instance_list(monotonic_time now,
                                                         const std::vector<listed_endpoint>& endpoints)
{
    endpoint_changes changes;
    for (auto& [id, known] : m_endpoints)
        known.listed = false;
    for (const auto& [endpoint, started, leaving] : endpoints) {
        const endpoint_notice notice{endpoint, leaving ? endpoint_state::leaving : endpoint_state::live,
                                     started};
        // Every entry process reads the list itself, but not at once: a leaving endpoint must be known
        // everywhere within 2 s, a new one need not.
        if (apply(now, notice, endpoint_source::instance_list, changes) && leaving)
            changes.announce.push_back(notice);
        m_endpoints[endpoint].listed = true;
    }
    std::erase_if(m_endpoints, [now](const auto& entry) {
        const record& endpoint = entry.second;
        return !endpoint.listed && endpoint.state != endpoint_state::live &&
               now - endpoint.state_since > departed_endpoint_retention;
    });
    return changes;
}

endpoint_changes endpoint_directory::report_leaving(monotonic_time now, const endpoint_id& endpoint,
                                                    endpoint_source source, std::uint64_t unix_time)
{
    endpoint_changes changes;
    const auto found = m_endpoints.find(endpoint);
    const std::uint64_t incarnation = found == m_endpoints.end() ? unix_time : found->second.incarnation;
    const endpoint_notice notice{endpoint, endpoint_state::leaving, incarnation};
    if (apply(now, notice, source, changes))
        changes.announce.push_back(notice);
    return changes;
}

endpoint_changes endpoint_directory::apply_notices(monotonic_time now,
                                                   const std::vector<endpoint_notice>& notices)
{
    endpoint_changes changes;
    for (const auto& notice : notices) {
        if (apply(now, notice, endpoint_source::peer, changes))
            changes.relay.push_back(notice);
    }
    return changes;
}

endpoint_changes endpoint_directory::probe_answered(monotonic_time now, const endpoint_id& endpoint)
{
    endpoint_changes changes;
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return changes;
    found->second.failed_probes = 0;
    if (found->second.state != endpoint_state::dead)
        return changes;
    const endpoint_notice notice{endpoint, endpoint_state::live, found->second.incarnation + 1};
    if (apply(now, notice, endpoint_source::probe, changes))
        changes.announce.push_back(notice);
    return changes;
}

endpoint_changes endpoint_directory::probe_failed(monotonic_time now, const endpoint_id& endpoint)
{
    endpoint_changes changes;
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || ++found->second.failed_probes < probes_until_dead)
        return changes;
    const endpoint_notice notice{endpoint, endpoint_state::dead, found->second.incarnation};
    if (apply(now, notice, endpoint_source::probe, changes))
        changes.announce.push_back(notice);
    return changes;
}

endpoint_state endpoint_directory::state_of(const endpoint_id& endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? endpoint_state::dead : found->second.state;
}

std::vector<endpoint_id> endpoint_directory::endpoints(endpoint_state state) const
{
    std::vector<endpoint_id> result;
    for (const auto& [id, known] : m_endpoints) {
        if (known.state == state)
            result.push_back(id);
    }
    return result;
}

std::vector<endpoint_notice> endpoint_directory::departed() const
{
    std::vector<endpoint_notice> result;
    for (const auto& [id, known] : m_endpoints) {
        if (known.state != endpoint_state::live)
            result.push_back({id, known.state, known.incarnation});
    }
    return result;
}

// Returns whether the notice was news. The end of an endpoint that was not known is remembered, so that the
// lagging list does not add it later.
bool endpoint_directory::apply(monotonic_time now, const endpoint_notice& notice, endpoint_source source,
                               endpoint_changes& changes)
{
    const auto [position, added] = m_endpoints.try_emplace(notice.endpoint);
    record& known = position->second;
    if (!added && std::tie(notice.incarnation, notice.state) <= std::tie(known.incarnation, known.state))
        return false;
    const bool changed = added || known.state != notice.state;
    known.incarnation = notice.incarnation;
    known.state = notice.state;
    known.failed_probes = 0;
    if (changed) {
        known.state_since = now;
        changes.events.push_back({notice.endpoint, notice.state, source});
    }
    return true;
}

} // namespace siskinwharf::membership

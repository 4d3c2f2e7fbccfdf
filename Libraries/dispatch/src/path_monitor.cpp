#include "siskinwharf/dispatch/path_monitor.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::dispatch {

namespace {

/// Different endpoints that fail, or are waited for, before the own paths are suspected.
constexpr std::size_t minimum_endpoints = 2;
constexpr milliseconds connect_failure_window{1'000};
/// Silence of all endpoints. A single stream sends an event several times in this time.
constexpr milliseconds suspicious_silence{400};
/// Time without a probe after one that reached an endpoint.
constexpr milliseconds quiet_interval{1'000};
/// Interval between probes while the paths are lost.
constexpr milliseconds lost_interval{250};
/// Time for which failures from before the end of a cut may still come in.
constexpr milliseconds doubt_time{1'000};

} // namespace

void path_monitor::begin_wait(const endpoint_id& endpoint, monotonic_time now)
{
    const auto before = m_waiting.size();
    ++m_waiting[endpoint];
    if (before < minimum_endpoints && m_waiting.size() >= minimum_endpoints)
        m_quiet_since = std::max(m_quiet_since, now);
}

void path_monitor::end_wait(const endpoint_id& endpoint)
{
    const auto found = m_waiting.find(endpoint);
    if (found != m_waiting.end() && --found->second == 0)
        m_waiting.erase(found);
}

void path_monitor::on_received(monotonic_time now)
{
    m_quiet_since = now;
}

void path_monitor::on_connect_failed(const endpoint_id& endpoint, monotonic_time now)
{
    std::erase_if(m_failed_connects,
                  [&](const auto& entry) { return now - entry.second > connect_failure_window; });
    m_failed_connects[endpoint] = now;
}

bool path_monitor::is_suspected(std::size_t listed, monotonic_time now) const
{
    const auto failed = std::ranges::count_if(
        m_failed_connects, [&](const auto& entry) { return now - entry.second <= connect_failure_window; });
    const auto required = std::min(listed, minimum_endpoints);
    if (required > 0 && static_cast<std::size_t>(failed) >= required)
        return true;
    return m_waiting.size() >= minimum_endpoints && now - m_quiet_since >= suspicious_silence;
}

bool path_monitor::must_probe(std::size_t listed, monotonic_time now) const
{
    if (m_is_probing || listed == 0 || now < m_next_probe)
        return false;
    return is_lost() || is_suspected(listed, now);
}

void path_monitor::begin_probe()
{
    m_is_probing = true;
}

void path_monitor::end_probe(bool is_reached, monotonic_time now)
{
    m_is_probing = false;
    m_next_probe = now + (is_reached ? quiet_interval : lost_interval);
    if (!is_reached) {
        m_lost_since = m_lost_since.value_or(now);
        return;
    }
    m_failed_connects.clear();
    m_quiet_since = now;
    if (std::exchange(m_lost_since, std::nullopt))
        m_regained = now;
}

bool path_monitor::was_just_lost(monotonic_time now) const
{
    return is_lost() || (m_regained != monotonic_time{} && now - m_regained <= doubt_time);
}

milliseconds path_monitor::lost_time(monotonic_time now) const
{
    return m_lost_since ? std::chrono::duration_cast<milliseconds>(now - *m_lost_since) : milliseconds(0);
}

std::vector<endpoint_record> choose_probed(std::vector<endpoint_record> listed, std::size_t count,
                                           std::uint64_t turn)
{
    std::ranges::sort(listed, {}, [&](const endpoint_record& record) {
        return combine64(hash64(record.id.value()), turn);
    });
    std::set<std::pair<service_id, failure_domain_id>> chosen;
    // The first of each service and failure domain comes before all others.
    std::stable_partition(listed.begin(), listed.end(), [&](const endpoint_record& record) {
        return chosen.emplace(record.service, record.domain).second;
    });
    listed.resize(std::min(listed.size(), count));
    return listed;
}

} // namespace siskinwharf::dispatch

#include "siskinwharf/dispatch/endpoint_activity.h"

#include <algorithm>
#include <vector>

namespace siskinwharf::dispatch {

namespace {

/// Delivered requests of a service whose silences are kept, and the least number of them from which a
/// quantile is taken.
constexpr std::size_t maximum_silences = 200;
constexpr std::size_t minimum_silences = 20;
constexpr std::size_t rare_share = 100;

} // namespace

std::string_view to_string(silence_verdict verdict)
{
    switch (verdict) {
    case silence_verdict::none:
        return "none";
    case silence_verdict::hung:
        return "the endpoint is silent";
    case silence_verdict::lost:
        return "the request is lost";
    case silence_verdict::last_attempt:
        return "time is left for one more attempt";
    }
    return "unknown";
}

milliseconds endpoint_activity::silence(monotonic_time since, monotonic_time now)
{
    return std::chrono::duration_cast<milliseconds>(now - since);
}

endpoint_activity::attempt_number endpoint_activity::start(const endpoint_id& endpoint,
                                                           const service_id& service, milliseconds expected,
                                                           monotonic_time now)
{
    const auto number = ++m_last_number;
    auto& progress = m_endpoints[endpoint];
    if (progress.requests.empty())
        progress.last_progress = now;
    progress.requests.emplace(number, waiting_request{endpoint, service, expected, now, milliseconds(0)});
    m_endpoint_of.emplace(number, endpoint);
    return number;
}

void endpoint_activity::on_progress(attempt_number number, monotonic_time now)
{
    const auto found = m_endpoint_of.find(number);
    if (found == m_endpoint_of.end())
        return;
    auto& progress = m_endpoints.at(found->second);
    progress.last_progress = now;
    m_given_up_at.erase(found->second);
    auto& request = progress.requests.at(number);
    request.longest_silence = std::max(request.longest_silence, silence(request.last_progress, now));
    request.last_progress = now;
    request.expected = milliseconds(0);
}

void endpoint_activity::finish(attempt_number number, bool is_delivered, monotonic_time now)
{
    const auto found = m_endpoint_of.find(number);
    if (found == m_endpoint_of.end())
        return;
    if (is_delivered)
        on_progress(number, now);
    const auto endpoint = m_endpoints.find(found->second);
    auto& requests = endpoint->second.requests;
    const auto request = requests.find(number);
    if (is_delivered) {
        auto& silences = m_silences[request->second.service];
        silences.push_back(request->second.longest_silence);
        if (silences.size() > maximum_silences)
            silences.pop_front();
    }
    requests.erase(request);
    if (requests.empty())
        m_endpoints.erase(endpoint);
    m_endpoint_of.erase(found);
}

milliseconds endpoint_activity::usual_silence(const service_id& service) const
{
    const auto found = m_silences.find(service);
    if (found == m_silences.end() || found->second.size() < minimum_silences)
        return milliseconds(0);
    std::vector<milliseconds> sorted(found->second.begin(), found->second.end());
    const auto position =
        sorted.end() - static_cast<std::ptrdiff_t>(std::max<std::size_t>(1, sorted.size() / rare_share));
    std::nth_element(sorted.begin(), position, sorted.end());
    return *position;
}

milliseconds endpoint_activity::overdue_after(const waiting_request& request) const
{
    return std::max(m_limits.overdue, request.expected * m_limits.overdue_factor);
}

bool endpoint_activity::is_overdue(const waiting_request& request, monotonic_time now) const
{
    return silence(request.last_progress, now) >= overdue_after(request);
}

std::ptrdiff_t endpoint_activity::count_overdue(const endpoint_progress& progress, monotonic_time now) const
{
    return std::ranges::count_if(progress.requests,
                                 [&](const auto& entry) { return is_overdue(entry.second, now); });
}

bool endpoint_activity::is_doubted(const endpoint_id& endpoint, monotonic_time now) const
{
    const auto found = m_given_up_at.find(endpoint);
    return found != m_given_up_at.end() && now - found->second <= m_limits.doubt;
}

void endpoint_activity::forget_old_doubts(monotonic_time now)
{
    std::erase_if(m_given_up_at, [&](const auto& entry) { return now - entry.second > m_limits.doubt; });
}

void endpoint_activity::on_given_up(attempt_number number, monotonic_time now)
{
    forget_old_doubts(now);
    if (const auto found = m_endpoint_of.find(number); found != m_endpoint_of.end())
        m_given_up_at[found->second] = now;
}

milliseconds endpoint_activity::overdue_silence(const endpoint_id& endpoint, monotonic_time now) const
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || count_overdue(found->second, now) == 0)
        return milliseconds(0);
    return silence(found->second.last_progress, now);
}

silence_verdict endpoint_activity::assess(attempt_number number, milliseconds time_left,
                                          monotonic_time now) const
{
    const auto found = m_endpoint_of.find(number);
    if (found == m_endpoint_of.end())
        return silence_verdict::none;
    const auto& progress = m_endpoints.at(found->second);
    const auto& request = progress.requests.at(number);
    if (!is_overdue(request, now))
        return silence_verdict::none;

    const auto own = silence(request.last_progress, now);
    const auto common = silence(progress.last_progress, now);
    if (is_doubted(request.endpoint, now))
        return silence_verdict::hung;
    if (count_overdue(progress, now) > 1 && std::min(own, common) >= m_limits.shared_silence)
        return silence_verdict::hung;

    const auto usual = usual_silence(request.service) * m_limits.usual_factor;
    if (std::min(own, common) >= std::max(m_limits.single_silence, usual))
        return silence_verdict::hung;
    if (own >= std::max(m_limits.lost_request, usual))
        return silence_verdict::lost;
    if (time_left <= std::max(m_limits.reserved, request.expected * m_limits.reserved_factor))
        return silence_verdict::last_attempt;
    return silence_verdict::none;
}

} // namespace siskinwharf::dispatch

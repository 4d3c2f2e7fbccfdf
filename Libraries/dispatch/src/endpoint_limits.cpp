#include "siskinwharf/dispatch/endpoint_limits.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::dispatch {

namespace {

using std::chrono::duration;
using std::chrono::duration_cast;

/// Fraction of a limit that is used. The rest covers requests that arrive closer together than they were
/// sent.
constexpr double used_share = 0.9;
/// Processes that share a limit, beyond one for each request a second.
constexpr std::size_t additional_senders = 3;
/// Lower bound of the rate that is divided. A response is needed to learn that a limit has ended.
constexpr double minimum_per_second = 0.2;
/// Requests that a process may send at once after it has sent none for a while.
constexpr double maximum_allowance = 1;
/// How long news is told to peers, and after how long what an endpoint still says is told again.
constexpr milliseconds announcement_time{3'000};
constexpr milliseconds announcement_interval{15'000};
/// Time after which a limit that nobody confirms is tried out.
constexpr milliseconds stale_after{60'000};
/// Retry delay of a process that has no share of the limit: about the time in which limits come and go.
constexpr milliseconds wait_without_share{500};

double seconds_between(monotonic_time from, monotonic_time until)
{
    return duration<double>(until - from).count();
}

} // namespace

void endpoint_limits::set_processes(std::vector<sending_process> peers)
{
    peers.push_back(m_self);
    std::ranges::sort(peers);
    if (peers == m_processes)
        return;
    m_processes = std::move(peers);
    for (auto& [id, value] : m_entries)
        value.share_per_second = share_of(id, value);
}

void endpoint_limits::retain(const std::vector<endpoint_record>& endpoints)
{
    if (m_entries.empty())
        return;
    std::unordered_set<endpoint_id> listed;
    for (const auto& endpoint : endpoints)
        listed.insert(endpoint.id);
    std::erase_if(m_entries, [&](const auto& item) { return !listed.contains(item.first); });
}

bool endpoint_limits::observe(const endpoint_record& endpoint, std::optional<double> per_second,
                              monotonic_time now)
{
    const auto found = m_entries.find(endpoint.id);
    if (found == m_entries.end() && !per_second)
        return false;
    auto& value = m_entries[endpoint.id];
    const bool is_news = value.started_ms != endpoint.started_ms || value.per_second != per_second;
    value.confirmed = now;
    if (is_news)
        take(value, endpoint, per_second, now);
    else if (per_second && now - value.announced >= announcement_interval)
        value.announced = now;
    return is_news;
}

bool endpoint_limits::merge(const endpoint_record& endpoint, const endpoint_limit& told, monotonic_time now)
{
    if (told.started_ms != endpoint.started_ms)
        return false;
    const auto at = now - told.age;
    const auto found = m_entries.find(endpoint.id);
    if (found == m_entries.end() && !told.per_second)
        return false;
    auto& value = m_entries[endpoint.id];
    const bool is_same_start = value.started_ms == told.started_ms;
    if (is_same_start && at <= std::max(value.announced, value.confirmed))
        return false;
    if (is_same_start && value.per_second == told.per_second) {
        value.announced = at;
        return false;
    }
    take(value, endpoint, told.per_second, now);
    value.announced = at;
    return true;
}

void endpoint_limits::take(entry& value, const endpoint_record& endpoint, std::optional<double> per_second,
                           monotonic_time now) const
{
    // What was sent before counts too, so the allowance is not filled up.
    value.allowance = value.per_second ? allowance_at(value, now) : 0;
    value.counted = now;
    value.started_ms = endpoint.started_ms;
    value.domain = endpoint.domain;
    value.per_second = per_second;
    value.announced = now;
    value.share_per_second = share_of(endpoint.id, value);
}

std::vector<endpoint_limit> endpoint_limits::announcements(monotonic_time now) const
{
    std::vector<endpoint_limit> result;
    for (const auto& [id, value] : m_entries) {
        if (now - value.announced < announcement_time)
            result.push_back(
                {id, value.started_ms, value.per_second, duration_cast<milliseconds>(now - value.announced)});
    }
    std::ranges::sort(result);
    return result;
}

milliseconds endpoint_limits::wait(const endpoint_record& endpoint, monotonic_time now) const
{
    if (m_entries.empty())
        return milliseconds{0};
    const auto found = m_entries.find(endpoint.id);
    if (found == m_entries.end())
        return milliseconds{0};
    const auto& value = found->second;
    if (!value.per_second || value.started_ms != endpoint.started_ms || is_stale(value, now))
        return milliseconds{0};
    if (value.share_per_second <= 0)
        return wait_without_share;
    const auto missing = maximum_allowance - allowance_at(value, now);
    if (missing <= 0)
        return milliseconds{0};
    return milliseconds(1) + duration_cast<milliseconds>(duration<double>(missing / value.share_per_second));
}

void endpoint_limits::on_sent(const endpoint_record& endpoint, monotonic_time now)
{
    const auto found = m_entries.find(endpoint.id);
    if (found == m_entries.end())
        return;
    auto& value = found->second;
    // One request tries out a limit that nobody confirms.
    if (is_stale(value, now))
        value.confirmed = now;
    value.allowance = std::max(0.0, allowance_at(value, now) - 1);
    value.counted = now;
}

double endpoint_limits::share_of(const endpoint_id& endpoint, const entry& value) const
{
    if (!value.per_second)
        return 0;
    const bool has_local =
        std::ranges::any_of(m_processes, [&](const auto& process) { return process.domain == value.domain; });
    if (has_local && m_self.domain != value.domain)
        return 0;
    const auto endpoint_hash = hash64(endpoint.value());
    const auto own = combine64(endpoint_hash, hash64(m_self.id.value()));
    std::size_t candidates = 0;
    std::size_t before_self = 0;
    for (const auto& process : m_processes) {
        if (has_local && process.domain != value.domain)
            continue;
        ++candidates;
        if (combine64(endpoint_hash, hash64(process.id.value())) > own)
            ++before_self;
    }
    const auto senders =
        std::min(candidates, static_cast<std::size_t>(std::floor(*value.per_second)) + additional_senders);
    if (before_self >= senders)
        return 0;
    return used_share * std::max(*value.per_second, minimum_per_second) / static_cast<double>(senders);
}

double endpoint_limits::allowance_at(const entry& value, monotonic_time now)
{
    return std::min(maximum_allowance,
                    value.allowance + value.share_per_second * seconds_between(value.counted, now));
}

bool endpoint_limits::is_stale(const entry& value, monotonic_time now)
{
    return now - std::max(value.announced, value.confirmed) >= stale_after;
}

} // namespace siskinwharf::dispatch

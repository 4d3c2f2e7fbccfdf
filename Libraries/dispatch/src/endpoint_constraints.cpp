#include "siskinwharf/dispatch/endpoint_constraints.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

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
/// Leaving endpoints that are told at once, the latest first. The others are told by the platform's list.
constexpr std::size_t maximum_leaving_announcements = 2;
/// Time after which a limit that nobody confirms is tried out.
constexpr milliseconds stale_after{60'000};
/// Retry delay of a process that has no share of the limit: about the time in which limits come and go.
constexpr milliseconds wait_without_share{500};
/// Upper bound of the wait for the next request within a limit. Limits change, so a longer wait says little.
constexpr milliseconds maximum_limit_wait{2'000};
/// Part of a pause, and its upper bound, by which this process may resume later than the endpoint said, so
/// that not all processes and endpoints resume at once.
constexpr double pause_spread = 0.1;
constexpr milliseconds maximum_pause_spread{500};
/// A pause that ends within this time of the one before is no news: responses of one moment name it.
constexpr milliseconds pause_change{500};

double seconds_between(monotonic_time from, monotonic_time until)
{
    return duration<double>(until - from).count();
}

} // namespace

void endpoint_constraints::set_processes(std::vector<sending_process> peers)
{
    peers.push_back(m_self);
    std::ranges::sort(peers);
    if (peers == m_processes)
        return;
    m_processes = std::move(peers);
    for (auto& [id, value] : m_entries)
        value.share_per_second = share_of(id, value);
}

std::string_view to_string(constraint_kind kind)
{
    return kind == constraint_kind::leaving ? "leaving" : "pause";
}

std::string_view to_string(constraint_end reason)
{
    switch (reason) {
    case constraint_end::expired:
        return "expired";
    case constraint_end::withdrawn:
        return "withdrawn";
    case constraint_end::replaced:
        return "replaced";
    case constraint_end::forgotten:
        return "forgotten";
    }
    return "unknown";
}

void endpoint_constraints::retain(const std::vector<endpoint_record>& endpoints)
{
    if (m_entries.empty())
        return;
    std::unordered_map<endpoint_id, std::uint64_t> listed;
    std::set<std::pair<std::string_view, std::uint16_t>> addresses;
    for (const auto& endpoint : endpoints) {
        listed.emplace(endpoint.id, endpoint.started_ms);
        addresses.emplace(endpoint.ip, endpoint.port);
    }
    std::size_t unlisted = 0;
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        auto& [id, value] = *item;
        if (const auto found = listed.find(id); found != listed.end()) {
            if (found->second != value.started_ms)
                end_statements(id, value, constraint_end::replaced);
            ++item;
            continue;
        }
        value.per_second.reset();
        if (addresses.contains({value.ip, value.port}))
            end_statements(id, value, constraint_end::replaced);
        if (value.leaving_since || value.pause) {
            if (++unlisted <= maximum_unlisted) {
                ++item;
                continue;
            }
            end_statements(id, value, constraint_end::forgotten);
        }
        item = m_entries.erase(item);
    }
}

endpoint_statement_news endpoint_constraints::observe(const endpoint_record& endpoint,
                                                      const endpoint_statement& stated, monotonic_time now)
{
    endpoint_statement_news news;
    if (!stated.is_limit_malformed)
        news.is_limit_new = observe_limit(endpoint, stated.requests_per_second, now);
    if (stated.is_leaving) {
        auto& value = entry_of(endpoint);
        news.is_leaving_new = !value.leaving_since;
        if (!value.leaving_since) {
            value.leaving_since = now;
            value.is_leaving_own = true;
        }
    }
    if (stated.pause)
        news.pause = set_pause(endpoint, *stated.pause, now);
    return news;
}

std::optional<milliseconds> endpoint_constraints::set_pause(const endpoint_record& endpoint,
                                                            milliseconds pause, monotonic_time now)
{
    if (pause.count() <= 0 && !m_entries.contains(endpoint.id))
        return std::nullopt;
    auto& value = entry_of(endpoint);
    if (value.pause && value.pause->until <= now)
        end_pause(endpoint.id, value, constraint_end::expired);
    if (pause.count() <= 0) {
        end_pause(endpoint.id, value, constraint_end::withdrawn);
        return std::nullopt;
    }
    const auto bounded = std::min(pause, maximum_pause);
    const auto position = unit_interval(combine64(hash64(endpoint.id.value()), hash64(m_self.id.value())));
    const auto spread = std::min(static_cast<double>(bounded.count()) * pause_spread,
                                 static_cast<double>(maximum_pause_spread.count()));
    const auto length = bounded + milliseconds(std::llround(spread * position));
    const auto until = now + length;
    const bool is_news = !value.pause || until > value.pause->until + pause_change ||
                         value.pause->until > until + pause_change;
    value.pause = pause_time{value.pause ? value.pause->since : now, until};
    return is_news ? std::optional(length) : std::nullopt;
}

endpoint_constraints::entry& endpoint_constraints::entry_of(const endpoint_record& endpoint)
{
    auto& value = m_entries[endpoint.id];
    if (value.started_ms != endpoint.started_ms) {
        end_statements(endpoint.id, value, constraint_end::replaced);
        value.started_ms = endpoint.started_ms;
        value.per_second.reset();
    }
    value.ip = endpoint.ip;
    value.port = endpoint.port;
    return value;
}

void endpoint_constraints::end_pause(const endpoint_id& endpoint, entry& value, constraint_end reason)
{
    if (const auto pause = std::exchange(value.pause, std::nullopt))
        m_ended.push_back({endpoint, constraint_kind::pause, reason, pause->since});
}

void endpoint_constraints::end_statements(const endpoint_id& endpoint, entry& value, constraint_end reason)
{
    if (const auto since = std::exchange(value.leaving_since, std::nullopt))
        m_ended.push_back({endpoint, constraint_kind::leaving, reason, *since});
    end_pause(endpoint, value, reason);
}

std::vector<ended_constraint> endpoint_constraints::take_ended(monotonic_time now)
{
    for (auto& [id, value] : m_entries) {
        if (value.pause && value.pause->until <= now)
            end_pause(id, value, constraint_end::expired);
    }
    std::ranges::sort(m_ended);
    return std::exchange(m_ended, {});
}

bool endpoint_constraints::observe_limit(const endpoint_record& endpoint, std::optional<double> per_second,
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

bool endpoint_constraints::merge(const endpoint_record& endpoint, const endpoint_limit& told,
                                 monotonic_time now)
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

bool endpoint_constraints::merge_leaving(const endpoint_record& endpoint, const endpoint_limit& told,
                                         monotonic_time now)
{
    if (!told.is_leaving || told.started_ms != endpoint.started_ms)
        return false;
    auto& value = entry_of(endpoint);
    if (value.leaving_since)
        return false;
    value.leaving_since = now - told.age;
    value.is_leaving_own = false;
    return true;
}

void endpoint_constraints::take(entry& value, const endpoint_record& endpoint,
                                std::optional<double> per_second, monotonic_time now)
{
    if (value.started_ms != endpoint.started_ms)
        end_statements(endpoint.id, value, constraint_end::replaced);
    // What was sent before counts too, so the allowance is not filled up.
    value.allowance = value.per_second ? allowance_at(value, now) : 0;
    value.counted = now;
    value.started_ms = endpoint.started_ms;
    value.domain = endpoint.domain;
    value.per_second = per_second;
    value.announced = now;
    value.share_per_second = share_of(endpoint.id, value);
}

std::vector<endpoint_limit> endpoint_constraints::announcements(monotonic_time now) const
{
    std::vector<endpoint_limit> result;
    for (const auto& [id, value] : m_entries) {
        if (now - value.announced < announcement_time && !value.leaving_since)
            result.push_back(
                {id, value.started_ms, value.per_second, duration_cast<milliseconds>(now - value.announced)});
    }
    const auto leaving = leaving_announcements(now);
    result.insert(result.end(), leaving.begin(), leaving.end());
    std::ranges::sort(result);
    return result;
}

std::vector<endpoint_limit> endpoint_constraints::leaving_announcements(monotonic_time now) const
{
    std::vector<endpoint_limit> result;
    for (const auto& [id, value] : m_entries) {
        // Each process tells all others what it saw itself, so what peers told is not repeated.
        if (value.leaving_since && value.is_leaving_own && now - *value.leaving_since < announcement_time)
            result.push_back({id, value.started_ms, std::nullopt,
                              duration_cast<milliseconds>(now - *value.leaving_since), true});
    }
    std::ranges::sort(result, [](const endpoint_limit& left, const endpoint_limit& right) {
        return std::tie(left.age, left.endpoint) < std::tie(right.age, right.endpoint);
    });
    result.resize(std::min(result.size(), maximum_leaving_announcements));
    return result;
}

milliseconds endpoint_constraints::wait(const endpoint_record& endpoint, monotonic_time now) const
{
    if (m_entries.empty())
        return milliseconds{0};
    const auto found = m_entries.find(endpoint.id);
    if (found == m_entries.end() || found->second.started_ms != endpoint.started_ms)
        return milliseconds{0};
    const auto& value = found->second;
    if (value.leaving_since)
        return never;
    return std::max(pause_wait(value, now), limit_wait(value, now));
}

milliseconds endpoint_constraints::pause_left(const endpoint_record& endpoint, monotonic_time now) const
{
    const auto found = m_entries.find(endpoint.id);
    if (found == m_entries.end() || found->second.started_ms != endpoint.started_ms)
        return milliseconds{0};
    return pause_wait(found->second, now);
}

milliseconds endpoint_constraints::pause_wait(const entry& value, monotonic_time now)
{
    if (!value.pause || value.pause->until <= now)
        return milliseconds{0};
    return std::chrono::ceil<milliseconds>(value.pause->until - now);
}

milliseconds endpoint_constraints::limit_wait(const entry& value, monotonic_time now)
{
    if (!value.per_second || is_stale(value, now))
        return milliseconds{0};
    if (value.share_per_second <= 0)
        return wait_without_share;
    const auto missing = maximum_allowance - allowance_at(value, now);
    if (missing <= 0)
        return milliseconds{0};
    return std::min(maximum_limit_wait, milliseconds(1) + duration_cast<milliseconds>(duration<double>(
                                                              missing / value.share_per_second)));
}

void endpoint_constraints::on_sent(const endpoint_record& endpoint, monotonic_time now)
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

double endpoint_constraints::share_of(const endpoint_id& endpoint, const entry& value) const
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

double endpoint_constraints::allowance_at(const entry& value, monotonic_time now)
{
    return std::min(maximum_allowance,
                    value.allowance + value.share_per_second * seconds_between(value.counted, now));
}

bool endpoint_constraints::is_stale(const entry& value, monotonic_time now)
{
    return now - std::max(value.announced, value.confirmed) >= stale_after;
}

} // namespace siskinwharf::dispatch

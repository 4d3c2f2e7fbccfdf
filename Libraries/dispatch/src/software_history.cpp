#include "siskinwharf/dispatch/software_history.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace siskinwharf::dispatch {

namespace {

constexpr char field_separator = '\t';
constexpr char line_separator = '\n';

bool is_plain(std::string_view text)
{
    return text.find(field_separator) == std::string_view::npos &&
           text.find(line_separator) == std::string_view::npos;
}

} // namespace

void software_history::observe(const std::vector<endpoint_record>& endpoints, monotonic_time now)
{
    std::map<service_id, std::map<software_version, bool>> present; // Whether one takes requests.
    for (const auto& endpoint : endpoints) {
        auto& takes_requests = present[endpoint.service][endpoint.software];
        takes_requests = takes_requests || !endpoint.is_leaving;
    }
    for (auto& [service, known] : m_seen) {
        const auto listed = present.find(service);
        for (auto& [version, seen] : known) {
            if (!seen.is_present)
                continue;
            seen.last_seen = now;
            seen.is_present = listed != present.end() && listed->second.contains(version);
            seen.takes_requests = false;
        }
        std::erase_if(known, [&](const auto& item) {
            return !item.second.is_present && now - item.second.last_seen > m_lifetime;
        });
    }
    for (const auto& [service, versions_present] : present) {
        for (const auto& [version, takes_requests] : versions_present) {
            auto& seen = m_seen[service][version];
            // A version that comes back may have been removed from the store meanwhile.
            if (!seen.is_present)
                seen = {now, now, true, false, false};
            seen.last_seen = now;
            seen.takes_requests = takes_requests;
        }
    }
}

void software_history::add(const versions& before, monotonic_time now)
{
    for (const auto& [service, known] : before) {
        for (const auto& version : known) {
            // The own list knows better since when a version that it has shown is gone.
            m_seen[service].try_emplace(version, sighting{now});
        }
    }
}

void software_history::renew(const versions& recorded, monotonic_time now)
{
    for (const auto& [service, known] : recorded) {
        for (const auto& version : known) {
            auto& seen = m_seen[service][version];
            seen.last_seen = std::max(seen.last_seen, now);
        }
    }
}

void software_history::restore(const versions& before, monotonic_time now)
{
    add(before, now);
    m_is_restored = true;
}

void software_history::set_recorded(versions recorded)
{
    m_recorded = std::move(recorded);
    for (auto& [service, known] : m_seen) {
        const auto listed = m_recorded.find(service);
        for (auto& [version, seen] : known)
            seen.is_recorded = listed != m_recorded.end() && listed->second.contains(version);
    }
}

bool software_history::has_recorded(const service_id& service) const
{
    const auto found = m_recorded.find(service);
    return found != m_recorded.end() && !found->second.empty();
}

software_history::versions software_history::unrecorded() const
{
    versions result;
    for (const auto& [service, known] : m_seen) {
        for (const auto& [version, seen] : known) {
            if (seen.is_present && !seen.is_recorded)
                result[service].insert(version);
        }
    }
    return result;
}

stream_begin_rule software_history::begin_rule(const service_id& service, monotonic_time now) const
{
    const auto found = m_seen.find(service);
    if (found == m_seen.end())
        return {};
    std::set<software_version> usable;
    bool is_restricted = false;
    bool has_waiting = false;
    for (const auto& [version, seen] : found->second) {
        if (!seen.is_present)
            continue;
        const bool is_usable = seen.is_recorded || now - seen.present_since > recording_grace;
        is_restricted = is_restricted || !is_usable;
        if (is_usable && seen.takes_requests)
            usable.insert(version);
        has_waiting = has_waiting || (!is_usable && seen.takes_requests);
    }
    if (!is_restricted)
        return {};
    if (usable.empty())
        return {has_waiting, std::nullopt};
    return {false, std::move(usable)};
}

std::set<software_version> software_history::candidates(const service_id& service, monotonic_time now) const
{
    std::set<software_version> result;
    const auto found = m_seen.find(service);
    if (found == m_seen.end())
        return result;
    for (const auto& [version, seen] : found->second) {
        if (seen.is_present || now - seen.last_seen <= m_lifetime)
            result.insert(version);
    }
    return result;
}

std::optional<software_version> software_history::only_candidate(const service_id& service,
                                                                 monotonic_time now) const
{
    auto known = candidates(service, now);
    if (const auto found = m_recorded.find(service); found != m_recorded.end())
        known.insert(found->second.begin(), found->second.end());
    if (!is_complete(now) || known.size() != 1)
        return std::nullopt;
    return *known.begin();
}

bool software_history::is_mixed(const service_id& service, monotonic_time now) const
{
    return candidates(service, now).size() > 1;
}

software_history::versions software_history::all_candidates(monotonic_time now) const
{
    versions result;
    for (const auto& [service, known] : m_seen) {
        if (auto present = candidates(service, now); !present.empty())
            result.emplace(service, std::move(present));
    }
    return result;
}

bool software_history::is_complete(monotonic_time now) const
{
    return m_is_restored || now - m_started > m_lifetime;
}

std::string encode(const stored_software& stored)
{
    std::string result = std::to_string(stored.era) + line_separator;
    for (const auto& [service, known] : stored.versions) {
        for (const auto& version : known) {
            // Names with separators are not expected. Without its line a version counts as not known.
            if (is_plain(service.value()) && is_plain(version.value()))
                result += service.value() + field_separator + version.value() + line_separator;
        }
    }
    return result;
}

std::optional<stored_software> decode_stored_software(std::string_view text)
{
    stored_software result;
    const auto [era_end, error] = std::from_chars(text.data(), text.data() + text.size(), result.era);
    if (error != std::errc() || era_end == text.data() + text.size() || *era_end != line_separator)
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(era_end - text.data()) + 1);
    while (!text.empty()) {
        const auto end = text.find(line_separator);
        const auto line = text.substr(0, end);
        const auto middle = line.find(field_separator);
        if (end == std::string_view::npos || middle == std::string_view::npos)
            return std::nullopt;
        result.versions[service_id(std::string(line.substr(0, middle)))].insert(
            software_version(std::string(line.substr(middle + 1))));
        text.remove_prefix(end + 1);
    }
    return result;
}

} // namespace siskinwharf::dispatch

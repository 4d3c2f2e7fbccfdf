#include "siskinwharf/forwarding/registration_table.h"

#include <algorithm>

namespace siskinwharf::forwarding {

void registration_table::replace(const std::vector<process_registration>& read, monotonic_time now)
{
    std::map<instance_id, entry> entries;
    for (const auto& registration : read) {
        entry next{registration, now + registration.valid_for, false, false};
        if (const auto found = m_entries.find(registration.process.id); found != m_entries.end()) {
            const auto& known = found->second;
            // Of a row that was not renewed, the first estimate holds. The store's clock may have gone back,
            // or its writer may not have known it.
            if (known.registration.version == registration.version)
                next.until = std::min(next.until, known.until);
            next.has_left = known.has_left && known.registration.process.start == registration.process.start;
        }
        next.is_valid = next.until > now && !next.has_left;
        entries.emplace(registration.process.id, std::move(next));
    }
    m_entries = std::move(entries);
    m_read_at = now;
}

void registration_table::forget(const instance_id& process, std::uint64_t start)
{
    const auto found = m_entries.find(process);
    if (found == m_entries.end() || found->second.registration.process.start != start)
        return;
    found->second.has_left = true;
    found->second.is_valid = false;
}

bool registration_table::is_valid(const instance_id& process) const
{
    const auto found = m_entries.find(process);
    return found != m_entries.end() && found->second.is_valid;
}

std::vector<registered_process> registration_table::valid() const
{
    std::vector<registered_process> result;
    for (const auto& [id, known] : m_entries) {
        if (known.is_valid)
            result.push_back(known.registration.process);
    }
    return result;
}

std::optional<monotonic_time> registration_table::expiry(const instance_id& process) const
{
    const auto found = m_entries.find(process);
    if (found == m_entries.end() || !found->second.is_valid)
        return std::nullopt;
    return found->second.until;
}

std::vector<process_registration> registration_table::expired(monotonic_time before) const
{
    std::vector<process_registration> result;
    for (const auto& [id, known] : m_entries) {
        if (known.until <= before)
            result.push_back(known.registration);
    }
    return result;
}

} // namespace siskinwharf::forwarding

#include "siskinwharf/dispatch/endpoint_listing.h"

#include <algorithm>

namespace siskinwharf::dispatch {

void endpoint_listing::store_lost(monotonic_time /*now*/)
{
    m_is_lost = true;
}

void endpoint_listing::store_regained(monotonic_time now)
{
    if (m_is_lost)
        m_regained_at = now;
    m_is_lost = false;
}

bool endpoint_listing::may_return(const endpoint_record& record, monotonic_time now) const
{
    if (record.is_leaving)
        return false;
    return m_is_lost || (m_regained_at && now < *m_regained_at + return_time);
}

void endpoint_listing::replace(const std::vector<endpoint_record>& records, monotonic_time now)
{
    std::map<endpoint_id, entry> next;
    for (const auto& record : records)
        next[record.id] = entry{record, std::nullopt};
    for (auto& [id, known] : m_entries) {
        if (next.contains(id) || !may_return(known.record, now))
            continue;
        if (!known.expires)
            known.expires = m_regained_at.value_or(now) + return_time;
        next.emplace(id, known);
    }
    m_entries = std::move(next);
}

void endpoint_listing::replace_from_peer(const std::vector<endpoint_record>& records)
{
    m_entries.clear();
    for (const auto& record : records)
        m_entries[record.id] = entry{record, std::nullopt};
}

void endpoint_listing::update(const endpoint_record& record)
{
    m_entries[record.id] = entry{record, std::nullopt};
}

void endpoint_listing::remove(const endpoint_id& endpoint, monotonic_time now)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return;
    if (!may_return(found->second.record, now)) {
        m_entries.erase(found);
        return;
    }
    if (!found->second.expires)
        found->second.expires = m_regained_at.value_or(now) + return_time;
}

std::vector<endpoint_record> endpoint_listing::current(monotonic_time now)
{
    std::erase_if(m_entries, [&](const auto& item) {
        return !m_is_lost && item.second.expires && *item.second.expires <= now;
    });
    std::vector<endpoint_record> records;
    for (const auto& [id, known] : m_entries)
        records.push_back(known.record);
    return records;
}

std::optional<monotonic_time> endpoint_listing::next_expiry() const
{
    std::optional<monotonic_time> next;
    for (const auto& [id, known] : m_entries) {
        if (known.expires && (!next || *known.expires < *next))
            next = known.expires;
    }
    return next;
}

} // namespace siskinwharf::dispatch

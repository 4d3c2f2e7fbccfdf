#include "siskinwharf/dispatch/endpoint_list_cache.h"

#include <algorithm>

namespace siskinwharf::dispatch {

void endpoint_list_cache::on_store_disconnected(monotonic_time /*now*/)
{
    m_is_disconnected = true;
}

void endpoint_list_cache::on_store_reconnected(monotonic_time now)
{
    if (m_is_disconnected)
        m_reconnected_at = now;
    m_is_disconnected = false;
}

bool endpoint_list_cache::may_reregister(const endpoint_record& record, monotonic_time now) const
{
    if (record.is_leaving)
        return false;
    return m_is_disconnected || (m_reconnected_at && now < *m_reconnected_at + reregistration_time);
}

void endpoint_list_cache::replace(const std::vector<endpoint_record>& records, monotonic_time now)
{
    std::map<endpoint_id, entry> next;
    for (const auto& record : records)
        next[record.id] = entry{record, std::nullopt};
    for (auto& [id, known] : m_entries) {
        if (next.contains(id) || !may_reregister(known.record, now))
            continue;
        if (!known.expires)
            known.expires = m_reconnected_at.value_or(now) + reregistration_time;
        next.emplace(id, known);
    }
    m_entries = std::move(next);
}

void endpoint_list_cache::replace_from_peer(const std::vector<endpoint_record>& records)
{
    m_entries.clear();
    for (const auto& record : records)
        m_entries[record.id] = entry{record, std::nullopt};
}

void endpoint_list_cache::update(const endpoint_record& record)
{
    m_entries[record.id] = entry{record, std::nullopt};
}

void endpoint_list_cache::remove(const endpoint_id& endpoint, monotonic_time now)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return;
    if (!may_reregister(found->second.record, now)) {
        m_entries.erase(found);
        return;
    }
    if (!found->second.expires)
        found->second.expires = m_reconnected_at.value_or(now) + reregistration_time;
}

std::vector<endpoint_record> endpoint_list_cache::current(monotonic_time now)
{
    std::erase_if(m_entries, [&](const auto& item) {
        return !m_is_disconnected && item.second.expires && *item.second.expires <= now;
    });
    std::vector<endpoint_record> records;
    for (const auto& [id, known] : m_entries)
        records.push_back(known.record);
    return records;
}

std::optional<monotonic_time> endpoint_list_cache::next_expiry() const
{
    std::optional<monotonic_time> next;
    for (const auto& [id, known] : m_entries) {
        if (known.expires && (!next || *known.expires < *next))
            next = known.expires;
    }
    return next;
}

} // namespace siskinwharf::dispatch

#include "siskinwharf/dispatch/endpoint_list_cache.h"

#include <algorithm>
#include <utility>

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

void endpoint_list_cache::on_store_restored(monotonic_time now)
{
    m_restored_at = now;
    // The outage before it may have been too short to be noticed.
    m_reconnected_at = now;
    // What was written to register again may be lost with it.
    for (auto& [id, known] : m_entries) {
        if (known.expires)
            known.expires = now + reregistration_time;
    }
}

bool endpoint_list_cache::may_reregister(const endpoint_record& record, monotonic_time now) const
{
    if (record.is_leaving)
        return false;
    return m_is_disconnected || (m_reconnected_at && now < *m_reconnected_at + reregistration_time);
}

bool endpoint_list_cache::may_be_stale(monotonic_time now) const
{
    return m_restored_at && now < *m_restored_at + stale_entry_time;
}

void endpoint_list_cache::put(entries& target, const endpoint_record& record, monotonic_time now)
{
    const auto known = m_entries.find(record.id);
    const bool is_older_incarnation =
        known != m_entries.end() && may_be_stale(now) && record.started_ms < known->second.record.started_ms;
    if (is_older_incarnation) {
        keep(target, known->second, now);
        return;
    }
    target.insert_or_assign(record.id, entry{record, std::nullopt});
    if (record.is_leaving)
        remember_departure(record, false, now);
    else if (hidden_departure(record, now) == nullptr)
        m_departures.erase(record.id);
}

void endpoint_list_cache::keep(entries& target, entry known, monotonic_time now) const
{
    if (!known.expires)
        known.expires = m_reconnected_at.value_or(now) + reregistration_time;
    const auto id = known.record.id;
    target.insert_or_assign(id, std::move(known));
}

void endpoint_list_cache::remember_departure(const endpoint_record& record, bool is_gone, monotonic_time now)
{
    // What is hidden now left before; its entry was only back.
    if (hidden_departure(record, now) != nullptr)
        return;
    std::erase_if(m_departures, [&](const auto& item) { return now - item.second.seen > memory_time; });
    m_departures[record.id] = {record.started_ms, record.sequence, is_gone, now};
}

const endpoint_list_cache::departure* endpoint_list_cache::hidden_departure(const endpoint_record& record,
                                                                            monotonic_time now) const
{
    const auto found = m_departures.find(record.id);
    if (!may_be_stale(now) || found == m_departures.end() || found->second.seen >= *m_restored_at)
        return nullptr;
    const auto& left = found->second;
    const bool is_older = record.started_ms < left.started_ms ||
                          (record.started_ms == left.started_ms && record.sequence <= left.sequence);
    return is_older ? &left : nullptr;
}

void endpoint_list_cache::replace(const std::vector<endpoint_record>& records, monotonic_time now)
{
    entries next;
    for (const auto& record : records)
        put(next, record, now);
    for (const auto& [id, known] : m_entries) {
        if (next.contains(id))
            continue;
        if (may_reregister(known.record, now))
            keep(next, known, now);
        else
            remember_departure(known.record, true, now);
    }
    m_entries = std::move(next);
}

void endpoint_list_cache::replace_from_peer(const std::vector<endpoint_record>& records, monotonic_time now)
{
    entries next;
    for (const auto& record : records)
        put(next, record, now);
    for (const auto& [id, known] : m_entries) {
        if (!next.contains(id))
            remember_departure(known.record, true, now);
    }
    m_entries = std::move(next);
}

void endpoint_list_cache::update(const endpoint_record& record, monotonic_time now)
{
    put(m_entries, record, now);
}

void endpoint_list_cache::remove(const endpoint_id& endpoint, monotonic_time now)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return;
    if (may_reregister(found->second.record, now)) {
        keep(m_entries, found->second, now);
        return;
    }
    remember_departure(found->second.record, true, now);
    m_entries.erase(found);
}

void endpoint_list_cache::end_stale_time(monotonic_time now)
{
    if (!m_restored_at || may_be_stale(now))
        return;
    m_restored_at.reset();
    // Entries that are still there are true.
    std::erase_if(m_departures, [&](const auto& item) {
        const auto found = m_entries.find(item.first);
        return found != m_entries.end() && !found->second.record.is_leaving;
    });
}

std::vector<endpoint_record> endpoint_list_cache::current(monotonic_time now)
{
    end_stale_time(now);
    std::erase_if(m_entries, [&](const auto& item) {
        const bool has_expired = !m_is_disconnected && item.second.expires && *item.second.expires <= now;
        if (has_expired)
            remember_departure(item.second.record, true, now);
        return has_expired;
    });
    std::vector<endpoint_record> records;
    for (const auto& [id, known] : m_entries) {
        const auto* left = hidden_departure(known.record, now);
        if (left != nullptr && left->is_gone)
            continue;
        records.push_back(known.record);
        records.back().is_leaving = known.record.is_leaving || left != nullptr;
    }
    return records;
}

std::optional<monotonic_time> endpoint_list_cache::next_expiry() const
{
    std::optional<monotonic_time> next;
    const auto add = [&](monotonic_time time) {
        next = std::min(next.value_or(time), time);
    };
    for (const auto& [id, known] : m_entries) {
        if (known.expires)
            add(*known.expires);
        if (m_restored_at && hidden_departure(known.record, *m_restored_at) != nullptr)
            add(*m_restored_at + stale_entry_time);
    }
    return next;
}

} // namespace siskinwharf::dispatch

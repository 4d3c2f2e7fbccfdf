#include "siskinwharf/routing/routing_table.h"

#include <utility>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::routing {

routing_table::routing_table() : m_snapshot(std::make_unique<const routing_snapshot>()) {}

void routing_table::publish(const table_changes& changes)
{
    const std::lock_guard lock(m_writers);
    publish_locked(changes);
}

std::size_t routing_table::mark_leaving(const std::vector<endpoint_id>& endpoints)
{
    const std::lock_guard lock(m_writers);
    table_changes changes;
    for (const auto& id : endpoints) {
        const auto info = find_info(id);
        if (!info || info->state == endpoint_state::leaving)
            continue;
        changes.put.push_back(*info);
        changes.put.back().state = endpoint_state::leaving;
    }
    if (!changes.put.empty())
        publish_locked(changes);
    return changes.put.size();
}

const routing_snapshot& routing_table::read(const rcu_read_section& section) const
{
    return m_snapshot.read(section);
}

std::shared_ptr<const endpoint_info> routing_table::find_info(const endpoint_id& id) const
{
    const rcu_read_section section;
    const auto& endpoints = read(section).endpoints;
    const auto found = endpoints.find(id);
    return found != endpoints.end() ? found->second.info : nullptr;
}

std::shared_ptr<endpoint_load> routing_table::find_load(const endpoint_id& id) const
{
    const rcu_read_section section;
    const auto& endpoints = read(section).endpoints;
    const auto found = endpoints.find(id);
    return found != endpoints.end() ? found->second.load : nullptr;
}

bool routing_table::apply_report(const endpoint_id& id, const load_report& report, monotonic_time now)
{
    const auto load = find_load(id);
    return load && load->apply(report, now);
}

void routing_table::publish_locked(const table_changes& changes)
{
    auto next = std::make_unique<routing_snapshot>();
    {
        const rcu_read_section section;
        const auto& current = read(section);
        auto endpoints = current.endpoints;
        for (const auto& id : changes.remove)
            endpoints.erase(id);
        for (const auto& info : changes.put) {
            auto& entry = endpoints[info.id];
            if (!entry.load)
                entry.load = std::make_shared<endpoint_load>();
            if (!entry.info || *entry.info != info)
                entry.info = std::make_shared<const endpoint_info>(info);
            entry.key = hash64(info.id.value());
            entry.capacity = info.capacity;
        }
        *next = make_snapshot(std::move(endpoints), changes.egress.value_or(current.egress), current);
    }
    m_snapshot.replace(std::move(next));
}

} // namespace siskinwharf::routing

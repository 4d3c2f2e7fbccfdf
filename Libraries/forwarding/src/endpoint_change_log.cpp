#include "siskinwharf/forwarding/endpoint_change_log.h"

#include <algorithm>
#include <set>

namespace siskinwharf::forwarding {

namespace {

/// Maximum number of removed entries that are kept. When it is exceeded, all of them are dropped.
constexpr std::ptrdiff_t maximum_removed_entries = 1'000;

} // namespace

void endpoint_change_log::set(const endpoint_id& id, std::string text, bool is_removed, std::uint64_t version)
{
    auto& known = m_entries[id];
    if (known.version != 0 && known.text == text && known.is_removed == is_removed)
        return;
    known = {std::move(text), version, is_removed};
}

void endpoint_change_log::take(const endpoint_changes& read, bool is_whole_list)
{
    if (read.position.era != m_era) {
        m_entries.clear();
        m_era = read.position.era;
        m_is_empty = true;
    }
    std::set<endpoint_id> present;
    for (const auto& endpoint : read.endpoints) {
        present.insert(endpoint.id);
        set(endpoint.id, endpoint.text, endpoint.is_removed, read.position.version);
    }
    if (is_whole_list) {
        for (const auto& [id, known] : m_entries) {
            if (!present.contains(id))
                set(id, "", true, read.position.version);
        }
    }
    // Changes before the first whole list are not known.
    if (is_whole_list && std::exchange(m_is_empty, false))
        m_complete_after = read.position.version;
    forget_removed();
}

void endpoint_change_log::forget_removed()
{
    const auto removed =
        std::ranges::count_if(m_entries, [](const auto& item) { return item.second.is_removed; });
    if (removed <= maximum_removed_entries)
        return;
    for (const auto& [id, known] : m_entries) {
        if (known.is_removed)
            m_complete_after = std::max(m_complete_after, known.version);
    }
    std::erase_if(m_entries, [](const auto& item) { return item.second.is_removed; });
}

endpoint_change_log::changes endpoint_change_log::since(const store_position& position) const
{
    changes result;
    result.is_whole_list = m_is_empty || position.era != m_era || position.version < m_complete_after;
    for (const auto& [id, known] : m_entries) {
        const bool is_wanted = result.is_whole_list ? !known.is_removed : known.version > position.version;
        if (is_wanted)
            result.entries.push_back({id, known.text, known.is_removed});
    }
    return result;
}

} // namespace siskinwharf::forwarding

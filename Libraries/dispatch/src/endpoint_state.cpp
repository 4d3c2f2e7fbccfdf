#include "siskinwharf/dispatch/endpoint_state.h"

namespace siskinwharf::dispatch {

std::uint64_t prefix_cache_model::cached_tokens(const std::vector<prompt_part>& parts) const
{
    std::uint64_t tokens = 0;
    for (const auto& part : parts) {
        if (!m_entries.contains(part.id))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void prefix_cache_model::add(const std::vector<prompt_part>& parts, std::uint64_t capacity_tokens)
{
    for (const auto& part : parts) {
        if (const auto found = m_entries.find(part.id); found != m_entries.end()) {
            m_recent.splice(m_recent.begin(), m_recent, found->second.position);
            continue;
        }
        m_recent.push_front(part.id);
        m_entries.emplace(part.id, entry{part.tokens, m_recent.begin()});
        m_tokens += part.tokens;
    }
    while (m_tokens > capacity_tokens && !m_recent.empty()) {
        const auto oldest = m_entries.find(m_recent.back());
        m_tokens -= oldest->second.tokens;
        m_entries.erase(oldest);
        m_recent.pop_back();
    }
}

} // namespace siskinwharf::dispatch

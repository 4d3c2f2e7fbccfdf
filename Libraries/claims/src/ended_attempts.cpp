#include "siskinwharf/claims/ended_attempts.h"

#include <utility>

namespace siskinwharf::claims {

namespace {

bool is_final(const holder_reply& reply)
{
    return std::holds_alternative<holder_done>(reply) || std::holds_alternative<holder_abandoned>(reply);
}

} // namespace

void ended_attempts::add(attempt_number attempt, holder_reply reply, monotonic_time now)
{
    while (!m_order.empty() && now - m_entries.at(m_order.front()).ended > m_limits.kept_for)
        remove_oldest();
    if (!is_final(reply) || !m_entries.emplace(attempt, entry{std::move(reply), now}).second)
        return;
    m_order.push_back(attempt);
    if (m_order.size() > m_limits.maximum_entries)
        remove_oldest();
}

std::optional<holder_reply> ended_attempts::find(attempt_number attempt, monotonic_time now) const
{
    const auto found = m_entries.find(attempt);
    if (found == m_entries.end() || now - found->second.ended > m_limits.kept_for)
        return std::nullopt;
    return found->second.reply;
}

void ended_attempts::remove_oldest()
{
    m_entries.erase(m_order.front());
    m_order.pop_front();
}

} // namespace siskinwharf::claims

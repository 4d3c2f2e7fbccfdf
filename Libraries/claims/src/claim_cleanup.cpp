#include "siskinwharf/claims/claim_cleanup.h"

#include <algorithm>
#include <utility>

namespace siskinwharf::claims {

bool claim_cleanup::add(pending_final_write final_write, monotonic_time now)
{
    if (m_entries.size() >= m_limits.maximum_entries)
        return false;
    const attempt_number attempt = final_write.row.attempt;
    m_entries.insert_or_assign(
        attempt, entry{std::move(final_write), now + m_limits.first_delay, m_limits.first_delay, false});
    return true;
}

std::vector<cleanup_write> claim_cleanup::due(monotonic_time now, std::size_t maximum)
{
    std::vector<cleanup_write> writes;
    for (auto& [attempt, pending] : m_entries) {
        if (writes.size() == maximum)
            break;
        if (pending.in_flight || pending.next_try > now)
            continue;
        pending.in_flight = true;
        const auto& final_write = pending.final_write;
        writes.push_back(
            {attempt, {final_write.row_key, encode_claim_row(final_write.row), final_write.condition}});
    }
    return writes;
}

void claim_cleanup::on_result(attempt_number attempt, const cloud::commit_result& result, monotonic_time now)
{
    const auto found = m_entries.find(attempt);
    if (found == m_entries.end() || !found->second.in_flight)
        return;
    entry& pending = found->second;
    pending.in_flight = false;
    if (std::holds_alternative<cloud::table_committed>(result)) {
        m_entries.erase(found);
        return;
    }
    if (const auto* conflict = std::get_if<cloud::table_conflict>(&result)) {
        const auto current = conflict->rows.empty() ? std::nullopt : conflict->rows.front().current;
        if (check_final_write(pending.final_write, current) != final_write_check::retry) {
            m_entries.erase(found);
            return;
        }
        pending.next_try = now;
        return;
    }
    pending.delay = std::min(pending.delay * 2, m_limits.maximum_delay);
    pending.next_try = now + pending.delay;
}

std::optional<holder_reply> claim_cleanup::reply_to_peer(attempt_number attempt) const
{
    const auto found = m_entries.find(attempt);
    if (found == m_entries.end())
        return std::nullopt;
    const claim_row& row = found->second.final_write.row;
    switch (row.state) {
    case claim_state::abandoned:
        return holder_abandoned{};
    case claim_state::done:
        return holder_done{*row.response};
    case claim_state::held:
    case claim_state::unknown:
        break;
    }
    return holder_unknown{};
}

} // namespace siskinwharf::claims

#include "siskinwharf/claims/claim_cleanup.h"

#include <algorithm>
#include <utility>

namespace siskinwharf::claims {

bool claim_cleanup::add(claim_obligation obligation, monotonic_time now)
{
    if (m_entries.size() >= m_limits.maximum_entries)
        return false;
    const attempt_number attempt = obligation.row.attempt;
    m_entries.insert_or_assign(
        attempt, entry{std::move(obligation), now + m_limits.first_delay, m_limits.first_delay, false});
    return true;
}

std::vector<cleanup_write> claim_cleanup::due(monotonic_time now, std::size_t maximum)
{
    std::vector<cleanup_write> writes;
    for (auto& [attempt, pending] : m_entries) {
        if (writes.size() == maximum)
            break;
        if (pending.out || pending.next_try > now)
            continue;
        pending.out = true;
        const auto& obligation = pending.obligation;
        writes.push_back(
            {attempt, {obligation.row_key, encode_claim_row(obligation.row), obligation.condition}});
    }
    return writes;
}

void claim_cleanup::on_result(attempt_number attempt, const cloud::commit_result& result, monotonic_time now)
{
    const auto found = m_entries.find(attempt);
    if (found == m_entries.end() || !found->second.out)
        return;
    entry& pending = found->second;
    pending.out = false;
    if (std::holds_alternative<cloud::table_committed>(result)) {
        m_entries.erase(found);
        return;
    }
    if (const auto* conflict = std::get_if<cloud::table_conflict>(&result)) {
        const auto current = conflict->rows.empty() ? std::nullopt : conflict->rows.front().current;
        if (check_final_write(pending.obligation, current) != final_write_check::retry) {
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
    const claim_row& row = found->second.obligation.row;
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

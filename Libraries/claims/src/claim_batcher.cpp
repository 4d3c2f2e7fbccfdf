#include "siskinwharf/claims/claim_batcher.h"

#include <algorithm>
#include <string>
#include <unordered_set>
#include <utility>

namespace siskinwharf::claims {

namespace {

std::size_t write_size_bytes(const cloud::table_write& write)
{
    return write.key.size() + (write.value ? write.value->size() : 0);
}

} // namespace

std::optional<write_ticket> claim_batcher::submit(cloud::table_write write, monotonic_time now)
{
    if (m_size >= m_limits.maximum_queued)
        return std::nullopt;
    ++m_size;
    m_queue_bytes += write_size_bytes(write);
    m_queue.push_back({m_next_ticket, std::move(write), now});
    return m_next_ticket++;
}

bool claim_batcher::withdraw(write_ticket ticket)
{
    const auto has_ticket = [ticket](const queued_write& queued) {
        return queued.ticket == ticket;
    };
    if (const auto found = std::ranges::find_if(m_queue, has_ticket); found != m_queue.end()) {
        m_queue_bytes -= write_size_bytes(found->write);
        m_queue.erase(found);
        --m_size;
        return true;
    }
    for (auto members = m_retry_groups.begin(); members != m_retry_groups.end(); ++members) {
        const auto found = std::ranges::find_if(*members, has_ticket);
        if (found == members->end())
            continue;
        members->erase(found);
        if (members->empty())
            m_retry_groups.erase(members);
        --m_size;
        return true;
    }
    return false;
}

std::optional<write_batch> claim_batcher::next_batch(monotonic_time now)
{
    if (m_in_flight.size() >= m_limits.maximum_in_flight)
        return std::nullopt;
    group members;
    if (!m_retry_groups.empty()) {
        members = std::move(m_retry_groups.front());
        m_retry_groups.pop_front();
    } else if (is_due(now)) {
        members = take_group();
    } else {
        return std::nullopt;
    }
    write_batch batch{m_next_batch_number++, {}};
    batch.transaction.writes.reserve(members.size());
    for (const queued_write& member : members)
        batch.transaction.writes.push_back(member.write);
    m_in_flight.emplace(batch.number, std::move(members));
    return batch;
}

std::optional<monotonic_time> claim_batcher::next_due() const
{
    if (m_queue.empty())
        return std::nullopt;
    return m_queue.front().submitted + m_limits.maximum_age;
}

std::vector<write_result> claim_batcher::on_result(std::uint64_t number, const cloud::commit_result& result)
{
    const auto found = m_in_flight.find(number);
    if (found == m_in_flight.end())
        return {};
    group members = std::move(found->second);
    m_in_flight.erase(found);
    const auto* conflict = std::get_if<cloud::table_conflict>(&result);
    const auto in_group = [&](const auto& row) {
        return row.write_index < members.size();
    };
    if (conflict != nullptr && std::any_of(conflict->rows.begin(), conflict->rows.end(), in_group))
        return split_conflicting(std::move(members), *conflict);
    std::vector<write_result> results;
    results.reserve(members.size());
    for (const queued_write& member : members) {
        // A conflict that names no write of this group would cause endless retries. Nothing took effect, so
        // the writes fail as unavailable.
        if (conflict != nullptr)
            results.push_back({member.ticket, cloud::table_unavailable{}});
        else
            results.push_back({member.ticket, result});
    }
    m_size -= members.size();
    return results;
}

bool claim_batcher::is_due(monotonic_time now) const
{
    return !m_queue.empty() &&
           (m_queue.size() >= m_limits.maximum_writes || m_queue_bytes >= m_limits.maximum_bytes ||
            m_queue.front().submitted + m_limits.maximum_age <= now);
}

claim_batcher::group claim_batcher::take_group()
{
    group members;
    std::size_t bytes = 0;
    std::unordered_set<std::string> keys;
    while (!m_queue.empty() && members.size() < m_limits.maximum_writes) {
        queued_write& next = m_queue.front();
        const std::size_t size = write_size_bytes(next.write);
        // A single write above the size limit is still sent, in a group of its own.
        if (!members.empty() && bytes + size > m_limits.maximum_bytes)
            break;
        // Writes to the same row must keep their order, so the group ends before the second one.
        if (!keys.insert(next.write.key).second)
            break;
        bytes += size;
        members.push_back(std::move(next));
        m_queue.pop_front();
    }
    m_queue_bytes -= bytes;
    return members;
}

std::vector<write_result> claim_batcher::split_conflicting(group members,
                                                           const cloud::table_conflict& conflict)
{
    std::vector<std::optional<cloud::table_conflict>> own(members.size());
    for (const auto& row : conflict.rows) {
        if (row.write_index < members.size())
            own[row.write_index] = cloud::table_conflict{{{0, row.current}}};
    }
    std::vector<write_result> results;
    group rest;
    for (std::size_t index = 0; index < members.size(); ++index) {
        if (own[index])
            results.push_back({members[index].ticket, std::move(*own[index])});
        else
            rest.push_back(std::move(members[index]));
    }
    m_size -= results.size();
    if (!rest.empty())
        m_retry_groups.push_back(std::move(rest));
    return results;
}

} // namespace siskinwharf::claims

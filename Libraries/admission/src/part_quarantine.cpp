#include "siskinwharf/admission/part_quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace siskinwharf::admission {

namespace {

using std::chrono::duration_cast;

/// Crashes of one record for peers.
constexpr std::size_t maximum_reported_crashes = 8;

} // namespace

std::optional<prompt_part_id> part_quarantine::find(const std::vector<prompt_part_id>& parts) const
{
    if (m_quarantined == 0)
        return std::nullopt;
    for (const auto part : parts) {
        if (const auto found = m_entries.find(part); found != m_entries.end() && found->second.is_quarantined)
            return part;
    }
    return std::nullopt;
}

std::vector<prompt_part_id> part_quarantine::on_crash(const std::vector<prompt_part_id>& parts,
                                                      crash_id crash, monotonic_time now)
{
    for (std::size_t position = 0; position < parts.size(); ++position)
        add_crash(find_or_add(parts[position], position, now), crash, now);
    return quarantine_culprits(now);
}

std::vector<prompt_part_id> part_quarantine::on_answered(const std::vector<prompt_part_id>& parts,
                                                         monotonic_time now)
{
    std::vector<prompt_part_id> released;
    for (const auto part : parts) {
        remember_answer(part, now);
        if (const auto found = m_entries.find(part);
            found != m_entries.end() && set_answered(found->second, now))
            released.push_back(part);
    }
    return released;
}

std::vector<prompt_part_id> part_quarantine::merge(const std::vector<part_crash_record>& records,
                                                   monotonic_time now)
{
    std::set<monotonic_time> new_crashes;
    for (const auto& record : records) {
        entry received;
        for (const auto& [crash, age] : record.crashes) {
            if (age >= milliseconds{0} && age < m_limits.lifetime)
                add_crash(received, crash, now - age);
        }
        if (record.answered_age && *record.answered_age >= milliseconds{0})
            received.answered = now - *record.answered_age;
        if (received.crashes.empty() || has_expired(received, now))
            continue;
        auto& value = find_or_add(record.part, record.position, now);
        for (const auto& [crash, at] : received.crashes) {
            if (add_crash(value, crash, at))
                new_crashes.insert(at);
        }
        if (received.answered)
            set_answered(value, *received.answered);
    }
    // In the order of the crashes, as a process that saw each: the crashes of a part that is quarantined are
    // not counted again for what it shares with the next one.
    std::vector<prompt_part_id> culprits;
    if (!new_crashes.empty())
        new_crashes.insert(monotonic_time::max()); // Those known before may be later.
    for (const auto at : new_crashes)
        std::ranges::copy(quarantine_culprits(at), std::back_inserter(culprits));
    return culprits;
}

std::vector<part_crash_record> part_quarantine::records(monotonic_time now, std::size_t maximum) const
{
    std::vector<std::pair<prompt_part_id, const entry*>> order;
    order.reserve(m_entries.size());
    for (const auto& [part, value] : m_entries) {
        if (!value.crashes.empty())
            order.emplace_back(part, &value);
    }
    std::ranges::sort(order, std::greater(), [](const auto& item) {
        return std::tuple(item.second->is_quarantined, newest_crash(*item.second), item.first);
    });
    order.resize(std::min(order.size(), maximum));
    std::vector<part_crash_record> result;
    result.reserve(order.size());
    for (const auto& [part, value] : order) {
        auto& record = result.emplace_back();
        record.part = part;
        record.position = value->position;
        for (const auto& [crash, at] : value->crashes)
            record.crashes.push_back({crash, duration_cast<milliseconds>(now - at)});
        std::ranges::sort(record.crashes, {}, &crash_report::age);
        record.crashes.resize(std::min(record.crashes.size(), maximum_reported_crashes));
        if (value->answered)
            record.answered_age = duration_cast<milliseconds>(now - *value->answered);
    }
    return result;
}

void part_quarantine::expire(monotonic_time now)
{
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        auto& value = position->second;
        const auto next = std::next(position);
        if (has_expired(value, now)) {
            if (value.is_quarantined) {
                value.is_quarantined = false;
                value.is_on_probation = true;
                value.crashes.clear();
                --m_quarantined;
            } else if (!value.is_on_probation || value.answered) {
                m_entries.erase(position);
            }
        }
        position = next;
    }
}

part_quarantine::entry& part_quarantine::find_or_add(prompt_part_id part, std::size_t position,
                                                     monotonic_time now)
{
    if (const auto found = m_entries.find(part); found != m_entries.end())
        return found->second;
    if (m_entries.size() >= m_limits.maximum_entries) {
        // Forgetting a part costs the crashes that are needed to find it again.
        const auto oldest = std::ranges::min_element(m_entries, {}, [](const auto& item) {
            return std::pair(item.second.is_quarantined, newest_crash(item.second));
        });
        m_quarantined -= oldest->second.is_quarantined ? 1 : 0;
        m_entries.erase(oldest);
    }
    auto& value = m_entries[part];
    value.position = position;
    if (const auto answered = last_answer(part); answered && *answered <= now)
        value.answered = answered;
    return value;
}

bool part_quarantine::add_crash(entry& value, crash_id crash, monotonic_time at) const
{
    const auto [position, is_new] = value.crashes.emplace(crash, at);
    // A peer that was suspended tells a smaller age than the true one.
    position->second = std::min(position->second, at);
    if (is_new && value.crashes.size() > m_limits.maximum_crashes)
        value.crashes.erase(
            std::ranges::min_element(value.crashes, {}, [](const auto& item) { return item.second; }));
    return is_new;
}

bool part_quarantine::set_answered(entry& value, monotonic_time at)
{
    if (!value.answered || *value.answered < at)
        value.answered = at;
    if (!value.is_quarantined || count_crashes(value, {}, monotonic_time::max()) > 0)
        return false;
    value.is_quarantined = false;
    --m_quarantined;
    return true;
}

std::optional<monotonic_time> part_quarantine::last_answer(prompt_part_id part) const
{
    for (const auto* answers : {&m_answered, &m_answered_before}) {
        if (const auto found = answers->find(part); found != answers->end())
            return found->second;
    }
    return std::nullopt;
}

void part_quarantine::remember_answer(prompt_part_id part, monotonic_time now)
{
    m_answered[part] = now;
    if (m_answered.size() < m_limits.maximum_answered_parts)
        return;
    m_answered_before = std::move(m_answered);
    m_answered.clear();
}

std::vector<prompt_part_id> part_quarantine::quarantine_culprits(monotonic_time until)
{
    std::vector<prompt_part_id> culprits;
    auto explained = explained_crashes();
    while (true) {
        std::pair<const prompt_part_id, entry>* best = nullptr;
        std::tuple<std::size_t, std::size_t> best_rank;
        for (auto& item : m_entries) {
            auto& value = item.second;
            const auto count = count_crashes(value, explained, until);
            if (value.is_quarantined || count < (value.is_on_probation ? 1 : m_limits.crash_threshold))
                continue;
            // Between parts that were in the same crashes, the one that was never answered is blamed, then
            // the last one, because fewer requests share it.
            const std::tuple rank(count + (value.answered ? 0 : 1), value.position);
            if (best == nullptr || rank > best_rank) {
                best = &item;
                best_rank = rank;
            }
        }
        if (best == nullptr)
            return culprits;
        best->second.is_quarantined = true;
        ++m_quarantined;
        culprits.push_back(best->first);
        for (const auto& [crash, at] : best->second.crashes)
            explained.insert(crash);
    }
}

std::size_t part_quarantine::count_crashes(const entry& value, const std::set<crash_id>& explained,
                                           monotonic_time until) const
{
    std::vector<monotonic_time> times;
    for (const auto& [crash, at] : value.crashes) {
        if (at <= until && (!value.answered || at > *value.answered) && !explained.contains(crash))
            times.push_back(at);
    }
    std::ranges::sort(times);
    std::size_t count = 0;
    std::optional<monotonic_time> counted;
    for (const auto at : times) {
        if (counted && at - *counted < m_limits.simultaneous)
            continue;
        counted = at;
        ++count;
    }
    return count;
}

std::set<crash_id> part_quarantine::explained_crashes() const
{
    std::set<crash_id> result;
    if (m_quarantined == 0)
        return result;
    for (const auto& [part, value] : m_entries) {
        if (!value.is_quarantined)
            continue;
        for (const auto& [crash, at] : value.crashes)
            result.insert(crash);
    }
    return result;
}

monotonic_time part_quarantine::newest_crash(const entry& value)
{
    monotonic_time newest{};
    for (const auto& [crash, at] : value.crashes)
        newest = std::max(newest, at);
    return newest;
}

bool part_quarantine::has_expired(const entry& value, monotonic_time now) const
{
    const auto newest = newest_crash(value);
    const bool is_cleared = value.answered && *value.answered >= newest;
    return newest + (is_cleared ? m_limits.answered_entry : m_limits.lifetime) <= now;
}

} // namespace siskinwharf::admission

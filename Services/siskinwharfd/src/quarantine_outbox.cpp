#include "quarantine_outbox.h"

#include <algorithm>
#include <array>
#include <functional>
#include <limits>
#include <tuple>

namespace siskinwharf::entry {

using admission::quarantine_record;

namespace {

/// Pauses after each round of a new record except the last. With 30% loss, 0.8% of the peers miss all four
/// rounds and wait for the repetition.
constexpr std::array<milliseconds, 3> round_pauses{milliseconds{200}, milliseconds{1'000},
                                                   milliseconds{3'000}};
constexpr std::size_t rounds = round_pauses.size() + 1;
/// A record that the budget has not let out by then is left to the repetition.
constexpr milliseconds fresh_time{30'000};
constexpr milliseconds repeat_period{5'000};
/// Bytes of records in a datagram: with the frame it stays below `peer::datagram_limit`.
constexpr std::size_t datagram_records_bytes = 800;
/// IP, UDP and frame headers with a sender's id of 24 bytes, and the HMAC.
constexpr std::size_t datagram_header_bytes = 110;

/// Length in the compact encoding, at most.
std::size_t encoded_size(const quarantine_record& record)
{
    constexpr std::size_t digest_bytes = 32;
    constexpr std::size_t crash_bytes = 10;
    constexpr std::size_t other_bytes = 16;
    return record.key.account.value().size() + digest_bytes + crash_bytes * record.crashes.size() +
           other_bytes;
}

/// The first records that fit a datagram, and their bytes. One record always fits.
struct datagram_content {
    std::size_t records = 0;
    std::size_t bytes = 0;
};

template<typename Records, typename Projection>
datagram_content content_of(const Records& records, Projection record_of)
{
    datagram_content result;
    for (const auto& each : records) {
        const auto size = encoded_size(record_of(each));
        if (result.records > 0 && result.bytes + size > datagram_records_bytes)
            break;
        result.bytes += size;
        ++result.records;
    }
    return result;
}

/// A missing quarantine costs an endpoint at the next resend, a missing suspect less, and a missing clear
/// nothing at once.
std::size_t urgency(const quarantine_record& record)
{
    return record.remaining == milliseconds{0} ? 0 : record.crashes.size();
}

quarantine_record aged(const quarantine_record& record, milliseconds age)
{
    if (record.remaining == milliseconds{0})
        return record;
    // Zero would clear the suspect.
    return {record.key, record.crashes, std::max(record.remaining - age, milliseconds{1})};
}

} // namespace

void quarantine_outbox::add(const std::vector<quarantine_record>& records, monotonic_time now)
{
    for (const auto& record : records) {
        const auto found = m_fresh.find(record.key);
        if (found == m_fresh.end()) {
            if (m_fresh.size() >= m_limits.maximum_records)
                make_room();
            m_fresh.emplace(record.key, fresh_record{record, now, {}});
            continue;
        }
        auto merged = record;
        // Both crashes in one record let a peer quarantine the request even if it missed the first record.
        if (record.remaining != milliseconds{0} && found->second.record.remaining != milliseconds{0})
            merged.crashes.insert(found->second.record.crashes.begin(), found->second.record.crashes.end());
        if (merged.crashes.size() > admission::quarantine_crash_threshold)
            merged.crashes = record.crashes;
        found->second = fresh_record{std::move(merged), now, {}};
    }
}

void quarantine_outbox::make_room()
{
    const auto least = std::ranges::min_element(m_fresh, {}, [](const auto& entry) {
        return std::tuple(urgency(entry.second.record), entry.second.added);
    });
    if (least != m_fresh.end())
        m_fresh.erase(least);
}

std::vector<quarantine_datagram> quarantine_outbox::take(monotonic_time now,
                                                         const std::vector<instance_id>& peers,
                                                         const admission::quarantine& list)
{
    const std::chrono::duration<double> elapsed = now - m_paid_until;
    const auto earned = elapsed.count() * static_cast<double>(m_limits.bytes_per_second);
    m_bytes = std::min(m_bytes + std::max(earned, 0.0), static_cast<double>(m_limits.burst_bytes));
    m_paid_until = std::max(m_paid_until, now);
    std::erase_if(m_fresh, [now](const auto& entry) { return now - entry.second.added > fresh_time; });
    std::vector<quarantine_datagram> result;
    // The first crash needs no repetition at once: its record is new.
    if (list.is_empty())
        m_next_repeat = now + repeat_period;
    if (peers.empty())
        return result;
    take_fresh(now, peers, result);
    if (now >= m_next_repeat)
        take_repeated(now, peers, list, result);
    return result;
}

std::vector<quarantine_outbox::fresh_record*> quarantine_outbox::due_for(const instance_id& peer,
                                                                         monotonic_time now)
{
    std::vector<fresh_record*> result;
    for (auto& [key, fresh] : m_fresh) {
        const auto sent = fresh.sent.find(peer);
        if (sent == fresh.sent.end() || (sent->second.rounds < rounds && sent->second.next <= now))
            result.push_back(&fresh);
    }
    const auto rounds_of = [&peer](const fresh_record& fresh) {
        const auto sent = fresh.sent.find(peer);
        return sent == fresh.sent.end() ? 0 : sent->second.rounds;
    };
    std::ranges::stable_sort(result, [&](const fresh_record* left, const fresh_record* right) {
        return std::tuple(urgency(right->record), rounds_of(*left)) <
               std::tuple(urgency(left->record), rounds_of(*right));
    });
    return result;
}

bool quarantine_outbox::pay(std::size_t bytes)
{
    if (m_bytes < static_cast<double>(bytes))
        return false;
    m_bytes -= static_cast<double>(bytes);
    return true;
}

void quarantine_outbox::take_fresh(monotonic_time now, const std::vector<instance_id>& peers,
                                   std::vector<quarantine_datagram>& result)
{
    for (std::size_t count = 0; count < peers.size() && !m_fresh.empty(); ++count) {
        const auto& peer = peers[m_next_peer % peers.size()];
        auto due = due_for(peer, now);
        const auto [fitting, bytes] = content_of(
            due, [](const fresh_record* fresh) -> const quarantine_record& { return fresh->record; });
        // The peer whose turn it is keeps it until the budget allows its datagram.
        if (fitting > 0 && !pay(datagram_header_bytes + bytes))
            return;
        ++m_next_peer;
        if (fitting == 0)
            continue;
        auto& datagram = result.emplace_back(quarantine_datagram{peer, {}});
        for (std::size_t index = 0; index < fitting; ++index) {
            auto& fresh = *due[index];
            auto& sent = fresh.sent[peer];
            const auto age = std::chrono::duration_cast<milliseconds>(now - fresh.added);
            datagram.records.push_back(aged(fresh.record, age));
            sent.next = now + round_pauses.at(std::min(sent.rounds, round_pauses.size() - 1));
            ++sent.rounds;
        }
    }
}

void quarantine_outbox::take_repeated(monotonic_time now, const std::vector<instance_id>& peers,
                                      const admission::quarantine& list,
                                      std::vector<quarantine_datagram>& result)
{
    auto records = list.records(now, std::numeric_limits<std::size_t>::max());
    if (records.empty())
        return;
    std::ranges::sort(records, {}, &quarantine_record::key);
    const auto after = std::ranges::upper_bound(records, m_repeated, {}, &quarantine_record::key);
    std::rotate(records.begin(), after, records.end());
    const auto [fitting, bytes] = content_of(records, std::identity{});
    if (!pay(datagram_header_bytes + bytes))
        return;
    records.resize(fitting);
    const auto last = records.back().key;
    const auto& peer = peers[m_next_repeat_peer % peers.size()];
    result.push_back({peer, std::move(records)});
    m_next_repeat = now + repeat_period;
    // Each peer gets the same part before the next part begins.
    if (++m_next_repeat_peer % peers.size() == 0)
        m_repeated = last;
}

} // namespace siskinwharf::entry

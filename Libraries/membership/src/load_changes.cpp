#include "siskinwharf/membership/load_changes.h"

#include <algorithm>
#include <utility>

namespace siskinwharf::membership {

namespace {

/// Repeats between two digests are at most the repeat period divided by the poll period, which fit.
constexpr unsigned repeat_bits = 8;

} // namespace

std::size_t polls_per_send(std::size_t members)
{
    return std::max<std::size_t>((members + members_per_send - 1) / members_per_send, 1);
}

std::vector<peer::load_digest> load_changes::select(monotonic_time now,
                                                    const std::vector<peer::load_digest>& polled)
{
    std::vector<peer::load_digest> result;
    std::map<std::uint32_t, sent_digest> sent;
    for (const auto& digest : polled) {
        const auto known = m_sent.find(digest.endpoint_key);
        const bool repeats = known != m_sent.end() && known->second.digest.in_flight == digest.in_flight &&
                             known->second.digest.free_slots == digest.free_slots &&
                             now < known->second.sent_at + load_repeat_period;
        if (repeats) {
            sent.insert(*known);
            continue;
        }
        sent.insert_or_assign(digest.endpoint_key, sent_digest{digest, now});
        result.push_back(digest);
    }
    m_sent = std::move(sent);
    return result;
}

numbered_load number_load(const peer::load_digest& digest)
{
    return {digest, std::uint64_t{digest.sequence} << repeat_bits, milliseconds(0)};
}

numbered_load load_repeats::receive(monotonic_time now, const peer::load_digest& digest)
{
    const auto load = number_load(digest);
    m_received.insert_or_assign(digest.endpoint_key, received_digest{load, now});
    return load;
}

std::vector<numbered_load> load_repeats::due(monotonic_time now, std::size_t polls)
{
    const milliseconds age = load_poll_period * static_cast<std::int64_t>(polls) + load_poll_period / 2;
    std::erase_if(m_received, [now](const auto& entry) {
        return now > entry.second.received_at + load_repeat_period + 2 * load_poll_period;
    });
    std::vector<numbered_load> result;
    for (auto& [key, received] : m_received) {
        if (now < received.received_at + age)
            continue;
        ++received.load.sequence;
        received.load.age = age;
        result.push_back(received.load);
    }
    return result;
}

} // namespace siskinwharf::membership

#include "siskinwharf/peer/replay_guard.h"

#include <algorithm>

namespace siskinwharf::peer {

std::optional<replayed_frame> replay_guard::accept(const instance_id& sender, std::uint64_t sequence)
{
    auto found = m_senders.find(sender);
    if (found == m_senders.end()) {
        if (m_senders.size() >= sender_limit)
            drop_oldest_sender();
        found = m_senders.try_emplace(sender).first;
        found->second.highest = sequence;
    }
    auto& [highest, seen] = found->second;
    if (sequence > highest) {
        if (sequence - highest >= window) {
            seen.reset();
        } else {
            for (std::uint64_t skipped = highest + 1; skipped < sequence; ++skipped)
                seen.reset(skipped % window);
        }
        seen.set(sequence % window);
        highest = sequence;
        return std::nullopt;
    }
    if (highest - sequence >= window || seen.test(sequence % window))
        return replayed_frame{sender, sequence};
    seen.set(sequence % window);
    return std::nullopt;
}

void replay_guard::drop_oldest_sender()
{
    const auto oldest =
        std::min_element(m_senders.begin(), m_senders.end(), [](const auto& left, const auto& right) {
            return left.second.highest < right.second.highest;
        });
    m_senders.erase(oldest);
}

} // namespace siskinwharf::peer

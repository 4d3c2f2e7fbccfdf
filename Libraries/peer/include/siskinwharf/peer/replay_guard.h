#pragma once

#include <bitset>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "siskinwharf/peer/frame.h"

namespace siskinwharf::peer {

/// Detects frames that were received before. A sender counts its sequence up from its start time in
/// microseconds, so that a restarted process continues above its old frames. Not safe for concurrent use. The
/// first frame from a sender is always accepted: a process that has just started can be given one recorded
/// frame of each sender that is still valid, so messages must be idempotent.
class replay_guard {
public:
    /// Frames of one sender that may overtake each other; covers 40 s of a TCP queue at 100 frames/s.
    static constexpr std::size_t window = 4096;

    /// Senders that are remembered at once. At the limit, the one with the lowest sequence is dropped, which
    /// is the one that started earliest. Several times the 370 processes of the full scale.
    static constexpr std::size_t sender_limit = 2048;

    /// Records an authenticated frame. Returns the error if it must be ignored.
    [[nodiscard]] std::optional<replayed_frame> accept(const instance_id& sender, std::uint64_t sequence);

private:
    struct sender_window {
        std::uint64_t highest = 0;
        std::bitset<window> seen; ///< Bit n stands for the sequence that is n modulo the window.
    };

    void drop_oldest_sender();

    std::unordered_map<instance_id, sender_window> m_senders;
};

} // namespace siskinwharf::peer

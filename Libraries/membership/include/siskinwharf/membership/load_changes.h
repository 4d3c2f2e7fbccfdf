#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::membership {

/// How often the load of an endpoint is polled, and its digest sent if it changed.
inline constexpr milliseconds load_poll_period{1000};

/// An unchanged digest is sent again after this time, for members that joined later or lost a datagram.
inline constexpr milliseconds load_repeat_period{10'000};

/// Members up to which changed digests are sent after each poll. In larger failure domains they are sent
/// after every second poll, and so on: each message goes to all members, and its frame outweighs the digests.
/// With 30 members that keeps the digests below 2 KB/s when every load changes each second.
inline constexpr std::size_t members_per_send = 16;

/// How many polls there are for each sending of digests. `members` counts this process.
[[nodiscard]] std::size_t polls_per_send(std::size_t members);

/// Chooses the load digests that are worth sending. Not safe for concurrent use.
class load_changes {
public:
    /// Returns those of the polled loads that differ from what was sent last, except in their sequence, or
    /// that were sent too long ago. They count as sent. Endpoints that are not polled here are forgotten.
    [[nodiscard]] std::vector<peer::load_digest> select(monotonic_time now,
                                                        const std::vector<peer::load_digest>& polled);

private:
    struct sent_digest {
        peer::load_digest digest;
        monotonic_time sent_at;
    };

    std::map<std::uint32_t, sent_digest> m_sent;
};

/// A digest with a sequence that also rises while the poller sends nothing because nothing changed.
struct numbered_load {
    peer::load_digest digest;
    std::uint64_t sequence = 0;
    milliseconds age{0}; ///< Time since when the load is known to have been this one.

    auto operator<=>(const numbered_load&) const = default;
};

/// Numbers a digest that was just polled or received.
[[nodiscard]] numbered_load number_load(const peer::load_digest& digest);

/// Digests from peers. A poller that sends nothing says that the load is unchanged, and a receiver has to
/// apply it again: its own streams may have ended while others took their place, so that the sum stayed the
/// same. Not safe for concurrent use.
class load_repeats {
public:
    /// Takes in a digest from a peer.
    numbered_load receive(monotonic_time now, const peer::load_digest& digest);

    /// The digests to apply again, to be called each `load_poll_period`. A changed load would have arrived
    /// within `polls` periods and half a one for its way, so a silent one was the same that long ago; nothing
    /// is known of the time since. None from a poller that has been silent for longer than
    /// `load_repeat_period`, which may be gone.
    [[nodiscard]] std::vector<numbered_load> due(monotonic_time now, std::size_t polls);

private:
    struct received_digest {
        numbered_load load;
        monotonic_time received_at;
    };

    std::map<std::uint32_t, received_digest> m_received;
};

} // namespace siskinwharf::membership

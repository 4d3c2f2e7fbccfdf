#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::membership {

/// Periods and limits of a `member_table`.
struct member_options {
    milliseconds probe_period{1000};
    /// Round trips within a failure domain take about 1 ms; the rest allows for a busy process.
    milliseconds acknowledge_timeout{300};
    std::size_t indirect_probes = 3;
    /// From suspicion to death. A process that is frozen for less is never declared dead.
    milliseconds suspicion_time{6000};
    /// Between attempts to reach dead members and listed ones that never answered, which heals partitions.
    milliseconds reconnect_period{5000};
    /// Between exchanges of the full state with a random member, which repair what gossip missed.
    milliseconds synchronization_period{30000};
    /// How long dead and left members are remembered, so that old news does not bring them back.
    milliseconds departed_retention{3600 * 1000};
    /// A longer pause between two ticks means that this process was frozen, so its timers prove nothing.
    milliseconds longest_tick_gap{1000};
    /// Transmissions of an item of gossip, for each doubling of the number of members.
    std::uint32_t transmissions_factor = 3;
    /// An announced notice goes directly to each member until the member confirms it, at most this often:
    /// within the 2 s in which a leaving endpoint must be known.
    std::uint32_t announcements = 10;
    milliseconds announcement_period{200};
};

/// How often `member_table::tick` is to be called.
inline constexpr milliseconds member_tick_period{100};

/// How a message is to be sent.
enum class delivery : std::uint8_t {
    datagram,
    request, ///< Over TCP; the reply goes to `member_table::receive`.
    reply,   ///< The answer to the request that was received.
};

/// A message to send to another entry process.
struct outgoing_message {
    instance_id recipient;
    peer::address contact;
    peer::message body;
    delivery how = delivery::datagram;

    auto operator<=>(const outgoing_message&) const = default;
};

enum class member_change : std::uint8_t {
    alive,     ///< Joined, came back, or refuted a suspicion.
    suspected, ///< Did not answer; still counts as a member.
    dead,
    left,    ///< Left on its own.
    leaving, ///< The instance list announces its end; it still answers.
};

/// A change in the state of a member.
struct member_event {
    instance_id member;
    member_change change = member_change::alive;

    auto operator<=>(const member_event&) const = default;
};

/// What a `member_table` wants done after an input.
struct member_output {
    std::vector<outgoing_message> messages;
    std::vector<member_event> events;
    std::vector<peer::endpoint_notice> notices; ///< From peers; for `endpoint_directory::apply_notices`.
};

/// One entry process in the instance list.
struct listed_instance {
    instance_id instance;
    peer::address contact;
    bool leaving = false;

    auto operator<=>(const listed_instance&) const = default;
};

/// A member as others see it.
struct member_info {
    instance_id member;
    peer::address contact;
    peer::member_state state = peer::member_state::alive;
    std::uint64_t incarnation = 0;
    bool leaving = false;

    auto operator<=>(const member_info&) const = default;
};

} // namespace siskinwharf::membership

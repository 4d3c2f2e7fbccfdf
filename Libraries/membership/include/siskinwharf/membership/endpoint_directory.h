#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::membership {

/// Where a change in the state of an endpoint was learned.
enum class endpoint_source : std::uint8_t { instance_list, reclaim_notice, refusal, peer, probe };

/// A change in the state of an endpoint.
struct endpoint_event {
    endpoint_id endpoint;
    peer::endpoint_state state = peer::endpoint_state::live;
    endpoint_source source = endpoint_source::instance_list;

    auto operator<=>(const endpoint_event&) const = default;
};

/// What an `endpoint_directory` wants done after an input.
struct endpoint_changes {
    std::vector<endpoint_event> events;
    std::vector<peer::endpoint_notice> announce; ///< For `member_table::announce`: first learned here.
    std::vector<peer::endpoint_notice> relay;    ///< For `member_table::relay`: learned from a peer.

    auto operator<=>(const endpoint_changes&) const = default;
};

/// One endpoint in the instance list.
struct listed_endpoint {
    endpoint_id endpoint;
    std::uint64_t started = 0; ///< Milliseconds since the epoch.
    bool leaving = false;

    auto operator<=>(const listed_endpoint&) const = default;
};

/// Consecutive probes without an answer after which an endpoint is dead. One lost answer is common under
/// load; a stream that breaks is seen by the request path at once.
inline constexpr std::uint32_t probes_until_dead = 3;

/// How long departed endpoints are remembered after the instance list no longer shows them.
inline constexpr seconds departed_endpoint_retention{3600};

/// The endpoints of one failure domain. The instance list names them; reclaim notices, endpoint refusals,
/// peers and probes correct it. What is known about an endpoint is ordered by its incarnation, then by state
/// (live, leaving, dead), and never moves back in this order: a stale instance list cannot bring a leaving or
/// dead endpoint back, only a newer start time can. Not safe for concurrent use.
class endpoint_directory {
public:
    /// Takes the endpoints from the instance list. An endpoint missing from it stays until probes fail.
    [[nodiscard]] endpoint_changes apply_instance_list(monotonic_time now,
                                                       const std::vector<listed_endpoint>& endpoints);

    /// A reclaim notice, or the endpoint's refusal of new work. `unix_time` is in milliseconds; it stands for
    /// the incarnation of an endpoint that the lagging list does not show yet, which started before.
    [[nodiscard]] endpoint_changes report_leaving(monotonic_time now, const endpoint_id& endpoint,
                                                  endpoint_source source, std::uint64_t unix_time);

    /// Notices from peers.
    [[nodiscard]] endpoint_changes apply_notices(monotonic_time now,
                                                 const std::vector<peer::endpoint_notice>& notices);

    /// A probe that was answered. A dead endpoint that answers is live again under the next incarnation,
    /// which is still below that of any restart. A leaving endpoint stays leaving although it answers.
    /// Ignores endpoints that are not known.
    [[nodiscard]] endpoint_changes probe_answered(monotonic_time now, const endpoint_id& endpoint);

    /// A probe without an answer.
    [[nodiscard]] endpoint_changes probe_failed(monotonic_time now, const endpoint_id& endpoint);

    /// The state of an endpoint; dead if it is not known.
    [[nodiscard]] peer::endpoint_state state_of(const endpoint_id& endpoint) const;

    /// Endpoints in a state, in order.
    [[nodiscard]] std::vector<endpoint_id> endpoints(peer::endpoint_state state) const;

    /// Leaving and dead endpoints, for a `member_sync`.
    [[nodiscard]] std::vector<peer::endpoint_notice> departed() const;

private:
    struct record {
        peer::endpoint_state state = peer::endpoint_state::live;
        std::uint64_t incarnation = 0;
        std::uint32_t failed_probes = 0;
        bool listed = false;
        monotonic_time state_since;
    };

    bool apply(monotonic_time now, const peer::endpoint_notice& notice, endpoint_source source,
               endpoint_changes& changes);

    std::map<endpoint_id, record> m_endpoints;
};

} // namespace siskinwharf::membership

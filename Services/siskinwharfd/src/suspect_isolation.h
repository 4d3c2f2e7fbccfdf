#pragma once

#include <atomic>
#include <compare>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "siskinwharf/admission/isolation.h"
#include "siskinwharf/routing/routing_request.h"
#include "siskinwharf/routing/routing_table.h"

namespace siskinwharf::entry {

/// What an entry process answers a peer that wants an endpoint for a suspect.
struct isolation_answer {
    bool granted = false;
    std::uint32_t in_flight = 0; ///< Own requests that still run on the endpoint.

    auto operator<=>(const isolation_answer&) const = default;
};

/// How the other entry processes of the failure domain are asked. Both may be called from any thread.
struct isolation_peers {
    /// Whether all of them keep the endpoint clear for the suspect, at `give_up_at` at the latest.
    std::function<boost::asio::awaitable<bool>(endpoint_id, admission::content_key,
                                               monotonic_time give_up_at)>
        claim;
    std::function<void(endpoint_id, admission::content_key)> release;
};

/// Runs suspects alone on endpoints that it reserves for them. Reservations are kept here and not as states
/// in the routing table: the control thread writes those, and a concurrent change could undo `leaving`. Safe
/// for concurrent use.
class suspect_isolation {
public:
    /// The table must outlive this object.
    explicit suspect_isolation(const routing::routing_table& table) : m_table(table) {}

    /// To be called before any request runs. Without peers, isolation holds in this process only.
    void set_peers(isolation_peers peers) { m_peers = std::move(peers); }
    /// A peer wants an endpoint for a suspect for a time; a time of zero gives it back. Refused while the
    /// endpoint serves another suspect, and while a copy of the suspect runs here.
    isolation_answer hold_for_peer(const instance_id& peer, const endpoint_id& endpoint,
                                   const admission::content_key& suspect, milliseconds time);

    /// Waits for an endpoint that runs nothing else; nothing if there is none until `give_up_at`. A slot must
    /// be given back with `release`. The waiting coroutine may be destroyed at any time.
    boost::asio::awaitable<std::optional<routing::chosen_endpoint>>
    acquire(admission::content_key key, routing::routing_request request, monotonic_time give_up_at);
    /// The suspect has left the endpoint, after its slot was freed.
    void release(const routing::target& target, const endpoint_id& endpoint);
    /// Whether any endpoint is reserved. Takes no lock.
    [[nodiscard]] bool any_reserved() const { return m_reserved_count.load() != 0; }
    /// Endpoints of the target that must get no healthy request.
    [[nodiscard]] std::vector<endpoint_id> reserved(const routing::target& target) const;
    [[nodiscard]] bool is_reserved(const routing::target& target, const endpoint_id& endpoint) const;

private:
    struct target_state {
        std::list<admission::content_key> waiting; ///< In the order of arrival.
        std::map<endpoint_id, admission::content_key> running;
        std::vector<endpoint_id> reserved; ///< Sorted.
    };
    using place = std::list<admission::content_key>::iterator;
    class ticket;
    class claim;
    /// An endpoint that a peer uses for a suspect.
    struct peer_hold {
        instance_id peer;
        admission::content_key suspect;
        monotonic_time expires;
    };

    /// Plans anew and returns the endpoint on which the suspect may start now. The caller holds the mutex.
    std::optional<endpoint_id> plan(target_state& state,
                                    const std::vector<admission::isolation_endpoint>& endpoints,
                                    const admission::content_key* key);
    void plan_without_start(target_state& state, const routing::target& target);
    [[nodiscard]] std::vector<admission::isolation_endpoint>
    endpoints_of(const target_state& state, const routing::target& target) const;
    /// Starts the suspect if it may run now. Sets `possible` to whether waiting can help.
    std::optional<routing::chosen_endpoint>
    try_start(const admission::content_key& key, const routing::routing_request& request, bool& possible);

    /// The caller holds the mutex.
    void drop_expired_holds() const;
    [[nodiscard]] bool runs_here(const endpoint_id& endpoint, const admission::content_key& suspect) const;

    const routing::routing_table& m_table;
    isolation_peers m_peers;
    /// With the holds of peers, expired ones included.
    mutable std::atomic<std::size_t> m_reserved_count{0};
    mutable std::mutex m_mutex;
    std::map<routing::target, target_state> m_targets;
    mutable std::map<endpoint_id, peer_hold> m_holds;
};

} // namespace siskinwharf::entry

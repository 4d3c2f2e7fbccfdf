#pragma once

#include <atomic>
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

/// Runs suspects alone on endpoints that it reserves for them. Reservations are kept here and not as states
/// in the routing table: the control thread writes those, and a concurrent change could undo `leaving`. Safe
/// for concurrent use.
class suspect_isolation {
public:
    /// The table must outlive this object.
    explicit suspect_isolation(const routing::routing_table& table) : m_table(table) {}

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

    const routing::routing_table& m_table;
    std::atomic<std::size_t> m_reserved_count{0};
    mutable std::mutex m_mutex;
    std::map<routing::target, target_state> m_targets;
};

} // namespace siskinwharf::entry

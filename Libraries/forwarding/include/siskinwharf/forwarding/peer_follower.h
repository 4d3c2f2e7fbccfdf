#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "siskinwharf/forwarding/peer_exchange.h"
#include "siskinwharf/forwarding/update_fetch_plan.h"
#include "siskinwharf/http/client.h"

namespace siskinwharf::forwarding {

/// What a `peer_follower` needs of the owner of the items.
struct followed_items {
    /// Whether an item is fetched from peers that have had a newer version for this time.
    std::function<bool(shared_item, milliseconds)> is_fetched;
    /// Applies a peer's answer to a request for one item. Returns whether it held a newer version of it.
    std::function<bool(shared_item, const std::string&)> apply;
};

/// Fetches newer versions of the configuration and of the endpoint list from peers. Each item is fetched by
/// itself, so that a change of the list does not wait for a large configuration.
class peer_follower {
public:
    peer_follower(boost::asio::io_context& context, http::client& client, peer_exchange& peers,
                  followed_items items);

    void start();
    /// Whether an item is to be read from the store because peers have not delivered it in time.
    [[nodiscard]] bool must_read_store(shared_item item) const;
    [[nodiscard]] const update_fetch_plan& plan(shared_item item) const;

private:
    boost::asio::awaitable<void> run();
    /// Asks a peer if one is to be asked now. Returns whether a newer version is wanted.
    bool begin_fetches(shared_item item);
    boost::asio::awaitable<void> fetch(shared_item item, update_offer from);
    void log_failure(shared_item item, const update_offer& from, monotonic_time asked,
                     const std::string& reason) const;
    [[nodiscard]] update_fetch_plan& plan_of(shared_item item);

    boost::asio::io_context& m_context;
    http::client& m_client;
    peer_exchange& m_peers;
    followed_items m_items;
    boost::asio::steady_timer m_timer; ///< Interval between checks for newer versions at peers.
    update_fetch_plan m_configuration{shared_item::configuration};
    update_fetch_plan m_list{shared_item::endpoint_list};
};

} // namespace siskinwharf::forwarding

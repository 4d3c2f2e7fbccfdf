#pragma once

#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "siskinwharf/dispatch/endpoint_listing.h"
#include "siskinwharf/forwarding/deployment_store.h"
#include "siskinwharf/forwarding/peer_exchange.h"
#include "siskinwharf/forwarding/traffic_state.h"
#include "siskinwharf/http/client.h"

namespace siskinwharf::forwarding {

/// Keeps the configuration and the list of endpoints up to date: from the store, and from peers while the
/// store does not answer this process.
class deployment_watch {
public:
    deployment_watch(boost::asio::io_context& context, deployment_store& store, http::client& client,
                     traffic_state& state, peer_exchange& peers, std::function<void()> on_configuration);

    void start();
    /// Registers this process so that others find it.
    void register_process(registered_process self);

    /// What this process knows, for peers: JSON with the texts as they were stored.
    [[nodiscard]] std::string encode_state() const;

private:
    boost::asio::awaitable<void> watch_configuration();
    boost::asio::awaitable<void> watch_endpoints();
    boost::asio::awaitable<void> watch_peers();
    boost::asio::awaitable<void> registration(registered_process self);
    boost::asio::awaitable<void> expire_endpoints();

    void take_configuration(const std::string& text, const char* source);
    enum class list_source { store_list, store_changes, peer_list };
    void take_endpoints(const endpoint_changes& changes, list_source source);
    void take_peer_state(const std::string& body);
    void endpoint_store_lost(const std::string& reason);
    void endpoint_store_regained();
    void publish_endpoints();
    void remember(const stored_endpoint& endpoint);
    boost::asio::awaitable<void> pause(milliseconds time);

    boost::asio::io_context& m_context;
    deployment_store& m_store;
    http::client& m_client;
    traffic_state& m_state;
    peer_exchange& m_peers;
    std::function<void()> m_on_configuration;
    dispatch::endpoint_listing m_listing;
    std::string m_configuration_text;
    std::map<endpoint_id, std::string> m_endpoint_texts;
    std::uint64_t m_list_version = 0;
    bool m_is_configuration_lost = true;
    bool m_is_list_lost = true;
    bool m_has_list = false;
};

} // namespace siskinwharf::forwarding

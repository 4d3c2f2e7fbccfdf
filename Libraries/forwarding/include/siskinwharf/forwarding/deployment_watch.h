#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "siskinwharf/dispatch/endpoint_list_cache.h"
#include "siskinwharf/forwarding/deployment_store.h"
#include "siskinwharf/forwarding/endpoint_change_log.h"
#include "siskinwharf/forwarding/peer_exchange.h"
#include "siskinwharf/forwarding/peer_follower.h"
#include "siskinwharf/forwarding/process_registrar.h"
#include "siskinwharf/forwarding/traffic_state.h"
#include "siskinwharf/http/client.h"

namespace siskinwharf::forwarding {

/// Keeps the configuration and the list of endpoints up to date. Reads them from the store, or from peers
/// while the store does not answer this process. In large failure domains only two processes read the store,
/// and the others follow them.
class deployment_watch {
public:
    deployment_watch(boost::asio::io_context& context, deployment_store& store, http::client& client,
                     traffic_state& state, peer_exchange& peers, std::function<void()> on_configuration);

    void start();
    /// Registers this process in the store so that peers can discover it, and reads the registered processes
    /// periodically.
    void register_process(registered_process self);
    /// Begins to remove the registration of this process, which stops as planned.
    void withdraw_registration() { m_registrar.withdraw(); }
    [[nodiscard]] bool is_registration_withdrawn() const { return m_registrar.is_withdrawn(); }

    /// Encodes the configuration and the endpoint entries that are newer than the given versions, as JSON
    /// with the stored texts. Served to peers.
    [[nodiscard]] std::string encode_state(const known_versions& versions) const;

private:
    boost::asio::awaitable<void> watch_configuration();
    boost::asio::awaitable<void> watch_endpoints();
    /// The newest era of the store that this process has seen or heard of.
    [[nodiscard]] std::uint64_t known_era() const;
    boost::asio::awaitable<void> expire_endpoints();

    /// Activates a configuration that was read in an era of the store, if it is newer than the present one.
    void apply_configuration(const std::string& text, std::uint64_t era, configuration_source source);
    void log_outdated_configuration(const configuration_position& read, configuration_source source) const;
    [[nodiscard]] known_versions versions() const;
    enum class list_source { store_list, store_changes, peer_list, peer_changes };
    /// The source for log lines: `store` or `peer`.
    [[nodiscard]] static std::string_view name_of(list_source source);
    void apply_endpoints(endpoint_changes changes, list_source source);
    /// Whether an item is fetched from peers that have had a newer version for this time.
    [[nodiscard]] bool is_fetched(shared_item item, milliseconds missing) const;
    /// Applies a peer's answer to a request for an item. Returns whether it held a newer version of it.
    bool apply_peer_state(shared_item item, const std::string& body);
    void apply_peer_list(const store_position& position, const endpoint_change_log::changes& list);
    /// Whether peers keep an item up to date, and have it in time.
    [[nodiscard]] bool follows_peers(shared_item item) const;
    void configuration_store_lost(const std::string& reason);
    void configuration_store_regained();
    void endpoint_store_lost(const std::string& reason);
    void endpoint_store_regained();
    void publish_endpoints();
    [[nodiscard]] bool follows_peers() const;
    void record_store_answer(monotonic_time& answered);
    [[nodiscard]] milliseconds long_poll_time() const;
    boost::asio::awaitable<void> pause(milliseconds time);

    boost::asio::io_context& m_context;
    deployment_store& m_store;
    http::client& m_client;
    traffic_state& m_state;
    peer_exchange& m_peers;
    std::function<void()> m_on_configuration;
    process_registrar m_registrar;
    peer_follower m_follower;
    dispatch::endpoint_list_cache m_endpoint_list;
    std::string m_configuration_text;
    endpoint_change_log m_entries;
    monotonic_time m_configuration_answered{};
    monotonic_time m_list_answered{};
    store_position m_list_position;
    configuration_position m_configuration_position;
    bool m_is_configuration_lost = true;
    bool m_is_list_lost = true;
    bool m_has_list = false;
};

} // namespace siskinwharf::forwarding

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "siskinwharf/dispatch/endpoint_list_cache.h"
#include "siskinwharf/forwarding/deployment_store.h"
#include "siskinwharf/forwarding/endpoint_change_log.h"
#include "siskinwharf/forwarding/peer_exchange.h"
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
    boost::asio::awaitable<void> watch_peers();
    /// The newest era of the store that this process has seen or heard of.
    [[nodiscard]] std::uint64_t known_era() const;
    boost::asio::awaitable<void> expire_endpoints();

    /// Activates a configuration that was read in an era of the store, if it is newer than the present one.
    void apply_configuration(const std::string& text, std::uint64_t era, configuration_source source);
    void log_outdated_configuration(const configuration_position& read, configuration_source source) const;
    /// Notes since when a peer is known to have a newer configuration.
    void note_announced(const std::optional<newer_peer>& newer);
    [[nodiscard]] known_versions versions() const;
    enum class list_source { store_list, store_changes, peer_list, peer_changes };
    /// The source for log lines: `store` or `peer`.
    [[nodiscard]] static std::string_view name_of(list_source source);
    void apply_endpoints(endpoint_changes changes, list_source source);
    /// Whether to fetch now what a peer has and this process does not.
    [[nodiscard]] bool is_fetch_due() const;
    void apply_peer_state(const std::string& body);
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
    dispatch::endpoint_list_cache m_endpoint_list;
    std::string m_configuration_text;
    endpoint_change_log m_entries;
    boost::asio::steady_timer m_peer_timer; ///< Interval between checks for newer versions at peers.
    monotonic_time m_configuration_answered{};
    monotonic_time m_list_answered{};
    store_position m_list_position;
    configuration_position m_configuration_position;
    /// Since when a peer is known to have a newer configuration.
    std::optional<monotonic_time> m_newer_configuration_seen;
    std::size_t m_failed_fetches = 0; ///< Since then.
    bool m_is_configuration_lost = true;
    bool m_is_list_lost = true;
    bool m_has_list = false;
};

} // namespace siskinwharf::forwarding

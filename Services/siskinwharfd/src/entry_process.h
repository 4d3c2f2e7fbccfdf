#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "admin_api.h"
#include "caller_api.h"
#include "claim_commit_service.h"
#include "claim_committer.h"
#include "claim_forwarder.h"
#include "control_loop.h"
#include "entry_core.h"
#include "peer_node.h"
#include "platform_sync.h"
#include "siskinwharf/http/server.h"
#include "summary_exchange.h"
#include "worker.h"

namespace siskinwharf::entry {

/// One entry process: its workers, its control thread (the calling one) and its listeners.
class entry_process {
public:
    /// Opens the listeners. Throws `http::listen_error`.
    explicit entry_process(const settings::settings& configured);
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;
    entry_process(entry_process&&) = delete;
    entry_process& operator=(entry_process&&) = delete;
    ~entry_process();

    /// Serves until SIGTERM or SIGINT, then finishes what it has, for at most the stop timeout.
    void run();

private:
    [[nodiscard]] platform_sync::observer make_observer();
    [[nodiscard]] peer_callbacks make_peer_callbacks();
    [[nodiscard]] forwarding_ports make_forwarding_ports();
    [[nodiscard]] instance_feed_ports make_instance_feed_ports();
    boost::asio::awaitable<claims::holder_reply>
    ask_holder(std::string holder, claims::claim_identity identity, claims::attempt_number attempt);
    boost::asio::awaitable<peer::locate_state> locate_here(request_id id);
    boost::asio::awaitable<bool> adopt(peer::request_record record);
    boost::asio::awaitable<void> watch_signals();
    boost::asio::awaitable<void> watch_readiness();
    boost::asio::awaitable<void> drain(monotonic_time give_up_at);
    /// Stops accepting, finishes what can be finished in time, hands over the rest and ends the process.
    boost::asio::awaitable<void> stop_within(milliseconds time);
    boost::asio::awaitable<void> hand_over_requests();
    boost::asio::awaitable<std::optional<http::address>> find_holder(request_id id);
    boost::asio::awaitable<std::optional<http::address>> find_holder_here(request_id id);
    void note_entry_instances(const std::vector<cloud::instance_record>& records);
    boost::asio::awaitable<std::size_t> count_active();
    /// Takes the connections that wait in the listen queues and ends all when what has arrived on them has
    /// been answered or refused.
    boost::asio::awaitable<void> end_connections();
    boost::asio::awaitable<std::size_t> count_connections();
    static boost::asio::awaitable<std::size_t> count_connections_of(const http::server& front);

    entry_core m_core;
    boost::asio::io_context m_control{1};
    http::client m_client;
    cloud::http_table_store m_table;
    claim_committer m_committer;
    claim_commit_service m_claim_service;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::vector<std::unique_ptr<caller_api>> m_apis;
    std::vector<std::unique_ptr<http::server>> m_servers;
    platform_sync m_platform;
    std::shared_ptr<peer_node> m_peers;
    claim_forwarder m_claim_forwarder;
    summary_exchange m_summaries;
    std::map<instance_id, http::address> m_entry_addresses;
    control_loop m_control_loop;
    admin_api m_admin_api{m_core, [this] {
                              return count_active();
                          }};
    std::unique_ptr<http::server> m_admin;
};

} // namespace siskinwharf::entry

#pragma once

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "admin_api.h"
#include "caller_api.h"
#include "claim_committer.h"
#include "entry_core.h"
#include "platform_sync.h"
#include "siskinwharf/http/server.h"
#include "worker.h"

namespace siskinwharf::entry {

/// One entry process: its workers, its control thread (the calling one) and its listeners.
class entry_process {
public:
    /// Opens the listeners. Throws `http::listen_error`.
    explicit entry_process(settings::settings configured);
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;
    entry_process(entry_process&&) = delete;
    entry_process& operator=(entry_process&&) = delete;
    ~entry_process();

    /// Serves until SIGTERM or SIGINT, then finishes what it has, for at most the stop timeout.
    void run();

private:
    boost::asio::awaitable<void> watch_signals();
    boost::asio::awaitable<void> watch_readiness();
    boost::asio::awaitable<void> drain();
    boost::asio::awaitable<std::size_t> count_active();

    entry_core m_core;
    boost::asio::io_context m_control{1};
    http::client m_client;
    platform::http_table_store m_table;
    claim_committer m_committer;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::vector<std::unique_ptr<caller_api>> m_apis;
    std::vector<std::unique_ptr<http::server>> m_servers;
    platform_sync m_platform;
    admin_api m_admin_api{m_core, [this] {
                              return count_active();
                          }};
    std::unique_ptr<http::server> m_admin;
};

} // namespace siskinwharf::entry

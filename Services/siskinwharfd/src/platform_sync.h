#pragma once

#include <functional>
#include <map>
#include <random>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "entry_core.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/platform/http_platform.h"

namespace siskinwharf::entry {

/// Keeps the sheet and the endpoints of this process up to date with the platform. Runs on the control
/// thread.
class platform_sync {
public:
    using leaving_handler = std::function<void(std::map<endpoint_id, monotonic_time>)>;

    /// `on_leaving` is called on the control thread with endpoints that began to leave and when each is gone.
    platform_sync(boost::asio::io_context& context, entry_core& core, http::client& client,
                  leaving_handler on_leaving);

    void start();
    /// Takes in what a request found out. Must be called on the control thread.
    void report(const endpoint_id& endpoint, endpoint_report report);
    /// Takes in reclaim notices: when each endpoint is gone. Must be called on the control thread.
    void announce(const std::map<endpoint_id, monotonic_time>& gone_at);

    /// Called on the control thread with each instance list, if set.
    std::function<void(const std::vector<platform::instance_record>&)> on_instances;

private:
    boost::asio::awaitable<void> poll_sheet();
    boost::asio::awaitable<void> poll_instances();
    boost::asio::awaitable<bool> fetch_sheet();
    void apply_instances(const std::vector<platform::instance_record>& records);
    void note_platform(bool answers);

    boost::asio::io_context& m_context;
    entry_core& m_core;
    leaving_handler m_on_leaving;
    platform::http_table_store m_table;
    platform::http_instance_list m_instances;
    std::mt19937_64 m_random{std::random_device{}()};
    bool m_platform_answers = true;
    /// Endpoints that died or are leaving, with the start time of the instance that did.
    std::map<endpoint_id, std::uint64_t> m_departed;
    std::map<endpoint_id, std::uint64_t> m_started;
};

} // namespace siskinwharf::entry

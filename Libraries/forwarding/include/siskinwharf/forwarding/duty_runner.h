#pragma once

#include <map>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "siskinwharf/cloud/table_store.h"
#include "siskinwharf/control/endpoint_planner.h"
#include "siskinwharf/control/lease_holder.h"
#include "siskinwharf/forwarding/duty_platform.h"
#include "siskinwharf/forwarding/peer_exchange.h"
#include "siskinwharf/forwarding/process_settings.h"
#include "siskinwharf/forwarding/software_record.h"
#include "siskinwharf/forwarding/traffic_state.h"
#include "siskinwharf/usage/report_scheduler.h"

namespace siskinwharf::forwarding {

/// Runs the tasks that only one process performs at a time: it reports usage and orders endpoints from the
/// platform. All processes compete for one lease in the store; its holder runs the tasks.
class duty_runner {
public:
    duty_runner(boost::asio::io_context& context, const process_settings& settings, cloud::table_store& store,
                duty_platform& platform, traffic_state& state, peer_exchange& peers,
                software_record& software, std::uint64_t start);
    duty_runner(const duty_runner&) = delete;
    duty_runner& operator=(const duty_runner&) = delete;
    duty_runner(duty_runner&&) = delete;
    duty_runner& operator=(duty_runner&&) = delete;
    ~duty_runner() = default;

    void start();
    /// Releases the lease and does not acquire it again.
    void stop();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> run_lease();
    boost::asio::awaitable<void> report_usage();
    boost::asio::awaitable<void> order_endpoints();
    boost::asio::awaitable<void> order_endpoints(const deployment::service& service);
    [[nodiscard]] control::service_snapshot snapshot_of(const deployment::service& service) const;
    void update_lease_state();
    [[nodiscard]] bool may_call_platform() const;
    [[nodiscard]] duty_holder holder() const;
    [[nodiscard]] static monotonic_time now();

    boost::asio::io_context& m_context;
    const process_settings m_settings;
    cloud::table_store& m_store;
    duty_platform& m_platform;
    traffic_state& m_state;
    peer_exchange& m_peers;
    control::lease_holder m_lease;
    usage::report_scheduler m_reports;
    software_record& m_software;
    std::optional<std::uint64_t> m_known_fencing;
    std::map<service_id, control::endpoint_planner> m_planners;
    monotonic_time m_next_order{};
    bool m_is_stopping = false;
};

} // namespace siskinwharf::forwarding

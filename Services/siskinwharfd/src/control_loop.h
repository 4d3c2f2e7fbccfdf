#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "capacity_executor.h"
#include "entry_core.h"
#include "model_assignment.h"
#include "order_endpoint.h"
#include "rollout_executor.h"
#include "siskinwharf/cloud/cloud_api.h"
#include "siskinwharf/cloud/table_store.h"
#include "siskinwharf/control/lease_holder.h"
#include "siskinwharf/control/order_planner.h"
#include "siskinwharf/http/client.h"

namespace siskinwharf::entry {

/// What the control loop acts through.
struct control_ports {
    std::unique_ptr<order_endpoint> endpoints;
    std::unique_ptr<cloud::cloud_api> cloud;
    std::function<monotonic_time()> clock = now;
};

/// Competes for the lease of the own failure domain and, while it holds it, gives orders to the endpoints and
/// to the cloud API and reads reclaim notices. Runs on the control thread.
class control_loop {
public:
    using leaving_handler = std::function<void(std::map<endpoint_id, monotonic_time>)>;

    /// `on_leaving` is called with instances that the cloud takes back and when each is gone, `on_rollout`
    /// with versions and drains of endpoints for all entry processes of the failure domain.
    control_loop(boost::asio::io_context& context, entry_core& core, cloud::table_store& table,
                 http::client& client, leaving_handler on_leaving,
                 rollout_executor::state_handler on_rollout);
    control_loop(boost::asio::io_context& context, entry_core& core, cloud::table_store& table,
                 control_ports ports, leaving_handler on_leaving, rollout_executor::state_handler on_rollout);

    void start();
    /// Takes in the instance list.
    void update(const std::vector<cloud::instance_record>& records) { m_records = records; }
    /// Does what is due: brings the lease up to date, then starts due orders, plans and reads, which may
    /// still run when this returns.
    boost::asio::awaitable<void> step();
    /// Gives the lease up and returns once the release is written, or after the time, or at once if this
    /// process does not hold the lease. `step` may run meanwhile. For the end of the process.
    boost::asio::awaitable<void> release(milliseconds limit);
    /// Fencing token while this process may give orders.
    [[nodiscard]] std::optional<std::uint64_t> fencing() const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> run_lease();
    boost::asio::awaitable<void> execute(control::send_order order, http::address target);
    boost::asio::awaitable<void> execute(control::read_back query, http::address target);
    boost::asio::awaitable<void> read_notices();
    void begin_release();
    void note_lease();
    void assign_orders(std::uint64_t fencing);
    void start_orders();
    void start_capacity(std::uint64_t fencing);
    void start_notices();
    [[nodiscard]] bool may_order() const;
    [[nodiscard]] bool is_permitted(monotonic_time time) const;
    /// If an order may be sent now, reports its start to the lease and returns the time of it.
    [[nodiscard]] std::optional<monotonic_time> begin_order();

    boost::asio::io_context& m_context;
    entry_core& m_core;
    cloud::table_store& m_table;
    control_ports m_ports;
    leaving_handler m_on_leaving;
    control::lease_holder m_lease;
    control::order_planner m_orders{control::order_settings{}};
    rollout_executor m_rollout;
    capacity_executor m_capacity;
    std::vector<cloud::instance_record> m_records;
    std::map<endpoint_id, assigned_model> m_assigned;
    std::optional<std::uint64_t> m_noted_fencing;
    monotonic_time m_capacity_at;
    monotonic_time m_notices_at;
    std::uint64_t m_last_notice = 0;
    bool m_is_planning_capacity = false;
    bool m_is_reading_notices = false;
    bool m_is_releasing = false;
};

} // namespace siskinwharf::entry

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "endpoint_versions.h"
#include "entry_core.h"
#include "instance_feed.h"
#include "siskinwharf/cloud/http_platform.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/membership/endpoint_directory.h"
#include "siskinwharf/sheet/poll_schedule.h"

namespace siskinwharf::entry {

/// Keeps the sheet and the endpoints of this process up to date with the platform. Runs on the control
/// thread.
class platform_sync {
public:
    /// Called on the control thread.
    struct observer {
        /// Endpoints began to leave; each is gone at its time.
        std::function<void(std::map<endpoint_id, monotonic_time>)> on_leaving;
        /// Endpoints are no longer drained for a change of their version.
        std::function<void(std::set<endpoint_id>)> on_restored;
        /// The instance list changed, or is handed out again.
        std::function<void(const std::vector<cloud::instance_record>&)> on_instances;
        /// This process learned something about an endpoint that its peers should know at once.
        std::function<void(const std::vector<peer::endpoint_notice>&)> announce;
        /// A peer's notice was news, to be passed on.
        std::function<void(const std::vector<peer::endpoint_notice>&)> relay;
    };

    platform_sync(boost::asio::io_context& context, entry_core& core, http::client& client,
                  instance_feed_ports peers, observer observer);

    void start();
    /// The instance list as this process shares it with its failure domain.
    [[nodiscard]] instance_feed& instances() { return m_instances; }
    /// Reads the sheet soon, because a newer one was announced.
    void expedite_sheet();
    /// Takes in what a request found out. Must be called on the control thread.
    void report(const endpoint_id& endpoint, endpoint_report report);
    /// Takes in what peers know about endpoints.
    void apply_notices(const std::vector<peer::endpoint_notice>& notices);
    /// Takes in the versions and drains that the lease holder of the failure domain reports.
    void apply_rollout(const peer::rollout_state& state) { carry_out(m_versions.apply(state, now())); }
    /// Takes in the result of a probe of an endpoint.
    void probe_ended(const endpoint_id& endpoint, bool answered);
    /// Endpoints of the own failure domain that are leaving or dead.
    [[nodiscard]] std::vector<peer::endpoint_notice> departed() const { return m_directory.departed(); }
    /// Takes in reclaim notices: when each endpoint is gone. Must be called on the control thread.
    void announce(const std::map<endpoint_id, monotonic_time>& gone_at);

private:
    boost::asio::awaitable<void> poll_sheet();
    boost::asio::awaitable<bool> fetch_sheet();
    /// Writes the sheet in force to the table, which shows an older one: it was restored from an older copy.
    /// Once for each version of that row.
    boost::asio::awaitable<void> write_back(std::optional<cloud::table_row> current);
    void apply_instances(const std::vector<cloud::instance_record>& records);
    void note_platform(bool answers);
    void update_directory(const std::vector<cloud::instance_record>& records);
    void carry_out(const membership::endpoint_changes& changes);
    void carry_out(const endpoint_versions::changes& changes);
    /// Sets the state of an endpoint from the directory, which knows more than the lagging list.
    void correct_state(routing::endpoint_info& info) const;

    boost::asio::io_context& m_context;
    entry_core& m_core;
    observer m_observer;
    cloud::http_table_store m_table;
    instance_feed m_instances;
    std::mt19937_64 m_random{std::random_device{}()};
    bool m_platform_answers = true;
    /// Version of the row of the current sheet, 0 without one, that was last found to be older.
    std::optional<std::uint64_t> m_corrected_row_version;
    sheet::poll_schedule m_sheet_schedule;
    boost::asio::steady_timer m_sheet_timer;
    membership::endpoint_directory m_directory;
    endpoint_versions m_versions;
    /// Endpoints of the own failure domain in the instance list.
    std::map<endpoint_id, cloud::instance_record> m_own_records;
    /// Endpoints in the routing table.
    std::set<endpoint_id> m_routed;
    /// Notice that the platform gave to leaving endpoints.
    std::map<endpoint_id, monotonic_time> m_gone_at;
};

} // namespace siskinwharf::entry

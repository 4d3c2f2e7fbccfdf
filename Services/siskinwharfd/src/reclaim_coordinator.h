#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "entry_core.h"
#include "live_request.h"
#include "siskinwharf/routing/reclaim_plan.h"

namespace siskinwharf::entry {

class worker;

/// Plans what happens to the streams of one worker when their endpoints are reclaimed, and asks the runners
/// to carry it out. Confined to the thread of its worker.
class reclaim_coordinator {
public:
    reclaim_coordinator(entry_core& core, worker& own);

    /// Endpoints are leaving; each is gone at its time. Notices of one wave come in one call, so that one
    /// plan spreads the streams of all of them.
    void on_leaving(const std::map<endpoint_id, monotonic_time>& gone_at);
    /// Endpoints are no longer drained for a change of their version.
    void on_restored(const std::set<endpoint_id>& endpoints);

private:
    using request_list = std::vector<std::shared_ptr<live_request>>;

    void plan();
    [[nodiscard]] routing::reclaim_snapshot describe(request_list& affected) const;
    void add_targets(routing::reclaim_snapshot& situation) const;
    void carry_out(const std::shared_ptr<live_request>& request, const routing::stream_plan& plan);
    boost::asio::awaitable<void> move_later(std::shared_ptr<live_request> request, move_request move,
                                            nanoseconds delay);
    boost::asio::awaitable<void> plan_again();

    entry_core& m_core;
    worker& m_worker;
    std::map<endpoint_id, monotonic_time> m_gone_at;
    bool m_planning_again = false;
};

} // namespace siskinwharf::entry

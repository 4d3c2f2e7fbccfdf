#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "claim_committer.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::entry {

/// Limits of what is taken from peers.
struct claim_service_limits {
    std::size_t maximum_writes = 64; ///< In one message.
    /// Writes without a result: half of those that the groups hold, so that peers cannot crowd out the calls
    /// of this process.
    std::size_t maximum_pending = 2048;
    std::size_t maximum_pending_bytes = std::size_t{16} * 1024 * 1024; ///< Their keys and values.
    milliseconds longest_wait{2'000};
};

/// Commits claim writes of peers in the groups of this process. Any member may be asked: which one the peers
/// pick decides only how many writes a group has. Confined to the control thread.
class claim_commit_service {
public:
    claim_commit_service(boost::asio::io_context& control, claim_committer& committer,
                         claim_service_limits limits = {})
        : m_control(control), m_committer(committer), m_limits(limits)
    {
    }

    /// Commits the writes of one message and answers within its wait. Refuses the message as a whole if it is
    /// over a limit or names rows other than claims, or if this process stops.
    boost::asio::awaitable<peer::claim_commit_reply> answer(peer::claim_commit_request request);
    /// Refuses further writes, because the process stops. Those without a result are finished.
    void stop_accepting() { m_accepting = false; }
    /// Writes without a result.
    [[nodiscard]] std::size_t pending() const { return m_pending; }

private:
    struct job {
        job(boost::asio::io_context& context, std::size_t writes)
            : done(context, boost::asio::steady_timer::time_point::max()), results(writes), remaining(writes)
        {
        }

        boost::asio::steady_timer done;
        std::vector<peer::claim_write_result> results;
        std::size_t remaining;
    };

    [[nodiscard]] bool accepts(const peer::claim_commit_request& request, std::size_t bytes) const;
    boost::asio::awaitable<void> commit_one(std::shared_ptr<job> of, std::size_t index,
                                            peer::claim_write write, monotonic_time limit);

    boost::asio::io_context& m_control;
    claim_committer& m_committer;
    claim_service_limits m_limits;
    bool m_accepting = true;
    std::size_t m_pending = 0;
    std::size_t m_pending_bytes = 0;
};

} // namespace siskinwharf::entry

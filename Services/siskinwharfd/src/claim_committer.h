#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "siskinwharf/claims/claim.h"
#include "siskinwharf/claims/claim_batcher.h"
#include "siskinwharf/claims/claim_cleanup.h"
#include "siskinwharf/claims/ended_attempts.h"
#include "siskinwharf/cloud/table_store.h"

namespace siskinwharf::entry {

/// Another way to the table than the groups of this process. Called on the control thread.
class claim_route {
public:
    claim_route() = default;
    claim_route(const claim_route&) = delete;
    claim_route& operator=(const claim_route&) = delete;
    claim_route(claim_route&&) = delete;
    claim_route& operator=(claim_route&&) = delete;
    virtual ~claim_route() = default;

    /// Commits a write, or returns nothing if the write certainly was not and will not be sent that way. Ends
    /// at the limit at the latest.
    virtual boost::asio::awaitable<std::optional<cloud::commit_result>> commit(cloud::table_write write,
                                                                               monotonic_time limit) = 0;
};

/// Commits the writes of all claims of the process in groups, and answers for its own attempts. State is
/// confined to the control thread; the awaitable functions may be called from any thread.
class claim_committer {
public:
    claim_committer(boost::asio::io_context& control, cloud::table_store& table);

    /// Tries another way first for each write of the process's own attempts. Must be called before the first
    /// write; the route must outlive the last one.
    void set_route(claim_route& route) { m_route = &route; }

    /// Starts to commit groups and to write open final rows in the background.
    void start();

    /// Commits a write, here or through the route. At the limit a write that was not sent to the table is
    /// `table_unavailable`, and one that was sent is `table_uncertain`.
    boost::asio::awaitable<cloud::commit_result> commit(cloud::table_write write, monotonic_time limit);
    /// Commits a write in the groups of this process. Must be awaited on the control thread.
    boost::asio::awaitable<cloud::commit_result> commit_here(cloud::table_write write, monotonic_time limit);
    boost::asio::awaitable<cloud::read_result> read(std::string key);
    /// Notes that an attempt is running here.
    boost::asio::awaitable<void> begin(claims::attempt_number attempt);
    /// Notes what peers that ask about a running attempt are told from now on.
    boost::asio::awaitable<void> update(claims::attempt_number attempt, claims::holder_reply reply);
    /// Notes that an attempt has ended: what peers that ask about it are told, and the row that is still to
    /// be written, if any.
    boost::asio::awaitable<void> end(claims::attempt_number attempt, claims::holder_reply reply,
                                     std::optional<claims::pending_final_write> open);
    /// What this process knows about an attempt of its own.
    boost::asio::awaitable<claims::holder_reply> status(claims::attempt_number attempt);

private:
    struct waiting_write {
        waiting_write(boost::asio::io_context& context, monotonic_time limit) : wake(context, limit) {}

        boost::asio::steady_timer wake;
        std::optional<cloud::commit_result> result;
    };

    boost::asio::awaitable<cloud::commit_result> route(cloud::table_write write, monotonic_time limit);
    boost::asio::awaitable<void> begin_here(claims::attempt_number attempt);
    boost::asio::awaitable<void> update_here(claims::attempt_number attempt, claims::holder_reply reply);
    boost::asio::awaitable<void> end_here(claims::attempt_number attempt, claims::holder_reply reply,
                                          std::optional<claims::pending_final_write> open);
    boost::asio::awaitable<claims::holder_reply> status_here(claims::attempt_number attempt);
    boost::asio::awaitable<void> commit_groups();
    boost::asio::awaitable<void> send_group(claims::write_batch group);
    boost::asio::awaitable<void> clean_up();
    boost::asio::awaitable<void> write_final_row(claims::cleanup_write write);

    boost::asio::io_context& m_control;
    cloud::table_store& m_table;
    claim_route* m_route = nullptr;
    claims::claim_batcher m_batcher{claims::batch_limits{}};
    claims::claim_cleanup m_cleanup{claims::cleanup_limits{}};
    std::map<claims::write_ticket, std::shared_ptr<waiting_write>> m_waiting;
    std::map<claims::attempt_number, claims::holder_reply> m_running;
    claims::ended_attempts m_ended;
    boost::asio::steady_timer m_wake;
};

} // namespace siskinwharf::entry

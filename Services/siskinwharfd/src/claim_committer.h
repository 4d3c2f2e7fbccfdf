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
#include "siskinwharf/platform/table_store.h"

namespace siskinwharf::entry {

/// Commits the writes of all claims of the process in groups, and answers for its own attempts. State is
/// confined to the control thread; the awaitable functions may be called from any thread.
class claim_committer {
public:
    claim_committer(boost::asio::io_context& control, platform::table_store& table);

    /// Starts to commit groups and to write open final rows in the background.
    void start();

    boost::asio::awaitable<platform::commit_result> commit(platform::table_write write);
    boost::asio::awaitable<platform::read_result> read(std::string key);
    /// Notes that an attempt is running here.
    boost::asio::awaitable<void> begin(claims::attempt_number attempt);
    /// Notes that an attempt has ended, with the row that is still to be written, if any.
    boost::asio::awaitable<void> end(claims::attempt_number attempt,
                                     std::optional<claims::claim_obligation> open);
    /// What this process knows about an attempt of its own.
    boost::asio::awaitable<claims::holder_reply> status(claims::attempt_number attempt);

private:
    struct waiting_write {
        explicit waiting_write(boost::asio::io_context& context)
            : wake(context, boost::asio::steady_timer::time_point::max())
        {
        }

        boost::asio::steady_timer wake;
        std::optional<platform::commit_result> result;
    };

    boost::asio::awaitable<platform::commit_result> commit_here(platform::table_write write);
    boost::asio::awaitable<void> begin_here(claims::attempt_number attempt);
    boost::asio::awaitable<void> end_here(claims::attempt_number attempt,
                                          std::optional<claims::claim_obligation> open);
    boost::asio::awaitable<claims::holder_reply> status_here(claims::attempt_number attempt);
    boost::asio::awaitable<void> commit_groups();
    boost::asio::awaitable<void> send_group(claims::write_batch group);
    boost::asio::awaitable<void> clean_up();
    boost::asio::awaitable<void> write_final_row(claims::cleanup_write write);

    boost::asio::io_context& m_control;
    platform::table_store& m_table;
    claims::claim_batcher m_batcher{claims::batch_limits{}};
    claims::claim_cleanup m_cleanup{claims::cleanup_limits{}};
    std::map<claims::write_ticket, std::shared_ptr<waiting_write>> m_waiting;
    std::map<claims::attempt_number, claims::holder_reply> m_running;
    boost::asio::steady_timer m_wake;
};

} // namespace siskinwharf::entry

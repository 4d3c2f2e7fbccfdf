#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "entry_core.h"
#include "live_request.h"
#include "reclaim_coordinator.h"
#include "sheet_view.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::entry {

/// What a caller that resumes an answer gets next.
struct answer_part {
    std::vector<std::string> tokens;
    std::uint64_t first_offset = 0;
    live_request::phase phase = live_request::phase::waiting;
    std::optional<http::refusal> failure;
    serving::answer_identity identity;
};

/// One thread with its own I/O context, client connections and requests. Requests never move between threads,
/// so that their path takes no lock.
class worker {
public:
    explicit worker(entry_core& core);
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    worker(worker&&) = delete;
    worker& operator=(worker&&) = delete;
    ~worker();

    void start();
    /// Ends the thread; requests in progress are dropped.
    void stop();

    [[nodiscard]] boost::asio::io_context& context() { return m_context; }
    [[nodiscard]] http::client& client() { return m_client; }
    [[nodiscard]] reclaim_coordinator& reclaims() { return m_reclaims; }

    // The functions below must be called on the worker's thread.

    /// The sheet in force, or null.
    [[nodiscard]] std::shared_ptr<const sheet_view> current_sheet();
    /// The histograms of an account and a class. Takes a lock only the first time.
    [[nodiscard]] const std::shared_ptr<telemetry::latency_histograms>&
    latencies(const account_id& account, const std::string& request_class);
    /// Registers a request and starts to run it. Returns the running one if the id is taken.
    std::shared_ptr<live_request> submit(request_spec spec);
    [[nodiscard]] std::shared_ptr<live_request> find(const account_id& account, const request_id& id) const;
    /// Requests that have not ended.
    [[nodiscard]] std::size_t active_requests() const;
    [[nodiscard]] const std::unordered_map<std::string, std::shared_ptr<live_request>>& requests() const
    {
        return m_requests;
    }

    /// Returns the tokens from `offset` on as soon as there are any or the request has ended; nothing if the
    /// request is not here. May be awaited from any thread.
    static boost::asio::awaitable<std::optional<answer_part>>
    read_answer(worker& owner, account_id account, request_id id, std::uint64_t offset);

    /// Whether this worker holds a request, by `<account>:<request id>`. May be awaited from any thread.
    static boost::asio::awaitable<peer::locate_state> locate(worker& owner, std::string key);
    /// Continues a request that a peer hands over. May be awaited from any thread.
    static boost::asio::awaitable<bool> adopt(worker& owner, peer::request_record record);
    /// The records of all requests that have not ended. May be awaited from any thread.
    static boost::asio::awaitable<std::vector<peer::request_record>> export_records(worker& owner);
    /// Ends a request whose record a peer has taken; its callers resume there. May be awaited from any
    /// thread.
    static boost::asio::awaitable<void> release(worker& owner, std::string key);
    /// Number of requests that have not ended. May be awaited from any thread.
    static boost::asio::awaitable<std::size_t> count_active(worker& owner);

private:
    boost::asio::awaitable<std::optional<answer_part>> read_answer_here(account_id account, request_id id,
                                                                        std::uint64_t offset);
    boost::asio::awaitable<std::size_t> count_active_here();
    boost::asio::awaitable<peer::locate_state> locate_here(std::string key);
    boost::asio::awaitable<bool> adopt_here(peer::request_record record);
    boost::asio::awaitable<std::vector<peer::request_record>> export_here();
    boost::asio::awaitable<void> release_here(std::string key);
    boost::asio::awaitable<void> expire_requests();
    boost::asio::awaitable<void> run_request(std::shared_ptr<live_request> request);

    entry_core& m_core;
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    http::client m_client;
    std::shared_ptr<const sheet_view> m_sheet;
    std::unordered_map<std::string, std::shared_ptr<live_request>> m_requests;
    std::map<std::pair<account_id, std::string>, std::shared_ptr<telemetry::latency_histograms>> m_latencies;
    reclaim_coordinator m_reclaims;
    std::thread m_thread;
};

} // namespace siskinwharf::entry

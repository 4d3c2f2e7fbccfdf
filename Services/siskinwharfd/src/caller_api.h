#pragma once

#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "claim_committer.h"
#include "entry_core.h"
#include "service_runner.h"
#include "siskinwharf/http/server.h"
#include "worker.h"

namespace siskinwharf::entry {

/// The HTTP interface towards callers, on one worker.
class caller_api {
public:
    /// `workers` holds all workers of the process, for requests that another one runs.
    caller_api(entry_core& core, worker& own, const std::vector<std::unique_ptr<worker>>& workers,
               claim_committer& committer, holder_query query);

    /// Answers one request. Throws `http::caller_disconnected`.
    boost::asio::awaitable<void> handle(http::request message, http::response_writer& writer);

private:
    boost::asio::awaitable<void> dispatch(http::request message, http::response_writer& writer);
    boost::asio::awaitable<void> create_completion(http::request message, http::response_writer& writer);
    boost::asio::awaitable<void> call_service(http::request message, http::response_writer& writer);
    boost::asio::awaitable<void> resume_answer(http::request message, http::response_writer& writer);
    boost::asio::awaitable<void> send_parts(worker& owner, account_id account, request_id id,
                                            answer_part first, http::response_writer& writer);
    /// Relays the rest of an answer from the peer that holds it. Returns false if there is none.
    boost::asio::awaitable<bool> relay_from_peer(const http::request& message, account_id account,
                                                 request_id id, http::response_writer& writer);
    /// Relays the rest of an answer whose entry process died from the engine that still runs it. Returns
    /// false if no engine of the failure domain knows the stream.
    boost::asio::awaitable<bool> relay_from_engine(const sheet_view& sheet, account_id account, request_id id,
                                                   std::uint64_t offset, http::response_writer& writer);
    boost::asio::awaitable<void> list_models(http::request message, http::response_writer& writer);
    boost::asio::awaitable<void> stream_answer(std::shared_ptr<live_request> request,
                                               http::response_writer& writer);
    boost::asio::awaitable<void> send_whole_answer(std::shared_ptr<live_request> request,
                                                   http::response_writer& writer);

    /// The account of the API key. Throws `request_refused`.
    [[nodiscard]] const sheet::account_entry& authenticate(const sheet_view& sheet,
                                                           const http::request& message) const;
    /// Checks a chat request against the sheet. Throws `request_refused`.
    [[nodiscard]] service_call admit_call(const sheet_view& sheet, http::request message) const;
    [[nodiscard]] request_spec admit(const sheet_view& sheet, const http::request& message);
    /// Throws `request_refused` once a stop has begun: new work goes elsewhere.
    void refuse_if_stopping() const;
    /// The sheet in force. Throws `request_refused` while the process is not ready.
    [[nodiscard]] std::shared_ptr<const sheet_view> require_sheet();

    entry_core& m_core;
    worker& m_worker;
    const std::vector<std::unique_ptr<worker>>& m_workers;
    claim_committer& m_committer;
    holder_query m_query;
};

} // namespace siskinwharf::entry

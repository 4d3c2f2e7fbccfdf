#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "claim_committer.h"
#include "entry_core.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/http/server.h"

namespace siskinwharf::entry {

/// One call to a plain service, as it was admitted.
struct service_call {
    account_id account;
    service_id service;
    http::request forwarded; ///< With the path that the service sees.
    bool idempotent = true;
    std::string idempotency_key; ///< Of a call that is not idempotent.
    std::string release_token;
    monotonic_time deadline;
};

/// Asks the entry process that holds a claim about its attempt.
using holder_query = std::function<boost::asio::awaitable<claims::holder_reply>(
    std::string holder, claims::claim_identity identity, claims::attempt_number attempt)>;

/// Carries out one call to a plain service. Idempotent calls are repeated elsewhere until the deadline;
/// others are sent once, under a claim. Runs on the thread of its worker.
class service_runner {
public:
    service_runner(entry_core& core, http::client& client, claim_committer& committer,
                   const holder_query& query, service_call call);

    /// Answers the caller. Throws `request_refused` and `http::caller_disconnected`.
    boost::asio::awaitable<void> run(http::response_writer& writer);

private:
    /// How one attempt to send ended.
    enum class send_end { answered, not_sent, broken };

    boost::asio::awaitable<void> run_idempotent(http::response_writer& writer);
    boost::asio::awaitable<void> run_claimed(http::response_writer& writer);
    /// Carries out one action of the claim and returns the next.
    boost::asio::awaitable<claims::claim_action> carry_out(claims::claim& claim, claims::claim_action action,
                                                           http::response_writer& writer);
    boost::asio::awaitable<claims::claim_action> send_claimed(claims::claim& claim,
                                                              http::response_writer& writer);
    /// Sends to one endpoint after another as long as nothing was sent.
    boost::asio::awaitable<send_end> send_once(http::response& answer);
    boost::asio::awaitable<void> answer(http::response_writer& writer, http::response whole);

    [[nodiscard]] routing::routing_request make_routing_request() const;
    [[noreturn]] static void refuse(const claims::refuse_call& reason);

    entry_core& m_core;
    http::client& m_client;
    claim_committer& m_committer;
    const holder_query& m_query;
    service_call m_call;
    std::vector<endpoint_id> m_excluded;
    bool m_answered = false;
    bool m_disconnected = false;
};

} // namespace siskinwharf::entry

#include "service_runner.h"

#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "pause.h"
#include "request_refused.h"
#include "siskinwharf/base/digest.h"
#include "siskinwharf/base/event_log.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;
using http::refusal_type;

namespace {

constexpr std::uint32_t maximum_sends = 4;
constexpr milliseconds retry_pause{50};
constexpr milliseconds refused_retry_after{1'000};

milliseconds time_left(monotonic_time deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - now());
    return std::max(left, milliseconds(1));
}

/// The endpoint says that it did not take the call because it is leaving.
bool refused_as_leaving(const http::response& answer)
{
    return answer.status == 409 && answer.body.find("\"leaving\"") != std::string::npos;
}

claims::attempt_number random_attempt()
{
    thread_local std::mt19937_64 generator([] {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }());
    return generator();
}

refusal_type type_of(claims::refusal_reason reason)
{
    switch (reason) {
    case claims::refusal_reason::table_unavailable:
    case claims::refusal_reason::contention:
        return refusal_type::claim_unavailable;
    case claims::refusal_reason::not_sent:
        return refusal_type::no_endpoint;
    case claims::refusal_reason::key_reused:
        return refusal_type::claim_conflict;
    case claims::refusal_reason::in_progress:
        return refusal_type::call_in_progress;
    case claims::refusal_reason::holder_lost:
    case claims::refusal_reason::unreadable_row:
        return refusal_type::claim_conflict;
    case claims::refusal_reason::connection_broken:
        return refusal_type::endpoint_failed;
    }
    return refusal_type::internal;
}

http::response stored_answer(const claims::stored_response& stored)
{
    if (!stored.body)
        throw request_refused({refusal_type::claim_conflict,
                               "the call was done; its response was too large to be kept", outcome::done});
    return {static_cast<int>(stored.status), {{"Content-Type", stored.content_type}}, *stored.body};
}

} // namespace

service_runner::service_runner(entry_core& core, http::client& client, claim_committer& committer,
                               const holder_query& query, service_call call)
    : m_core(core), m_client(client), m_committer(committer), m_query(query), m_call(std::move(call))
{
}

asio::awaitable<void> service_runner::run(http::response_writer& writer)
{
    if (m_call.idempotent)
        co_await run_idempotent(writer);
    else
        co_await run_claimed(writer);
}

asio::awaitable<void> service_runner::run_idempotent(http::response_writer& writer)
{
    for (std::uint32_t sends = 0; sends < maximum_sends && now() < m_call.deadline; ++sends) {
        http::response whole;
        const auto end = co_await send_once(whole);
        if (end == send_end::answered) {
            co_await answer(writer, std::move(whole));
            co_return;
        }
        if (end == send_end::not_sent)
            throw request_refused({refusal_type::no_endpoint, "no endpoint of the service takes the call",
                                   outcome::not_run, refused_retry_after});
        co_await pause_for(retry_pause);
    }
    throw request_refused({refusal_type::endpoint_failed, "every attempt at the service failed",
                           outcome::unknown, refused_retry_after});
}

asio::awaitable<void> service_runner::run_claimed(http::response_writer& writer)
{
    claims::claim_request request;
    request.identity = {m_call.account, m_call.idempotency_key};
    request.attempt = random_attempt();
    request.holder = m_core.settings.instance.value();
    request.request_digest =
        sha256_hex(m_call.forwarded.method + " " + m_call.forwarded.path + "\n" + m_call.forwarded.body);
    request.release_token = m_call.release_token;
    const auto attempt = request.attempt;
    co_await m_committer.begin(attempt);
    claims::claim claim(std::move(request), hmac_sha256(m_core.settings.peer_key, "release token"));
    std::exception_ptr failure;
    try {
        auto action = claim.start();
        while (!std::holds_alternative<claims::claim_settled>(action) &&
               !std::holds_alternative<claims::no_action>(action))
            action = co_await carry_out(claim, std::move(action), writer);
    } catch (const std::exception&) {
        failure = std::current_exception();
    }
    co_await m_committer.end(attempt, claim.reply_to_peer(), claim.take_pending_final_write());
    if (failure)
        std::rethrow_exception(failure);
    if (m_disconnected)
        throw http::caller_disconnected("the caller went away during the call");
}

asio::awaitable<claims::claim_action>
service_runner::carry_out(claims::claim& claim, claims::claim_action action, http::response_writer& writer)
{
    if (auto* write = std::get_if<claims::write_table>(&action)) {
        // Once the caller has its answer, nobody waits for the final row.
        const auto limit = m_answered ? monotonic_time::max() : m_call.deadline;
        const auto result = co_await m_committer.commit(std::move(write->write), limit);
        if (std::holds_alternative<cloud::table_uncertain>(result))
            log_event(event::claim_uncertain, {{"account", m_call.account.value()}});
        co_return claim.on_commit(result);
    }
    if (auto* read = std::get_if<claims::read_table>(&action)) {
        co_await pause_for(read->delay);
        if (now() >= m_call.deadline)
            co_return claim.give_up();
        co_return claim.on_read(co_await m_committer.read(std::move(read->key)));
    }
    if (std::holds_alternative<claims::may_send>(action))
        co_return co_await send_claimed(claim, writer);
    if (const auto* ask = std::get_if<claims::ask_holder>(&action)) {
        const claims::claim_identity identity{m_call.account, m_call.idempotency_key};
        if (ask->holder == m_core.settings.instance.value())
            co_return claim.on_holder_reply(co_await m_committer.status(ask->attempt));
        co_return claim.on_holder_reply(co_await m_query(ask->holder, identity, ask->attempt));
    }
    if (const auto* refused = std::get_if<claims::refuse_call>(&action)) {
        if (!m_answered)
            refuse(*refused);
        co_return claims::claim_settled{};
    }
    if (const auto* stored = std::get_if<claims::return_stored>(&action))
        co_await answer(writer, stored_answer(stored->response));
    co_return claims::claim_settled{};
}

asio::awaitable<claims::claim_action> service_runner::send_claimed(claims::claim& claim,
                                                                   http::response_writer& writer)
{
    http::response whole;
    switch (co_await send_once(whole)) {
    case send_end::not_sent:
        co_return claim.on_not_sent();
    case send_end::broken:
        co_return claim.on_connection_broken();
    case send_end::answered:
        break;
    }
    const auto type = std::string(whole.find_header("Content-Type").value_or("application/octet-stream"));
    auto final_write = claim.on_finished(
        claims::make_stored_response(static_cast<unsigned>(whole.status), type, whole.body));
    // Before the caller has the response: from then on it may send the call again, through another process,
    // while the final row is still being written.
    co_await m_committer.update(claim.attempt(), claim.reply_to_peer());
    co_await answer(writer, std::move(whole));
    co_return final_write;
}

asio::awaitable<service_runner::send_end> service_runner::send_once(http::response& answer)
{
    while (now() < m_call.deadline) {
        auto decision = m_core.router.choose(make_routing_request(), now());
        auto* chosen = std::get_if<routing::chosen_endpoint>(&decision);
        if (chosen == nullptr)
            co_return send_end::not_sent;
        const auto endpoint = chosen->endpoint;
        const http::address target{endpoint->address, endpoint->port};
        try {
            answer = co_await m_client.call(target, m_call.forwarded, time_left(m_call.deadline),
                                            m_call.idempotent);
        } catch (const http::call_error& error) {
            m_excluded.push_back(endpoint->id);
            log_event(event::attempt_failed, {{"endpoint", endpoint->id.value()}, {"reason", error.what()}});
            if (error.stage() != http::call_stage::before_send)
                co_return send_end::broken;
            continue;
        }
        chosen->guard.release(now());
        if (!refused_as_leaving(answer))
            co_return send_end::answered;
        // The endpoint's own word that it did not take the call: the claim still permits one send.
        m_excluded.push_back(endpoint->id);
        if (m_core.report_endpoint)
            m_core.report_endpoint(endpoint->id, endpoint_report::leaving);
    }
    co_return send_end::not_sent;
}

asio::awaitable<void> service_runner::answer(http::response_writer& writer, http::response whole)
{
    m_answered = true;
    // Only what describes the body is passed on; connection headers belong to each hop.
    const auto type = whole.find_header("Content-Type");
    http::response forwarded{whole.status, {}, {}};
    if (type)
        forwarded.headers.push_back({"Content-Type", std::string(*type)});
    forwarded.body = std::move(whole.body);
    try {
        co_await writer.send(std::move(forwarded));
    } catch (const http::caller_disconnected&) {
        // The claim still has to record that the call is done.
        m_disconnected = true;
    }
}

routing::routing_request service_runner::make_routing_request() const
{
    routing::routing_request result;
    result.account = m_call.account;
    result.serves = routing::service_target{m_call.service};
    result.region = m_core.settings.region;
    result.domain = m_core.settings.failure_domain;
    result.excluded = m_excluded;
    return result;
}

void service_runner::refuse(const claims::refuse_call& reason)
{
    http::refusal refusal{type_of(reason.reason), std::string(claims::to_string(reason.reason)),
                          reason.result};
    if (reason.result == outcome::not_run || reason.reason == claims::refusal_reason::in_progress)
        refusal.retry_after = refused_retry_after;
    if (!reason.release_token.empty())
        refusal.release_token = reason.release_token;
    throw request_refused(std::move(refusal));
}

} // namespace siskinwharf::entry

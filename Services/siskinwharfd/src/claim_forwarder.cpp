#include "claim_forwarder.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "claim_messages.h"
#include "entry_core.h"
#include "siskinwharf/base/event_log.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

/// Whether the error means that the peer did not receive the request.
bool was_not_sent(const peer::transport_error& error)
{
    return std::holds_alternative<peer::peer_unreachable>(error) ||
           std::holds_alternative<peer::too_many_requests>(error) ||
           std::holds_alternative<peer::frame_too_long>(error);
}

} // namespace

claim_forwarder::claim_forwarder(asio::io_context& control, forwarding_ports ports, forwarding_limits limits)
    : m_control(control), m_ports(std::move(ports)), m_limits(limits)
{
}

void claim_forwarder::waiting_write::end(std::optional<cloud::commit_result> with)
{
    result = std::move(with);
    ended = true;
    wake.cancel();
}

asio::awaitable<std::optional<cloud::commit_result>> claim_forwarder::commit(cloud::table_write write,
                                                                             monotonic_time limit)
{
    if (!write.value || m_queue.size() >= m_limits.maximum_queued || !usable_committer())
        co_return std::nullopt;
    const auto waiting = std::make_shared<waiting_write>(m_control, std::move(write), limit);
    m_queue.push_back(waiting);
    send_groups();
    while (!waiting->ended && now() < limit)
        co_await waiting->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    if (waiting->ended)
        co_return waiting->result;
    if (waiting->sent)
        co_return cloud::table_uncertain{};
    std::erase(m_queue, waiting);
    co_return cloud::table_unavailable{};
}

std::optional<claim_peer> claim_forwarder::usable_committer() const
{
    auto committer = m_ports.committer();
    if (committer && committer->member == m_avoided && now() < m_avoided_until)
        return std::nullopt;
    return committer;
}

void claim_forwarder::send_groups()
{
    while (!m_queue.empty() && m_in_flight < m_limits.maximum_in_flight) {
        auto committer = usable_committer();
        if (!committer) {
            for (const auto& waiting : std::exchange(m_queue, {}))
                waiting->end(std::nullopt);
            return;
        }
        ++m_in_flight;
        asio::co_spawn(m_control, exchange(std::move(*committer), take_group()), asio::detached);
    }
}

claim_forwarder::group claim_forwarder::take_group()
{
    group writes;
    std::size_t bytes = 0;
    while (!m_queue.empty() && writes.size() < m_limits.maximum_writes) {
        auto& next = m_queue.front();
        bytes += next->write.key.size() + next->write.value->size();
        if (!writes.empty() && bytes > m_limits.maximum_bytes)
            break;
        next->sent = true;
        writes.push_back(std::move(next));
        m_queue.pop_front();
    }
    return writes;
}

asio::awaitable<void> claim_forwarder::exchange(claim_peer committer, group writes)
{
    peer::claim_commit_request request;
    request.wait = m_limits.answer_wait;
    for (const auto& waiting : writes)
        request.writes.push_back(to_claim_write(waiting->write));
    peer::message body = std::move(request);
    auto operation = m_ports.request(committer, std::move(body), m_limits.request_timeout);
    const auto result = co_await std::move(operation);
    --m_in_flight;
    finish(committer, writes, result);
    send_groups();
}

void claim_forwarder::avoid(const claim_peer& committer, std::string_view reason)
{
    m_avoided = committer.member;
    m_avoided_until = now() + m_limits.avoidance;
    log_event(event::claim_committer_avoided,
              {{"peer", committer.member.value()}, {"reason", std::string(reason)}});
}

void claim_forwarder::finish(const claim_peer& committer, const group& writes,
                             const peer::request_result& result)
{
    const auto end_all = [&writes](const std::optional<cloud::commit_result>& with) {
        for (const auto& waiting : writes)
            waiting->end(with);
    };
    if (const auto* error = std::get_if<peer::transport_error>(&result)) {
        if (was_not_sent(*error)) {
            // A full queue or a long message says nothing about the member.
            if (std::holds_alternative<peer::peer_unreachable>(*error))
                avoid(committer, "unreachable");
            return end_all(std::nullopt);
        }
        avoid(committer, "no_answer");
        return end_all(cloud::table_uncertain{});
    }
    const auto* reply = std::get_if<peer::claim_commit_reply>(&std::get<peer::message>(result));
    if (reply != nullptr && !reply->accepted) {
        avoid(committer, "refused");
        return end_all(std::nullopt);
    }
    if (reply == nullptr || reply->results.size() != writes.size()) {
        avoid(committer, "wrong_answer");
        return end_all(cloud::table_uncertain{});
    }
    finish(committer, writes, *reply);
}

bool claim_forwarder::is_cut_off(const claim_peer& committer, const peer::claim_commit_reply& reply)
{
    const bool has_answer = std::ranges::any_of(reply.results, [](const auto& result) {
        return result.state == peer::claim_write_state::committed ||
               result.state == peer::claim_write_state::conflict;
    });
    if (has_answer) {
        m_failing = {};
        return false;
    }
    if (m_failing != committer.member) {
        m_failing = committer.member;
        m_failing_since = now();
    }
    return now() - m_failing_since >= m_limits.longest_failure;
}

void claim_forwarder::finish(const claim_peer& committer, const group& writes,
                             const peer::claim_commit_reply& reply)
{
    const bool cut_off = is_cut_off(committer, reply);
    if (cut_off)
        avoid(committer, "no_table");
    for (std::size_t index = 0; index < writes.size(); ++index) {
        const auto& result = reply.results[index];
        if (cut_off && result.state == peer::claim_write_state::unavailable)
            writes[index]->end(std::nullopt);
        else
            writes[index]->end(to_commit_result(result, writes[index]->write.key));
    }
}

} // namespace siskinwharf::entry

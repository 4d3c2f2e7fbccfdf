#include "isolation_exchange.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

/// Of a hold that is not given back, as when the process that asked for it dies.
constexpr milliseconds hold_time{60'000};
/// A peer that is silent for this long does not count: a frozen one would stop all suspects.
constexpr milliseconds answer_limit{300};
/// Pause before the peers whose requests still run on the endpoint are asked again.
constexpr milliseconds drain_pause{500};

peer::isolation_request request_of(const endpoint_id& endpoint, const admission::content_key& suspect,
                                   milliseconds hold)
{
    return {endpoint, request_id(suspect.account.value() + ":" + suspect.digest), hold};
}

admission::content_key suspect_of(const peer::isolation_request& request)
{
    // Digests contain no colon.
    const auto& name = request.request.value();
    const auto end = std::min(name.rfind(':'), name.size());
    return {account_id(name.substr(0, end)), name.substr(std::min(end + 1, name.size()))};
}

} // namespace

/// What the peers say to one question.
struct isolation_exchange::answers {
    bool refused = false;
    std::vector<membership::member_info> busy;
};

isolation_exchange::isolation_exchange(asio::io_context& control, entry_core& core, peer_ports ports)
    : m_control(control), m_core(core), m_ports(std::move(ports))
{
}

isolation_exchange::~isolation_exchange()
{
    // The coroutines of the workers are destroyed later, and give up their endpoints then.
    m_core.isolation.set_peers({});
}

void isolation_exchange::start()
{
    isolation_peers peers;
    peers.claim = [this](endpoint_id endpoint, admission::content_key suspect, monotonic_time give_up_at) {
        return claim(std::move(endpoint), std::move(suspect), give_up_at);
    };
    peers.release = [this](endpoint_id endpoint, admission::content_key suspect) {
        asio::post(m_control, [this, endpoint = std::move(endpoint), suspect = std::move(suspect)] {
            release(endpoint, suspect);
        });
    };
    m_core.isolation.set_peers(std::move(peers));
}

peer::isolation_reply isolation_exchange::reply(const instance_id& sender,
                                                const peer::isolation_request& request)
{
    const auto hold = std::min(request.hold, hold_time);
    const auto answer = m_core.isolation.hold_for_peer(sender, request.endpoint, suspect_of(request), hold);
    return {answer.granted, answer.in_flight};
}

asio::awaitable<bool> isolation_exchange::claim(endpoint_id endpoint, admission::content_key suspect,
                                                monotonic_time give_up_at)
{
    auto operation = claim_here(std::move(endpoint), std::move(suspect), give_up_at);
    co_return co_await asio::co_spawn(m_control, std::move(operation), asio::use_awaitable);
}

asio::awaitable<bool> isolation_exchange::claim_here(endpoint_id endpoint, admission::content_key suspect,
                                                     monotonic_time give_up_at)
{
    const auto request = request_of(endpoint, suspect, hold_time);
    auto asked = m_ports.peers();
    asio::steady_timer timer(m_control);
    while (!asked.empty()) {
        const auto state = ask(asked, request);
        co_await state.round->wait(answer_limit);
        // The holds are given back when the suspect leaves the endpoint.
        if (state.collected->refused)
            co_return false;
        asked = std::move(state.collected->busy);
        if (asked.empty())
            break;
        if (now() >= give_up_at)
            co_return false;
        timer.expires_at(std::min(now() + drain_pause, give_up_at));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return true;
}

isolation_exchange::question isolation_exchange::ask(const std::vector<membership::member_info>& peers,
                                                     const peer::isolation_request& request)
{
    auto collected = std::make_shared<answers>();
    // After a refusal the other answers are waited for too: a release that overtook a question would leave
    // its hold behind.
    auto round = std::make_shared<peer_round>(
        m_control, m_ports,
        [collected](const membership::member_info& member, const std::optional<peer::message>& answer) {
            const auto* reply = answer ? std::get_if<peer::isolation_reply>(&*answer) : nullptr;
            if (reply == nullptr)
                return;
            if (!reply->granted)
                collected->refused = true;
            else if (reply->in_flight > 0)
                collected->busy.push_back(member);
        });
    round->start(peers, request);
    return {std::move(round), std::move(collected)};
}

void isolation_exchange::release(const endpoint_id& endpoint, const admission::content_key& suspect)
{
    // The answers do not matter: a hold that is not given back expires.
    ask(m_ports.peers(), request_of(endpoint, suspect, milliseconds(0)));
}

} // namespace siskinwharf::entry

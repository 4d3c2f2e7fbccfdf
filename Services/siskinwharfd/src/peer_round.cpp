#include "peer_round.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace siskinwharf::entry {

namespace asio = boost::asio;

peer_round::peer_round(asio::io_context& context, peer_ports ports, answer_handler on_answer)
    : m_context(context), m_ports(std::move(ports)), m_on_answer(std::move(on_answer)), m_wake(context)
{
}

void peer_round::start(const std::vector<membership::member_info>& peers, const peer::message& body)
{
    m_open = peers.size();
    for (const auto& member : peers)
        asio::co_spawn(m_context, ask(member, body),
                       [self = shared_from_this()](const std::exception_ptr&) {});
}

asio::awaitable<void> peer_round::wait(milliseconds limit)
{
    const auto self = shared_from_this();
    // A request that fails at once has cancelled the timer before it is waited for.
    if (m_open == 0)
        co_return;
    m_wake.expires_after(limit);
    co_await m_wake.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> peer_round::ask(membership::member_info member, peer::message body)
{
    auto operation = m_ports.request(member, std::move(body));
    const auto answer = co_await std::move(operation);
    m_on_answer(member, answer);
    if (--m_open == 0)
        m_wake.cancel();
}

} // namespace siskinwharf::entry

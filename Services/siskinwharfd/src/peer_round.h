#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "siskinwharf/base/time.h"
#include "siskinwharf/membership/member_options.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::entry {

/// What the exchanges with peers need from the peer node.
struct peer_ports {
    /// Working entry processes of the failure domain without this one.
    std::function<std::vector<membership::member_info>()> peers;
    std::function<void(const membership::member_info&, const peer::message&)> send;
    /// Nothing if no reply came.
    std::function<boost::asio::awaitable<std::optional<peer::message>>(membership::member_info,
                                                                       peer::message)>
        request;
};

/// One request to several peers at the same time. Confined to one thread.
class peer_round : public std::enable_shared_from_this<peer_round> {
public:
    using answer_handler =
        std::function<void(const membership::member_info&, const std::optional<peer::message>&)>;

    peer_round(boost::asio::io_context& context, peer_ports ports, answer_handler on_answer);

    /// Sends the request. The handler is called for each peer, with nothing for one that does not answer,
    /// also after the limit and when nobody waits.
    void start(const std::vector<membership::member_info>& peers, const peer::message& body);
    /// Returns when all peers have answered, or after the limit.
    boost::asio::awaitable<void> wait(milliseconds limit);

private:
    boost::asio::awaitable<void> ask(membership::member_info member, peer::message body);

    boost::asio::io_context& m_context;
    peer_ports m_ports;
    answer_handler m_on_answer;
    boost::asio::steady_timer m_wake;
    std::size_t m_open = 0;
};

} // namespace siskinwharf::entry

#include "datagram_socket.h"

#include <array>
#include <string_view>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "rethrow.h"

namespace siskinwharf::peer {

namespace asio = boost::asio;
using asio::ip::udp;

datagram_socket::datagram_socket(const asio::any_io_executor& executor, const udp::endpoint& listen,
                                 std::shared_ptr<transport_state> state,
                                 std::shared_ptr<transport_handler> handler)
    : m_strand(asio::make_strand(executor)),
      m_socket(m_strand, listen),
      m_state(std::move(state)),
      m_handler(std::move(handler))
{
    m_socket.non_blocking(true);
}

void datagram_socket::start()
{
    asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->receive_datagrams(); }, rethrow);
}

void datagram_socket::stop()
{
    asio::post(m_strand, [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_socket.close(ignored);
    });
}

void datagram_socket::send(std::string bytes, const udp::endpoint& recipient)
{
    if (m_queued.fetch_add(1) >= m_state->options().queued_datagrams) {
        --m_queued;
        ++m_state->counters().datagrams_dropped;
        return;
    }
    asio::post(m_strand, [self = shared_from_this(), bytes = std::move(bytes), recipient] {
        --self->m_queued;
        boost::system::error_code error;
        self->m_socket.send_to(asio::buffer(bytes), recipient, 0, error);
        if (error)
            ++self->m_state->counters().datagrams_dropped;
        else
            self->m_state->counters().datagram_bytes_sent += bytes.size();
    });
}

asio::awaitable<void> datagram_socket::receive_datagrams()
{
    // One byte more than the limit shows that a datagram is too long.
    std::array<char, datagram_limit + 1> buffer{};
    while (!m_state->stopped()) {
        udp::endpoint sender;
        const auto [error, size] = co_await m_socket.async_receive_from(asio::buffer(buffer), sender,
                                                                        asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
            co_return;
        // Others report that an earlier datagram could not be delivered.
        if (error)
            continue;
        m_state->counters().datagram_bytes_received += size;
        address from{sender.address().to_string(), sender.port()};
        decode_result received =
            m_state->open(std::string_view(buffer.data(), size), datagram_limit, from.host);
        if (auto* content = std::get_if<frame>(&received))
            m_handler->receive(std::move(*content), std::move(from));
    }
}

} // namespace siskinwharf::peer

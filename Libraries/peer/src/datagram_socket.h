#pragma once

#include <atomic>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/strand.hpp>

#include "siskinwharf/peer/transport_handler.h"
#include "transport_state.h"

namespace siskinwharf::peer {

/// Sends and receives datagrams on one UDP socket.
class datagram_socket : public std::enable_shared_from_this<datagram_socket> {
public:
    /// Opens the socket. Throws `boost::system::system_error`.
    datagram_socket(const boost::asio::any_io_executor& executor,
                    const boost::asio::ip::udp::endpoint& listen, std::shared_ptr<transport_state> state,
                    std::shared_ptr<transport_handler> handler);

    void start();
    void stop();

    /// Sends an encoded frame, or drops it if too many are queued.
    void send(std::string bytes, const boost::asio::ip::udp::endpoint& recipient);

private:
    [[nodiscard]] boost::asio::awaitable<void> receive_datagrams();

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    boost::asio::ip::udp::socket m_socket;
    std::shared_ptr<transport_state> m_state;
    std::shared_ptr<transport_handler> m_handler;
    std::atomic<std::size_t> m_queued{0};
};

} // namespace siskinwharf::peer

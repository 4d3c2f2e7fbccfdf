#pragma once

#include <map>
#include <memory>
#include <unordered_set>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include "connection.h"
#include "siskinwharf/peer/transport_handler.h"
#include "transport_state.h"

namespace siskinwharf::peer {

/// Accepts TCP connections and answers the requests that come on them.
class request_server : public std::enable_shared_from_this<request_server> {
public:
    /// Opens the listening socket. Throws `boost::system::system_error`.
    request_server(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& listen,
                   std::shared_ptr<transport_state> state, std::shared_ptr<transport_handler> handler);

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    void start();
    void stop();

private:
    [[nodiscard]] boost::asio::awaitable<void> accept_connections();
    [[nodiscard]] boost::asio::awaitable<void> serve(std::shared_ptr<connection> link);
    void admit(boost::asio::ip::tcp::socket socket);

    boost::asio::any_io_executor m_executor;
    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<transport_state> m_state;
    std::shared_ptr<transport_handler> m_handler;
    // Only used on the strand.
    std::unordered_set<std::shared_ptr<connection>> m_connections;
    std::map<boost::asio::ip::address, std::size_t> m_connections_by_host;
};

} // namespace siskinwharf::peer

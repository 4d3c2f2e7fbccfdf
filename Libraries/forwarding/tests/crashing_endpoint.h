#pragma once

#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace siskinwharf::forwarding {

/// Test endpoint that begins to answer its first request and then crashes: it closes the connection and
/// refuses new ones.
class crashing_endpoint {
public:
    crashing_endpoint(boost::asio::io_context& context, std::string beginning)
        : m_acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_port(m_acceptor.local_endpoint().port()),
          m_beginning(std::move(beginning))
    {
        boost::asio::co_spawn(context, crash(), boost::asio::detached);
    }

    [[nodiscard]] unsigned short port() const { return m_port; }
    [[nodiscard]] bool has_crashed() const { return !m_acceptor.is_open(); }

private:
    boost::asio::awaitable<void> crash()
    {
        constexpr auto use_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);
        auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
        if (error)
            co_return;
        std::string request;
        auto buffer = boost::asio::dynamic_buffer(request);
        co_await boost::asio::async_read_until(socket, buffer, "\r\n\r\n", use_tuple);
        co_await boost::asio::async_write(socket, boost::asio::buffer(m_beginning), use_tuple);
        m_acceptor.close();
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    unsigned short m_port;
    std::string m_beginning;
};

} // namespace siskinwharf::forwarding

#pragma once

#include <deque>
#include <string>
#include <vector>

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

/// Test endpoint that reads one request per connection, sends the next scripted response byte for byte and
/// closes the connection. Requests have no body.
class scripted_endpoint {
public:
    scripted_endpoint(boost::asio::io_context& context, std::deque<std::string> answers)
        : m_context(context),
          m_acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_answers(std::move(answers))
    {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    [[nodiscard]] unsigned short port() const { return m_acceptor.local_endpoint().port(); }
    [[nodiscard]] const std::vector<std::string>& requests() const { return m_requests; }

private:
    boost::asio::awaitable<void> accept()
    {
        constexpr auto use_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
            if (error)
                co_return;
            std::string request;
            auto buffer = boost::asio::dynamic_buffer(request);
            const auto [failure, size] =
                co_await boost::asio::async_read_until(socket, buffer, "\r\n\r\n", use_tuple);
            if (failure)
                continue; // The crash check connects without sending a request.
            m_requests.push_back(request);
            std::string answer;
            if (!m_answers.empty()) {
                answer = m_answers.front();
                m_answers.pop_front();
            }
            co_await boost::asio::async_write(socket, boost::asio::buffer(answer), use_tuple);
        }
    }

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::deque<std::string> m_answers;
    std::vector<std::string> m_requests;
};

} // namespace siskinwharf::forwarding

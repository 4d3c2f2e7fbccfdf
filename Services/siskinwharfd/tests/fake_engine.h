#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "siskinwharf/http/server.h"

namespace siskinwharf::entry {

/// A model engine in the test's own I/O context, which answers as the test says.
class fake_engine {
public:
    /// `script` answers the streams; its argument counts them from 0.
    fake_engine(boost::asio::io_context& context, std::function<http::response(int)> script)
        : m_script(std::move(script)),
          m_server(context, http::address{"127.0.0.1", 0}, http::server_limits{},
                   [this](http::request message, http::response_writer& writer) {
                       return answer(std::move(message), writer);
                   })
    {
        m_server.start();
    }

    [[nodiscard]] unsigned short port() const { return m_server.port(); }
    [[nodiscard]] int streams() const { return m_streams; }

    /// Reads the stream and closes the connection without a word.
    static http::response no_answer() { return {no_answer_status, {}, {}}; }
    static http::response crash() { return {crash_status, {}, {}}; }
    static http::response whole_answer()
    {
        return {
            200,
            {{"Content-Type", "application/x-ndjson"}},
            "{\"offset\":0,\"token\":\"a\"}\n{\"offset\":1,\"token\":\"b\"}\n{\"done\":true,\"offset\":2}\n"};
    }

private:
    static constexpr int crash_status = -1;
    static constexpr int no_answer_status = -2;

    boost::asio::awaitable<void> answer(http::request message, http::response_writer& writer)
    {
        http::response reply{404, {}, "{}"};
        if (message.method == "POST" && message.path == "/streams")
            reply = m_script(m_streams++);
        if (reply.status == no_answer_status) {
            writer.abort();
            co_return;
        }
        if (reply.status == crash_status) {
            // Accepts the stream, sends one token, and loses the connection and its memory.
            std::vector<http::header_field> headers{{"Content-Type", "application/x-ndjson"}};
            co_await writer.begin(200, std::move(headers));
            co_await writer.write("{\"offset\":0,\"token\":\"a\"}\n");
            writer.abort();
            co_return;
        }
        co_await writer.send(std::move(reply));
    }

    std::function<http::response(int)> m_script;
    int m_streams = 0;
    http::server m_server;
};

} // namespace siskinwharf::entry

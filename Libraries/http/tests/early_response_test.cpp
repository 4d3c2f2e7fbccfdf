// Responses that a server sends before it has the request.

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "siskinwharf/http/client.h"

namespace siskinwharf::http {

namespace asio = boost::asio;

namespace {

using tcp = asio::ip::tcp;

const std::string early_bytes = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
/// More than the buffers of both sockets take while nobody reads.
constexpr std::size_t long_body_bytes = 64U << 20U;
constexpr milliseconds time_to_arrive{100};
constexpr milliseconds generous_timeout{20'000};

/// Server that sends bytes on each new connection and reads nothing.
class greeting_server {
public:
    explicit greeting_server(std::string bytes) : m_bytes(std::move(bytes))
    {
        m_thread = std::thread([this] {
            tcp::socket socket(m_context);
            boost::system::error_code error;
            m_acceptor.accept(socket, error);
            if (!error)
                asio::write(socket, asio::buffer(m_bytes), error);
            m_held = std::move(socket);
        });
    }

    greeting_server(const greeting_server&) = delete;
    greeting_server& operator=(const greeting_server&) = delete;
    greeting_server(greeting_server&&) = delete;
    greeting_server& operator=(greeting_server&&) = delete;
    ~greeting_server() { m_thread.join(); }

    [[nodiscard]] address target() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

private:
    std::string m_bytes;
    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, {asio::ip::make_address("127.0.0.1"), 0}};
    std::optional<tcp::socket> m_held;
    std::thread m_thread;
};

struct call_result {
    std::unique_ptr<part_stream> stream;
    std::optional<call_stage> failed_at;
};

/// Sends one request. `between` runs after the connect has begun and before its result is seen.
call_result call_once(asio::io_context& context, client& caller, const address& target, std::string body,
                      const std::function<void()>& between)
{
    call_result result;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            try {
                request message{"POST", "/x", "", {}, std::move(body)};
                const call_times times{generous_timeout, generous_timeout};
                auto control = std::make_shared<call_control>();
                result.stream = co_await caller.open_parts(target, std::move(message), times, control);
            } catch (const call_error& error) {
                result.failed_at = error.stage();
            }
            context.stop();
        },
        asio::detached);
    asio::post(context, between);
    context.run();
    return result;
}

} // namespace

TEST_CASE("bytes that arrive on a new connection before its request are not taken for its response")
{
    const greeting_server server(early_bytes);
    asio::io_context context;
    client caller(context.get_executor());
    const auto result =
        call_once(context, caller, server.target(), "", [] { std::this_thread::sleep_for(time_to_arrive); });
    CHECK(result.stream == nullptr);
    CHECK(result.failed_at == call_stage::before_send);
}

TEST_CASE("a response that arrives before its request is written out does not pass for a proven one")
{
    const greeting_server server(early_bytes);
    asio::io_context context;
    client caller(context.get_executor());
    const auto result = call_once(context, caller, server.target(), std::string(long_body_bytes, 'a'), [] {});
    // Whether the bytes come before the first byte of the request or after it is left to the system.
    if (result.stream)
        CHECK(result.stream->may_answer_earlier_request());
    else
        CHECK(result.failed_at == call_stage::before_send);
}

} // namespace siskinwharf::http

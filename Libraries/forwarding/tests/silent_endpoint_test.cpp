#include <catch2/catch.hpp>

#include "endless_endpoint.h"
#include "forwarding_fixture.h"

namespace siskinwharf::forwarding {

namespace {

/// A sound endpoint may be silent for this long.
constexpr milliseconds sound_silence{1'500};
constexpr milliseconds forever{60'000};

/// A response with a pause.
struct paused_response {
    const char* name;
    const char* path;
    std::string before;
    std::string after;
};

std::vector<paused_response> paused_responses()
{
    const auto first_event = stream_head + chunk("id: 1\ndata: a\n\n");
    const auto second_event = chunk("id: 2\ndata: sound\n\n") + "0\r\n\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 10\r\n\r\n";
    return {
        {"before the head", "/read/x", "", head + "half sound"},
        {"before the head of a stream", "/resumable/x", "", first_event + second_event},
        {"after the head", "/read/x", head, "half sound"},
        {"within the body", "/read/x", head + "half ", "sound"},
        {"between two events", "/resumable/x", first_event, second_event},
    };
}

std::string second_answer()
{
    return answer(200, "Signed: 1\r\n", "second");
}

/// Gives all routes this timeout.
void set_timeout(forwarding_fixture& all, milliseconds timeout)
{
    auto content = make_content();
    content.version = 2;
    for (auto& route : content.routes)
        route.timeout = timeout;
    all.state.set_configuration(content, std::chrono::steady_clock::now());
}

/// Sends requests at intervals and returns the responses in the order of the requests, and for how long each
/// was waited.
std::vector<std::pair<std::string, milliseconds>> ask_all(forwarding_fixture& all, const std::string& path,
                                                          std::size_t count, milliseconds interval)
{
    std::vector<std::pair<std::string, milliseconds>> results(count);
    std::size_t open = count;
    const auto ask = [&](std::size_t index) -> asio::awaitable<void> {
        constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
        asio::steady_timer timer(all.context, interval * static_cast<int>(index));
        co_await timer.async_wait(use_tuple);
        const auto started = std::chrono::steady_clock::now();
        asio::ip::tcp::socket socket(all.context);
        const asio::ip::tcp::endpoint target(asio::ip::make_address("127.0.0.1"), all.server.port());
        co_await socket.async_connect(target, use_tuple);
        const std::string request =
            "GET " + path + " HTTP/1.1\r\nHost: a\r\nId: 7\r\nKey: k\r\nConnection: close\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(request), use_tuple);
        auto buffer = asio::dynamic_buffer(results[index].first);
        co_await asio::async_read(socket, buffer, use_tuple);
        results[index].second =
            std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started);
        if (--open == 0)
            all.context.stop();
    };
    for (std::size_t index = 0; index < count; ++index)
        asio::co_spawn(all.context, ask(index), asio::detached);
    all.context.restart();
    all.context.run_for(seconds(20));
    return results;
}

} // namespace

TEST_CASE("a sound endpoint that is silent for 1.5 s is waited for")
{
    const auto responses = paused_responses();
    const auto index = GENERATE_COPY(range(std::size_t{0}, responses.size()));
    const auto& response = responses[index];
    CAPTURE(response.name);
    forwarding_fixture all({{second_answer()}});
    endless_endpoint paused(all.context, response.before, response.after, sound_silence);
    all.set_ports({paused.port(), all.endpoints[0]->port()});
    const auto received = all.ask(response.path);
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(received.find("sound") != std::string::npos);
    CHECK(all.runs() == 0);
}

TEST_CASE("a hung endpoint beside a sound one is left within a second or so by repeatable requests")
{
    forwarding_fixture all({{second_answer(), second_answer()}});
    set_timeout(all, milliseconds(3'000));
    endless_endpoint hung(all.context, "", "", forever);
    all.set_ports({hung.port(), all.endpoints[0]->port()});
    const auto results = ask_all(all, "/read/x", 2, milliseconds(100));
    for (const auto& [received, taken] : results) {
        CHECK(received.ends_with("second"));
        CHECK(taken < milliseconds(1'500));
    }
}

TEST_CASE("the only request at a hung endpoint is answered by a sound one before its deadline")
{
    const auto timeout = GENERATE(milliseconds(1'000), milliseconds(3'000));
    forwarding_fixture all({{second_answer()}});
    set_timeout(all, timeout);
    endless_endpoint hung(all.context, "", "", forever);
    all.set_ports({hung.port(), all.endpoints[0]->port()});
    const auto results = ask_all(all, "/read/x", 1, milliseconds(0));
    CHECK(results[0].first.ends_with("second"));
    CHECK(results[0].second < std::min(timeout, milliseconds(2'000)));
}

TEST_CASE("a request that cannot be repeated is never ended for silence before its deadline")
{
    const std::string path = GENERATE("/order/x", "/stream/x");
    forwarding_fixture all({{second_answer()}});
    endless_endpoint hung(all.context, "", "", forever);
    all.set_ports({hung.port(), all.endpoints[0]->port()});
    const auto results = ask_all(all, path, 1, milliseconds(0));
    CHECK(results[0].first.starts_with("HTTP/1.1 504"));
    CHECK(results[0].second >= milliseconds(1'900));
    CHECK(all.runs() == 0);
}

TEST_CASE("the last attempt that a route allows is not ended for silence before the deadline")
{
    // Guards against a 502 with time left: the second of two attempts goes on, as no third may follow.
    forwarding_fixture all({});
    set_timeout(all, milliseconds(3'000));
    endless_endpoint hung(all.context, "", "", forever);
    endless_endpoint slow(all.context, "", answer(200, "Signed: 1\r\n", "slow"), milliseconds(1'500));
    all.set_ports({hung.port(), slow.port(), slow.port()});
    const auto results = ask_all(all, "/read/x", 2, milliseconds(100));
    for (const auto& [received, taken] : results)
        CHECK(received.ends_with("slow"));
}

TEST_CASE("a request stays at a silent endpoint if there is no other or no retry is allowed")
{
    const bool is_alone = GENERATE(true, false);
    forwarding_fixture all({{second_answer()}});
    endless_endpoint slow(all.context, "", answer(200, "Signed: 1\r\n", "slow"), milliseconds(1'800));
    if (is_alone)
        all.set_ports({slow.port()});
    else
        all.set_ports({slow.port(), all.endpoints[0]->port()});
    const auto now = std::chrono::steady_clock::now();
    while (!is_alone && all.state.try_repeat(service_id("s"), now)) {
    }
    const auto results = ask_all(all, "/read/x", 2, milliseconds(10));
    CHECK(results[0].first.ends_with("slow"));
    CHECK(results[1].first.ends_with("slow"));
}

} // namespace siskinwharf::forwarding

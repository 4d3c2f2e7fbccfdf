#include <catch2/catch.hpp>

#include "forwarding_fixture.h"

namespace siskinwharf::forwarding {

namespace {

const std::string whole_stream = stream_head + chunk("id: 1\n\n") + "0\r\n\r\n";

/// The routes of the tests allow 2 s.
void stop_in(forwarding_fixture& test, milliseconds drain, milliseconds time)
{
    const auto now = std::chrono::steady_clock::now();
    test.state.begin_stop({now + drain, now + time});
}

} // namespace

TEST_CASE("a stopping process takes a request that it cannot finish")
{
    forwarding_fixture test({{answer(200, "Signed: 1\r\n", "body")}});
    stop_in(test, milliseconds(1'500), milliseconds(1'500));
    for (const auto* path : {"/order/1", "/stream/1", "/resumable/1"}) {
        INFO(path);
        const auto received = test.ask(path);
        CHECK(received.find("HTTP/1.1 503") == 0);
        CHECK(received.find("\"outcome\":\"not_run\"") != std::string::npos);
        // Another process can take the request at once.
        CHECK(received.find("Retry-After: 0.00") != std::string::npos);
    }
    CHECK(test.runs() == 0);
}

TEST_CASE("a stopping process refuses a request that it can finish")
{
    forwarding_fixture test({{answer(200, "Signed: 1\r\n", "body"), whole_stream}});
    stop_in(test, milliseconds(0), milliseconds(2'500));
    CHECK(test.ask("/order/1").find("HTTP/1.1 200") == 0);
    CHECK(test.ask("/stream/1").find("HTTP/1.1 200") == 0);
    CHECK(test.runs() == 2);
}

TEST_CASE("a stopping process knows from other streams which ones it can finish, but not for sure")
{
    forwarding_fixture test({{whole_stream, whole_stream}});
    // The route's latency target is 1 s; one stream has ended fast.
    CHECK(test.ask("/stream/1").find("HTTP/1.1 200") == 0);
    stop_in(test, milliseconds(1'400), milliseconds(1'500));
    CHECK(test.ask("/stream/2").find("HTTP/1.1 200") == 0);
    // Once callers can know of the stop, only what surely ends in time is taken.
    stop_in(test, milliseconds(0), milliseconds(1'500));
    CHECK(test.ask("/stream/3").find("HTTP/1.1 503") == 0);
    CHECK(test.runs() == 2);
}

} // namespace siskinwharf::forwarding

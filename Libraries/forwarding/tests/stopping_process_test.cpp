#include <catch2/catch.hpp>

#include "forwarding_fixture.h"

namespace siskinwharf::forwarding {

TEST_CASE("a stopping process takes a request that it cannot finish")
{
    forwarding_fixture test({{answer(200, "Signed: 1\r\n", "body")}});
    const auto now = std::chrono::steady_clock::now();
    // The routes allow 2 s.
    test.state.set_stop_time(now + milliseconds(1'500));
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
    forwarding_fixture test({{answer(200, "Signed: 1\r\n", "body")}});
    test.state.set_stop_time(std::chrono::steady_clock::now() + milliseconds(2'500));
    const auto received = test.ask("/order/1");
    CHECK(received.find("HTTP/1.1 200") == 0);
    CHECK(test.runs() == 1);
}

TEST_CASE("a stopping process knows from earlier streams which ones it can finish")
{
    forwarding_fixture test({});
    const service_id service("s");
    CHECK_FALSE(test.state.longest_stream(service, 100));
    test.state.count_stream(service, milliseconds(500), 50);
    CHECK(test.state.longest_stream(service, 100) == milliseconds(1'500));
    CHECK_FALSE(test.state.longest_stream(service_id("other"), 100));
}

} // namespace siskinwharf::forwarding

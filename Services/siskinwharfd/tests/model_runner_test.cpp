#include <functional>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "fake_engine.h"
#include "runner_fixture.h"

using namespace siskinwharf;
using namespace siskinwharf::entry;

namespace {

http::response full()
{
    return {429, {}, "{\"error\":\"full\"}\n"};
}

http::response rejected()
{
    return {400, {}, "{}"};
}

} // namespace

TEST_CASE("a request that every endpoint refuses as full is tried again", "[runner]")
{
    // Guards against an immediate refusal as no_endpoint, and against counting a full endpoint as a failed
    // attempt: there are more refusals than attempts before acceptance.
    runner_fixture test;
    fake_engine engine(test.context,
                       [](int stream) { return stream < 8 ? full() : fake_engine::whole_answer(); });
    test.add_endpoint("e1", engine.port(), 4);
    const auto request = test.run(milliseconds(60'000));
    CHECK(request->current_phase() == live_request::phase::finished);
    CHECK(request->tokens() == std::vector<std::string>{"a", "b"});
    CHECK(engine.streams() == 9);
}

TEST_CASE("a request that stays refused ends as overloaded within its limit", "[runner]")
{
    // Guards against asking full endpoints for ever, and against a refusal that does not say when to retry.
    runner_fixture test;
    fake_engine engine(test.context, [](int) { return full(); });
    test.add_endpoint("e1", engine.port(), 4);
    const auto request = test.run(milliseconds(300));
    REQUIRE(request->failure());
    CHECK(request->failure()->result == outcome::not_run);
    CHECK(request->failure()->type == http::refusal_type::overloaded);
    CHECK(request->failure()->retry_after.has_value());
    CHECK(test.core.gate.waiting() == 0);
}

TEST_CASE("retries stop when the budget is used up", "[runner]")
{
    // Guards against retries that multiply the load while all endpoints fail.
    runner_fixture test;
    while (test.core.retries.try_retry()) {
    }
    fake_engine engine(test.context, [](int) { return full(); });
    test.add_endpoint("e1", engine.port(), 4);
    const auto request = test.run(milliseconds(200));
    REQUIRE(request->failure());
    CHECK(request->failure()->type == http::refusal_type::retry_budget_exhausted);
    CHECK(request->failure()->retry_after.has_value());
    CHECK(engine.streams() == 1);
}

TEST_CASE("a released slot wakes the next request", "[runner]")
{
    // Guards against a runner that does not tell the gate about its slot.
    runner_fixture test;
    fake_engine engine(test.context, [](int) { return fake_engine::whole_answer(); });
    test.add_endpoint("e1", engine.port(), 1);
    for (int count = 0; count < 3; ++count)
        CHECK(test.run(milliseconds(60'000))->current_phase() == live_request::phase::finished);
    CHECK(test.core.table.find_load(endpoint_id("e1"))->own_streams() == 0);
}

TEST_CASE("a refusal says not_run only if no endpoint can have run the request", "[runner]")
{
    // Guards against not_run for a request that an endpoint may still run: the caller would send it again.
    struct refusal_case {
        std::string_view name;
        std::function<http::response(int)> script;
        outcome expected;
    };
    const auto first_unanswered = [](const http::response& later) {
        return [later](int stream) {
            return stream == 0 ? fake_engine::no_answer() : later;
        };
    };
    const std::vector<refusal_case> cases{
        {"every engine says full", [](int) { return full(); }, outcome::not_run},
        {"the engine rejects it", [](int) { return rejected(); }, outcome::not_run},
        {"no engine answers", [](int) { return fake_engine::no_answer(); }, outcome::unknown},
        {"one does not answer, then all are full", first_unanswered(full()), outcome::unknown},
        {"one does not answer, then it is rejected", first_unanswered(rejected()), outcome::unknown},
    };
    for (const auto& [name, script, expected] : cases) {
        CAPTURE(name);
        runner_fixture test;
        fake_engine engine(test.context, script);
        test.add_endpoint("e1", engine.port(), 4);
        const auto request = test.run(milliseconds(300));
        REQUIRE(request->failure());
        CHECK(request->failure()->result == expected);
        CHECK(engine.streams() > 0);
    }
}

TEST_CASE("a request whose endpoint refuses connections did not run", "[runner]")
{
    // Guards against unknown where nothing was sent: the caller could not tell that a resend is safe.
    runner_fixture test;
    unsigned short closed_port = 0;
    {
        boost::asio::ip::tcp::acceptor reserved(test.context, {boost::asio::ip::address_v4::loopback(), 0});
        closed_port = reserved.local_endpoint().port();
    }
    test.add_endpoint("e1", closed_port, 4);
    const auto request = test.run(milliseconds(300));
    REQUIRE(request->failure());
    CHECK(request->failure()->result == outcome::not_run);
}

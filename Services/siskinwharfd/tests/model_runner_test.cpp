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

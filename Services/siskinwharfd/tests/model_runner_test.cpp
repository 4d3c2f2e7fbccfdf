#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "entry_core.h"
#include "fake_engine.h"
#include "model_runner.h"

namespace asio = boost::asio;
using namespace siskinwharf;
using namespace siskinwharf::entry;

namespace {

http::response full()
{
    return {429, {}, "{\"error\":\"full\"}\n"};
}

settings::settings settings_of_test()
{
    settings::settings result;
    result.instance = instance_id("i");
    result.failure_domain = failure_domain_id("d");
    result.region = region_id("r");
    return result;
}

struct runner_fixture {
    void add_endpoint(const std::string& name, unsigned short port, std::uint32_t capacity)
    {
        routing::endpoint_info info;
        info.id = endpoint_id(name);
        info.address = "127.0.0.1";
        info.port = port;
        info.domain = core.settings.failure_domain;
        info.region = core.settings.region;
        info.serves = routing::model_target{model_id("chat"), "1"};
        info.capacity = capacity;
        core.table.publish({{info}, {}, std::nullopt});
    }

    /// Runs one request to its end.
    std::shared_ptr<live_request> run(milliseconds to_deadline)
    {
        request_spec spec;
        spec.id = request_id("q");
        spec.account = account_id("x");
        spec.model = model_id("chat");
        spec.version = "1";
        spec.prompt = "one two three";
        spec.max_tokens = 2;
        spec.received = now();
        spec.deadline = now() + to_deadline;
        auto request = std::make_shared<live_request>(context.get_executor(), std::move(spec));
        model_runner runner(core, client, request);
        bool ended = false;
        asio::co_spawn(context, runner.run(), [&](const std::exception_ptr&) { ended = true; });
        while (!ended)
            context.run_one();
        return request;
    }

    entry_core core{settings_of_test(), routing::routing_options{}, now()};
    asio::io_context context;
    http::client client{context.get_executor()};
};

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

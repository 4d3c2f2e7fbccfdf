#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "admission_gate.h"
#include "entry_core.h"

namespace asio = boost::asio;
using namespace siskinwharf;
using namespace siskinwharf::entry;

namespace {

const routing::target chat = routing::model_target{model_id("chat"), "1"};

/// A gate in front of one endpoint, and requests that wait at it.
struct gate_fixture {
    explicit gate_fixture(std::uint32_t capacity, std::size_t queue_length = 256)
        : router(table, routing::routing_options{}),
          isolation(table),
          gate(router, table, isolation, queue_length)
    {
        add_endpoint("e1", capacity);
    }

    void add_endpoint(const std::string& name, std::uint32_t capacity)
    {
        routing::endpoint_info info;
        info.id = endpoint_id(name);
        info.address = "127.0.0.1";
        info.domain = failure_domain_id("d");
        info.region = region_id("r");
        info.serves = chat;
        info.capacity = capacity;
        table.publish({{info}, {}, std::nullopt});
    }

    static slot_request request_of(const std::string& account, slot_priority priority)
    {
        slot_request result;
        result.routing.account = account_id(account);
        result.routing.serves = chat;
        result.routing.region = region_id("r");
        result.routing.domain = failure_domain_id("d");
        result.routing.prompt_tokens = 10;
        result.routing.output_tokens = 100;
        result.priority = priority;
        result.deadline = now() + seconds(600);
        result.give_up_at = now() + seconds(600);
        return result;
    }

    /// Starts to wait; the name is noted when the decision has come.
    void start(std::string name, slot_request request)
    {
        asio::co_spawn(context, wait(std::move(name), std::move(request)), asio::detached);
        context.poll();
    }

    asio::awaitable<void> wait(std::string name, slot_request request)
    {
        auto decision = co_await gate.acquire(std::move(request));
        if (auto* chosen = std::get_if<routing::chosen_endpoint>(&decision)) {
            held.push_back(std::move(*chosen));
            served.push_back(std::move(name));
        } else if (auto* refusal = std::get_if<http::refusal>(&decision)) {
            refused.push_back(*refusal);
        } else {
            reasons.push_back(std::get<routing::no_endpoint>(decision));
        }
    }

    /// Frees the slot taken first and lets the waiting requests see it.
    void release(nanoseconds after = milliseconds(1))
    {
        held.front().guard.release(now());
        held.erase(held.begin());
        gate.on_release(chat, {after, 0, 0});
        context.poll();
    }

    routing::routing_table table;
    routing::router router;
    suspect_isolation isolation;
    admission_gate gate;
    std::vector<routing::chosen_endpoint> held;
    std::vector<std::string> served;
    std::vector<http::refusal> refused;
    std::vector<routing::no_endpoint> reasons;
    asio::io_context context;
    /// Keeps `poll` working after it found nothing to do.
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
};

} // namespace

TEST_CASE("a free slot is taken at once", "[gate]")
{
    // Guards against a request that queues although there is room.
    gate_fixture test(2);
    test.start("a", gate_fixture::request_of("x", slot_priority::fresh));
    CHECK(test.served == std::vector<std::string>{"a"});
    CHECK(test.gate.waiting() == 0);
}

TEST_CASE("accepted requests get slots before retries and new requests", "[gate]")
{
    // Guards against new requests that delay an answer that was promised.
    gate_fixture test(1);
    test.start("first", gate_fixture::request_of("x", slot_priority::fresh));
    test.start("fresh", gate_fixture::request_of("x", slot_priority::fresh));
    test.start("retry", gate_fixture::request_of("x", slot_priority::retry));
    test.start("accepted", gate_fixture::request_of("x", slot_priority::accepted));
    CHECK(test.gate.waiting() == 3);
    for (int count = 0; count < 3; ++count)
        test.release();
    CHECK(test.served == std::vector<std::string>{"first", "accepted", "retry", "fresh"});
    CHECK(test.gate.waiting() == 0);
}

TEST_CASE("a small account does not wait behind a large one", "[gate]")
{
    // Guards against slots given in the order of arrival.
    gate_fixture test(1);
    test.start("first", gate_fixture::request_of("large", slot_priority::fresh));
    for (int count = 0; count < 100; ++count)
        test.start("large", gate_fixture::request_of("large", slot_priority::fresh));
    test.start("small", gate_fixture::request_of("small", slot_priority::fresh));
    test.release();
    test.release();
    CHECK(std::ranges::count(test.served, "small") == 1);
}

TEST_CASE("shares of the sheet decide how many slots an account gets", "[gate]")
{
    // Guards against weights that are not passed on to the queue.
    gate_fixture test(1);
    test.start("first", gate_fixture::request_of("other", slot_priority::fresh));
    for (int count = 0; count < 100; ++count) {
        for (const auto* account : {"one", "three"}) {
            auto request = gate_fixture::request_of(account, slot_priority::fresh);
            request.share = account == std::string("three") ? 3 : 1;
            test.start(account, std::move(request));
        }
    }
    for (int count = 0; count < 80; ++count)
        test.release();
    const auto three = std::ranges::count(test.served, "three");
    CHECK(three >= 55);
    CHECK(three <= 65);
}

TEST_CASE("a request that would come too late is refused early", "[gate]")
{
    // Guards against requests that wait for an answer they cannot get in time, and against refusing an
    // accepted one.
    struct late_case {
        const char* name;
        slot_priority priority;
        nanoseconds first_token_target;
        milliseconds to_deadline;
        bool refused;
    };
    const auto row = GENERATE(values<late_case>({
        {"in time", slot_priority::fresh, milliseconds(60'000), milliseconds(600'000), false},
        {"first token", slot_priority::fresh, milliseconds(800), milliseconds(600'000), true},
        {"deadline", slot_priority::fresh, nanoseconds(0), milliseconds(1'000), true},
        {"accepted", slot_priority::accepted, nanoseconds(0), milliseconds(1'000), false},
    }));
    INFO(row.name);
    gate_fixture test(1);
    test.start("first", gate_fixture::request_of("x", slot_priority::fresh));
    test.release(seconds(4));
    test.start("second", gate_fixture::request_of("x", slot_priority::fresh));
    auto request = gate_fixture::request_of("x", row.priority);
    request.routing.first_token_target = row.first_token_target;
    request.deadline = now() + row.to_deadline;
    test.start("late", std::move(request));
    REQUIRE(test.refused.size() == (row.refused ? 1 : 0));
    CHECK(test.gate.waiting() == (row.refused ? 0 : 1));
    if (!row.refused)
        return;
    CHECK(test.refused[0].type == http::refusal_type::deadline_unreachable);
    CHECK(test.refused[0].result == outcome::not_run);
    REQUIRE(test.refused[0].retry_after);
    CHECK(*test.refused[0].retry_after > milliseconds(1'000));
}

TEST_CASE("a decode that misses the deadline is refused although a slot is free", "[gate]")
{
    // Guards against starting an answer that cannot be complete in time.
    gate_fixture test(1);
    test.start("first", gate_fixture::request_of("x", slot_priority::fresh));
    test.held.front().guard.release(now());
    test.gate.on_release(chat, {seconds(10), 10, 1});
    auto request = gate_fixture::request_of("x", slot_priority::fresh);
    request.deadline = now() + seconds(9);
    test.start("slow", request);
    REQUIRE(test.refused.size() == 1);
    CHECK(test.refused[0].type == http::refusal_type::deadline_unreachable);
    request.deadline = now() + seconds(20);
    test.start("in time", request);
    CHECK(test.served.back() == "in time");
}

TEST_CASE("an account whose queue is full is refused with a retry time", "[gate]")
{
    // Guards against one account that fills the memory of the process.
    // One runs, one is the next to get a slot, two are in the queue, and the last has no place.
    gate_fixture test(1, 2);
    for (int count = 0; count < 5; ++count)
        test.start("x", gate_fixture::request_of("x", slot_priority::fresh));
    REQUIRE(test.refused.size() == 1);
    CHECK(test.refused[0].type == http::refusal_type::overloaded);
    CHECK(test.refused[0].retry_after.has_value());
    CHECK(test.gate.waiting() == 3);
}

TEST_CASE("a retry that excludes the free endpoint does not hold up others", "[gate]")
{
    // Guards against blocking of the queue by its first request.
    gate_fixture test(1);
    test.add_endpoint("e2", 1);
    test.start("first", gate_fixture::request_of("x", slot_priority::fresh));
    test.start("second", gate_fixture::request_of("x", slot_priority::fresh));
    auto request = gate_fixture::request_of("x", slot_priority::retry);
    request.routing.excluded = {test.held.front().endpoint->id};
    test.start("retry", std::move(request));
    test.start("fresh", gate_fixture::request_of("x", slot_priority::fresh));
    test.release();
    CHECK(test.served == std::vector<std::string>{"first", "second", "fresh"});
    CHECK(test.gate.waiting() == 1);
}

TEST_CASE("a request whose coroutine is destroyed leaves the queue", "[gate]")
{
    // Guards against a slot that is given to a request that is gone.
    gate_fixture test(1);
    test.start("first", gate_fixture::request_of("x", slot_priority::fresh));
    {
        asio::io_context other;
        for (const auto priority : {slot_priority::fresh, slot_priority::fresh, slot_priority::accepted})
            asio::co_spawn(other, test.wait("gone", gate_fixture::request_of("x", priority)), asio::detached);
        other.poll();
        CHECK(test.gate.waiting() == 3);
    }
    CHECK(test.gate.waiting() == 0);
    test.start("next", gate_fixture::request_of("x", slot_priority::fresh));
    test.release();
    CHECK(test.served == std::vector<std::string>{"first", "next"});
}

TEST_CASE("a request that waits too long ends as full", "[gate]")
{
    // Guards against a wait without an end.
    gate_fixture test(1);
    test.start("first", gate_fixture::request_of("x", slot_priority::fresh));
    auto request = gate_fixture::request_of("x", slot_priority::fresh);
    request.give_up_at = now();
    test.start("late", std::move(request));
    CHECK(test.reasons == std::vector{routing::no_endpoint::all_full});
    CHECK(test.gate.waiting() == 0);
}

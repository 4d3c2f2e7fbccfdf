#include <algorithm>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "fake_engine.h"
#include "runner_fixture.h"

namespace asio = boost::asio;
using namespace siskinwharf;
using namespace siskinwharf::entry;

namespace {

const routing::target chat = routing::model_target{model_id("chat"), "1"};

routing::routing_request any_request()
{
    routing::routing_request result;
    result.serves = chat;
    result.region = region_id("r");
    result.domain = failure_domain_id("d");
    return result;
}

admission::content_key key_of(const std::string& digest)
{
    return {account_id("x"), digest};
}

/// Asks for an isolated endpoint and returns what came without waiting.
std::optional<routing::chosen_endpoint> isolate(runner_fixture& test, const std::string& digest)
{
    std::optional<routing::chosen_endpoint> result;
    asio::co_spawn(test.context, test.core.isolation.acquire(key_of(digest), any_request(), now()),
                   [&](const std::exception_ptr&, std::optional<routing::chosen_endpoint> chosen) {
                       result = std::move(chosen);
                   });
    test.context.restart();
    test.context.poll();
    return result;
}

} // namespace

TEST_CASE("all requests of a dead endpoint count the same crash", "[crash]")
{
    // Guards against requests that find out late, when the endpoint is already marked, and escape suspicion.
    runner_fixture test;
    test.add_endpoint("e1", 1, 4);
    const auto endpoint = test.core.table.find_info(endpoint_id("e1"));
    const auto time = now();
    const auto first = test.core.crashes.on_lost(*endpoint, test.core.table, time);
    test.core.table.mark_leaving({endpoint->id});
    const auto second = test.core.crashes.on_lost(*endpoint, test.core.table, time + seconds(2));
    REQUIRE(first);
    CHECK(first == second);
    CHECK_FALSE(test.core.crashes.on_lost(*endpoint, test.core.table, time + seconds(20)));
}

TEST_CASE("two entry processes give one death the same number", "[crash]")
{
    // Guards against one death that counts as two, and against a death that only its finder counts: a request
    // whose process hears of the death from a peer would escape suspicion.
    runner_fixture one;
    runner_fixture two;
    for (auto* test : {&one, &two})
        test->add_endpoint("e1", 1, 4, 1'000);
    const auto endpoint = one.core.table.find_info(endpoint_id("e1"));
    const auto time = now();
    const auto found = one.core.crashes.on_lost(*endpoint, one.core.table, time);
    two.core.crashes.note_death(endpoint->id, two.core.table, time);
    two.core.table.mark_leaving({endpoint->id});
    const auto heard = two.core.crashes.on_lost(*endpoint, two.core.table, time + seconds(2));
    REQUIRE(found);
    CHECK(found == heard);
}

TEST_CASE("a restart under the same name counts as a new crash", "[crash]")
{
    // Guards against a request that crashes one endpoint again and again because all deaths have one number,
    // and against a late finder that blames the restarted endpoint or nothing.
    runner_fixture test;
    test.add_endpoint("e1", 1, 4, 1'000);
    const auto before = test.core.table.find_info(endpoint_id("e1"));
    const auto time = now();
    const auto first = test.core.crashes.on_lost(*before, test.core.table, time);
    test.add_endpoint("e1", 1, 4, 2'000);
    const auto after = test.core.table.find_info(endpoint_id("e1"));
    const auto late = test.core.crashes.on_lost(*before, test.core.table, time + seconds(1));
    const auto second = test.core.crashes.on_lost(*after, test.core.table, time + seconds(1));
    REQUIRE(first);
    REQUIRE(second);
    CHECK(first == late);
    CHECK(first != second);
    runner_fixture slow;
    slow.add_endpoint("e1", 1, 4, 2'000);
    CHECK(slow.core.crashes.on_lost(*before, slow.core.table, time) == first);
}

TEST_CASE("the end of a leaving endpoint is no crash", "[crash]")
{
    // Guards against quarantining requests that ran on reclaimed instances.
    runner_fixture test;
    test.add_endpoint("e1", 1, 4);
    test.core.table.mark_leaving({endpoint_id("e1")});
    const auto key = key_of("a");
    const auto leaving = test.core.table.find_info(endpoint_id("e1"));
    // A leaving endpoint that then dies is no crash either.
    test.core.crashes.note_death(endpoint_id("e1"), test.core.table, now());
    CHECK(test.core.on_endpoint_lost(key, *leaving) == admission::content_status::healthy);
    routing::endpoint_info unknown;
    unknown.id = endpoint_id("unknown");
    CHECK(test.core.on_endpoint_lost(key, unknown) == admission::content_status::healthy);
    CHECK(test.core.quarantine.is_empty());
}

TEST_CASE("healthy requests get no reserved endpoint", "[isolation]")
{
    // Guards against healthy requests next to a suspect, and against endpoints that stay reserved.
    runner_fixture test;
    for (const auto* name : {"e1", "e2", "e3", "e4"})
        test.add_endpoint(name, 1, 8);
    auto suspect = isolate(test, "a");
    REQUIRE(suspect);
    CHECK(test.core.isolation.any_reserved());
    std::vector<routing::chosen_endpoint> healthy;
    for (int count = 0; count < 24; ++count) {
        slot_request request;
        request.routing = any_request();
        request.deadline = request.give_up_at = now() + seconds(60);
        asio::co_spawn(test.context, test.core.gate.acquire(std::move(request)),
                       [&](const std::exception_ptr&, slot_decision decision) {
                           healthy.push_back(std::move(std::get<routing::chosen_endpoint>(decision)));
                       });
    }
    test.context.restart();
    test.context.poll();
    CHECK(healthy.size() == 24);
    CHECK(std::ranges::none_of(
        healthy, [&](const auto& chosen) { return chosen.endpoint->id == suspect->endpoint->id; }));
    suspect->guard.release(now());
    test.core.isolation.release(chat, suspect->endpoint->id);
    CHECK_FALSE(test.core.isolation.any_reserved());
}

TEST_CASE("suspects run apart from each other and never twice at once", "[isolation]")
{
    // Guards against two suspects on one endpoint and against copies that crash two endpoints together.
    runner_fixture test;
    for (int count = 0; count < 8; ++count)
        test.add_endpoint("e" + std::to_string(count), 1, 8);
    const auto first = isolate(test, "a");
    const auto copy = isolate(test, "a");
    const auto other = isolate(test, "b");
    REQUIRE(first);
    CHECK_FALSE(copy);
    REQUIRE(other);
    CHECK(first->endpoint->id != other->endpoint->id);
}

TEST_CASE("an endpoint that a peer holds for a suspect runs nothing else", "[isolation]")
{
    // Guards against two entry processes that run two suspects, or a suspect and healthy requests, on one
    // endpoint, against copies of one suspect at two processes, and against holds that never end.
    runner_fixture test;
    for (int count = 0; count < 8; ++count)
        test.add_endpoint("e" + std::to_string(count), 1, 8);
    auto& isolation = test.core.isolation;
    const instance_id peer("j");
    const endpoint_id held("e0");
    const isolation_answer granted{true, 0};
    const isolation_answer refused{};
    CHECK(isolation.hold_for_peer(peer, held, key_of("a"), seconds(60)) == granted);
    CHECK(isolation.hold_for_peer(peer, held, key_of("a"), seconds(60)) == granted);
    CHECK(isolation.is_reserved(chat, held));
    CHECK(isolation.hold_for_peer(instance_id("k"), held, key_of("b"), seconds(60)) == refused);
    CHECK(isolation.hold_for_peer(instance_id("k"), endpoint_id("e1"), key_of("a"), seconds(60)) == refused);
    CHECK_FALSE(isolate(test, "a"));
    const auto other = isolate(test, "b");
    REQUIRE(other);
    CHECK(other->endpoint->id != held);
    CHECK(isolation.hold_for_peer(peer, other->endpoint->id, key_of("c"), seconds(60)) == refused);
    CHECK(isolation.hold_for_peer(peer, endpoint_id("e7"), key_of("b"), seconds(60)) == refused);

    CHECK(isolation.hold_for_peer(instance_id("k"), held, key_of("a"), milliseconds(0)) == granted);
    CHECK(isolation.is_reserved(chat, held));
    CHECK(isolation.hold_for_peer(peer, held, key_of("a"), milliseconds(0)) == granted);
    CHECK_FALSE(isolation.is_reserved(chat, held));
    isolation.release(chat, other->endpoint->id);
    CHECK_FALSE(isolation.any_reserved());
    // A hold that has expired counts no longer.
    (void)isolation.hold_for_peer(peer, held, key_of("a"), milliseconds(-1));
    CHECK_FALSE(isolation.is_reserved(chat, held));
    CHECK_FALSE(isolation.any_reserved());
}

TEST_CASE("a peer that grants an endpoint tells what still runs there", "[isolation]")
{
    // Guards against a suspect that starts beside the running requests of another entry process.
    runner_fixture test;
    test.add_endpoint("e1", 1, 8);
    auto load = test.core.table.find_load(endpoint_id("e1"));
    REQUIRE(load->try_acquire_slot(now(), 8, 1, 1));
    const routing::in_flight_guard running(std::move(load), 1, 1, now());
    const isolation_answer busy{true, 1};
    CHECK(test.core.isolation.hold_for_peer(instance_id("j"), endpoint_id("e1"), key_of("a"), seconds(1)) ==
          busy);
}

TEST_CASE("a suspect starts only if the peers agree", "[isolation]")
{
    // Guards against a start before the answer, and against a refused endpoint that stays reserved here or
    // at the peers.
    runner_fixture test;
    for (int count = 0; count < 4; ++count)
        test.add_endpoint("e" + std::to_string(count), 1, 8);
    bool agree = false;
    std::vector<endpoint_id> released;
    isolation_peers peers;
    peers.claim = [&](endpoint_id, admission::content_key, monotonic_time) -> asio::awaitable<bool> {
        co_return agree;
    };
    peers.release = [&](const endpoint_id& endpoint, const admission::content_key&) {
        released.push_back(endpoint);
    };
    test.core.isolation.set_peers(std::move(peers));
    CHECK_FALSE(isolate(test, "a"));
    CHECK(released.size() == 1);
    CHECK_FALSE(test.core.isolation.any_reserved());
    agree = true;
    auto started = isolate(test, "a");
    REQUIRE(started);
    CHECK(started->endpoint->id == released.front());
    started->guard.release(now());
    test.core.isolation.release(chat, started->endpoint->id);
    CHECK(released.size() == 2);
    CHECK_FALSE(test.core.isolation.any_reserved());
}

TEST_CASE("a suspect that cannot be isolated does not wait past its limit", "[isolation]")
{
    // Guards against isolation that delays an innocent request past its deadline or reserves the only
    // endpoint of a model.
    runner_fixture test;
    test.add_endpoint("e1", 1, 8);
    CHECK_FALSE(isolate(test, "a"));
    CHECK_FALSE(test.core.isolation.any_reserved());
    test.add_endpoint("e2", 1, 8);
    std::vector<routing::in_flight_guard> busy;
    for (const auto* name : {"e1", "e2"}) {
        auto load = test.core.table.find_load(endpoint_id(name));
        REQUIRE(load->try_acquire_slot(now(), 8, 1, 1));
        busy.emplace_back(std::move(load), 1, 1, now());
    }
    CHECK_FALSE(isolate(test, "a"));
    CHECK_FALSE(test.core.isolation.any_reserved());
}

TEST_CASE("a request that crashes two endpoints is quarantined", "[quarantine]")
{
    // Guards against a request that goes on to crash every endpoint, and against one that is resent.
    runner_fixture test;
    std::vector<std::unique_ptr<fake_engine>> engines;
    for (int count = 0; count < 5; ++count) {
        engines.push_back(
            std::make_unique<fake_engine>(test.context, [](int) { return fake_engine::crash(); }));
        test.add_endpoint("e" + std::to_string(count), engines.back()->port(), 4);
    }
    std::vector<admission::quarantine_record> published;
    test.core.publish_quarantine = [&](const std::vector<admission::quarantine_record>& records) {
        published.insert(published.end(), records.begin(), records.end());
    };
    const auto count_streams = [&] {
        int streams = 0;
        for (const auto& engine : engines)
            streams += engine->streams();
        return streams;
    };
    const auto request = test.run(milliseconds(60'000));
    REQUIRE(request->failure());
    CHECK(request->failure()->type == http::refusal_type::quarantined);
    CHECK(request->failure()->result == outcome::unknown);
    CHECK(count_streams() == 2);
    CHECK_FALSE(test.core.isolation.any_reserved());
    const auto resent = test.run(milliseconds(60'000));
    REQUIRE(resent->failure());
    CHECK(resent->failure()->type == http::refusal_type::quarantined);
    CHECK(resent->failure()->result == outcome::not_run);
    CHECK(count_streams() == 2);

    // The records alone quarantine it at another entry process.
    REQUIRE(published.size() == 2);
    runner_fixture other;
    other.core.merge_quarantine(published);
    const auto elsewhere = other.run(milliseconds(60'000));
    REQUIRE(elsewhere->failure());
    CHECK(elsewhere->failure()->type == http::refusal_type::quarantined);
}

TEST_CASE("a neighbour of a crashing request gets its answer", "[quarantine]")
{
    // Guards against suspicion that outlives the proof of innocence, and against a lost or doubled token.
    runner_fixture test;
    int streams = 0;
    const auto script = [&](int) {
        return streams++ == 0 ? fake_engine::crash() : fake_engine::whole_answer();
    };
    std::vector<std::unique_ptr<fake_engine>> engines;
    for (int count = 0; count < 3; ++count) {
        engines.push_back(std::make_unique<fake_engine>(test.context, script));
        test.add_endpoint("e" + std::to_string(count), engines.back()->port(), 4);
    }
    const auto request = test.run(milliseconds(60'000));
    CHECK(request->current_phase() == live_request::phase::finished);
    CHECK(request->tokens() == std::vector<std::string>{"a", "b"});
    CHECK(streams == 2);
    CHECK(test.core.quarantine.status(content_key_of(request->spec()), now()) ==
          admission::content_status::healthy);
    CHECK_FALSE(test.core.isolation.any_reserved());
}

#include <atomic>
#include <limits>
#include <map>
#include <thread>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "siskinwharf/base/hash.h"
#include "siskinwharf/routing/router.h"

namespace siskinwharf::routing {

namespace {

const target served_model = model_target{model_id("dough-7b"), "3"};

endpoint_info endpoint(int number, const std::string& domain = "a1", const std::string& region = "a")
{
    endpoint_info info;
    info.id = endpoint_id("e" + std::to_string(number));
    info.domain = failure_domain_id(domain);
    info.region = region_id(region);
    info.serves = served_model;
    info.capacity = 8;
    info.cost = price_per_token{10};
    return info;
}

routing_request request(std::uint64_t prefix = 0)
{
    routing_request wanted;
    wanted.serves = served_model;
    wanted.region = region_id("a");
    wanted.domain = failure_domain_id("a1");
    wanted.prompt_tokens = 256;
    wanted.output_tokens = 100;
    if (prefix != 0)
        wanted.prefix_hashes = {prefix, mix64(prefix), mix64(prefix + 1), mix64(prefix + 2)};
    return wanted;
}

monotonic_time at(std::int64_t milliseconds_since_start)
{
    return monotonic_time(milliseconds(1000 + milliseconds_since_start));
}

std::string id_of(const routing_decision& decision)
{
    if (const auto* chosen = std::get_if<chosen_endpoint>(&decision))
        return chosen->endpoint->id.value();
    return std::string(to_string(std::get<no_endpoint>(decision)));
}

std::vector<endpoint_info> many_endpoints(int count)
{
    std::vector<endpoint_info> infos;
    infos.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        infos.push_back(endpoint(number));
    return infos;
}

} // namespace

TEST_CASE("a decision without an endpoint states the reason")
{
    routing_table table;
    router routes(table, {});
    CHECK(id_of(routes.choose(request(), at(0))) == "no_endpoint_for_target");
    auto info = endpoint(1);
    info.capacity = 1;
    table.publish({{info}, {}, {}});
    auto held = routes.choose(request(), at(0));
    CHECK(id_of(held) == "e1");
    CHECK(id_of(routes.choose(request(), at(0))) == "all_full");
    std::get<chosen_endpoint>(held).guard.release(at(1));
    auto wanted = request();
    wanted.excluded = {info.id};
    CHECK(id_of(routes.choose(wanted, at(1))) == "no_endpoint_for_target");
    // 256 prompt tokens at 100 tokens/s take 2.56 s.
    table.apply_report(info.id, {1, at(1), 0, 0, 50, 100}, at(1));
    wanted = request();
    wanted.first_token_target = milliseconds(840);
    CHECK(id_of(routes.choose(wanted, at(1))) == "target_cannot_be_met");
    CHECK(table.mark_leaving({info.id}) == 1);
    CHECK(id_of(routes.choose(request(), at(1))) == "all_leaving");
}

// Without correction, a report measured before recent requests would make an endpoint look idle, and all
// entry processes would send their next requests to it.
TEST_CASE("a delayed report does not hide streams that started after it was measured")
{
    routing_table table;
    router routes(table, {.policy = least_in_flight{}});
    table.publish({{endpoint(1), endpoint(2)}, {}, {}});
    std::vector<routing_decision> held;
    held.reserve(6);
    for (int count = 0; count < 6; ++count)
        held.push_back(routes.choose(request(), at(500)));
    // Both reports were measured before the six requests; e2 also runs two streams of other entry processes.
    table.apply_report(endpoint_id("e1"), {1, at(0), 0, 0, 0, 0}, at(600));
    table.apply_report(endpoint_id("e2"), {1, at(0), 2, 0, 0, 0}, at(600));
    CHECK(table.find_load(endpoint_id("e1"))->streams() == 3);
    CHECK(table.find_load(endpoint_id("e2"))->streams() == 5);
    // Own streams that a report includes are not counted twice.
    table.apply_report(endpoint_id("e2"), {2, at(700), 5, 0, 0, 0}, at(900));
    CHECK(table.find_load(endpoint_id("e2"))->streams() == 5);
    CHECK_FALSE(table.apply_report(endpoint_id("e2"), {1, at(800), 0, 0, 0, 0}, at(900)));
    held.clear();
    CHECK(table.find_load(endpoint_id("e1"))->streams() == 0);
    CHECK(table.find_load(endpoint_id("e2"))->streams() == 2);
}

// Guards against overload by several entry processes: when those of three failure domains each used the whole
// capacity of an engine, its first tokens took 3 s.
TEST_CASE("only a part of an engine's capacity is used without a recent report")
{
    struct report_case {
        target serves;
        std::int64_t report_age_ms; ///< Negative: no report.
        std::uint32_t reported;
        std::uint32_t streams;
    };
    // Streams of other processes in an old report may have ended. An engine that still counted as full
    // because of them would never be used again.
    const auto example =
        GENERATE(report_case{served_model, -1, 0, 2}, report_case{served_model, 4'900, 0, 16},
                 report_case{served_model, 5'100, 0, 2}, report_case{served_model, 4'900, 16, 0},
                 report_case{served_model, 5'100, 16, 2},
                 report_case{service_target{service_id("orders")}, -1, 0, 16});
    routing_options options;
    options.unreported_capacity_divisor = 8;
    routing_table table;
    router routes(table, options);
    auto info = endpoint(1);
    info.capacity = 16;
    info.serves = example.serves;
    table.publish({{info}, {}, {}});
    if (example.report_age_ms >= 0) {
        load_report report;
        report.sequence = 1;
        report.measured_at = at(0);
        report.streams = example.reported;
        REQUIRE(table.apply_report(info.id, report, at(0)));
    }
    auto wanted = request();
    wanted.serves = example.serves;
    std::vector<routing_decision> held;
    while (held.empty() || std::holds_alternative<chosen_endpoint>(held.back()))
        held.push_back(routes.choose(wanted, at(std::max<std::int64_t>(example.report_age_ms, 0))));
    CHECK(held.size() - 1 == example.streams);
}

// Engines report no prefill rate in /load. Without an observed rate, requests were sent to engines whose
// queue already took seconds.
TEST_CASE("a request avoids an engine whose observed prefill rate misses the first-token target")
{
    routing_table table;
    router routes(table, {});
    table.publish({{endpoint(1)}, {}, {}});
    auto wanted = request();
    wanted.first_token_target = milliseconds(800);
    auto first = routes.choose(wanted, at(0));
    std::get<chosen_endpoint>(first).guard.prefill_done(at(500)); // 512 tokens/s.
    auto without_queue = routes.choose(wanted, at(600));
    CHECK(id_of(without_queue) == "e1");
    CHECK(id_of(routes.choose(wanted, at(600))) == "target_cannot_be_met");
    std::get<chosen_endpoint>(without_queue).guard.prefill_done(at(1'100));
    CHECK(id_of(routes.choose(wanted, at(1'200))) == "e1");
}

TEST_CASE("another region is used only without a local endpoint or if it saves more than egress costs")
{
    auto local = endpoint(1);
    auto remote = endpoint(2, "b1", "b");
    routing_table table;
    router routes(table, {});
    remote.cost = price_per_token{8};
    table.publish({{local, remote}, {}, egress_prices{}});
    CHECK(id_of(routes.choose(request(), at(0))) == "e2");
    // Egress of 1,024 B out and 4,800 B back costs 1,165 microcents; the cheaper tokens save 356 x 2 = 712.
    table.publish({{}, {}, egress_prices{{region_id("a"), 200}, {region_id("b"), 200}}});
    CHECK(id_of(routes.choose(request(), at(0))) == "e1");
    table.publish({{}, {local.id}, {}});
    CHECK(id_of(routes.choose(request(), at(0))) == "e2");
    auto wanted = request();
    wanted.first_token_target = milliseconds(50);
    CHECK(id_of(routes.choose(wanted, at(0))) == "target_cannot_be_met");
}

TEST_CASE("a gap in the cache events invalidates the hints of the endpoint")
{
    routing_table table;
    router routes(table, {});
    table.publish({many_endpoints(20), {}, {}});
    const auto home = id_of(routes.choose(request(77), at(0)));
    const endpoint_id hinted(home == "e3" ? "e4" : "e3");
    const auto hash = request(77).prefix_hashes.back();
    CHECK(routes.apply({hinted, 1, cache_event::change::stored, {hash}}));
    CHECK(id_of(routes.choose(request(77), at(0))) == hinted.value());
    CHECK(routes.apply({hinted, 5, cache_event::change::evicted, {}}));
    CHECK(id_of(routes.choose(request(77), at(0))) == home);
    CHECK_FALSE(routes.apply({hinted, 2, cache_event::change::stored, {hash}}));
}

TEST_CASE("an isolated endpoint runs one suspect request at a time and no other requests")
{
    routing_table table;
    router routes(table, {});
    auto info = endpoint(1);
    info.state = endpoint_state::isolated;
    table.publish({{info}, {}, {}});
    CHECK(id_of(routes.choose(request(), at(0))) == "no_endpoint_for_target");
    auto suspect = request();
    suspect.isolated = true;
    const auto held = routes.choose(suspect, at(0));
    CHECK(id_of(held) == "e1");
    CHECK(id_of(routes.choose(suspect, at(0))) == "all_full");
}

TEST_CASE("property: no endpoint exceeds its capacity or, while others have free slots, its load bound")
{
    CHECK(rc::check([] {
        const int endpoints = *rc::gen::inRange(1, 150);
        const auto requests = *rc::gen::inRange(1, endpoints * 8 + 1);
        const auto prefixes = *rc::gen::inRange(1, 20);
        routing_table table;
        router routes(table, {});
        table.publish({many_endpoints(endpoints), {}, {}});
        std::vector<routing_decision> held;
        std::map<std::string, int> counts;
        for (int count = 0; count < requests; ++count) {
            held.push_back(routes.choose(request(static_cast<std::uint64_t>(1 + count % prefixes)), at(0)));
            RC_ASSERT(std::holds_alternative<chosen_endpoint>(held.back()));
            ++counts[id_of(held.back())];
        }
        for (const auto& [id, count] : counts) {
            RC_ASSERT(count <= 8);
            // Groups above 128 endpoints are sampled, so only the smaller ones have an exact bound.
            RC_ASSERT(endpoints > 128 || count <= 1.25 * requests / endpoints + 1);
        }
    }));
}

TEST_CASE("a leaving endpoint is not chosen after mark_leaving has returned")
{
    routing_table table;
    router routes(table, {});
    constexpr int endpoints = 40;
    table.publish({many_endpoints(endpoints), {}, {}});
    std::atomic<int> left{0}; // Endpoints with a lower number are leaving.
    std::atomic<int> wrong{0};
    std::vector<std::thread> readers;
    for (std::uint64_t reader = 0; reader < 3; ++reader) {
        readers.emplace_back([&, reader] {
            for (std::uint64_t count = 1; left < endpoints; ++count) {
                const int before = left;
                const auto decision = routes.choose(request(count * 4 + reader), at(0));
                if (const auto* chosen = std::get_if<chosen_endpoint>(&decision);
                    chosen != nullptr && std::stoi(chosen->endpoint->id.value().substr(1)) < before)
                    ++wrong;
            }
        });
    }
    for (int number = 0; number < endpoints; ++number) {
        table.mark_leaving({endpoint(number).id});
        left = number + 1;
    }
    for (auto& reader : readers)
        reader.join();
    CHECK(wrong == 0);
    for (int number = 0; number < endpoints; ++number)
        CHECK(table.find_load(endpoint(number).id)->own_streams() == 0);
}

} // namespace siskinwharf::routing

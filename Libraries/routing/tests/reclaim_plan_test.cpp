#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "reclaim_scenario.h"

namespace siskinwharf::routing {

namespace {

/// Parameters of a reclaim of one stream, and the expected plan.
struct stream_case {
    const char* description;
    nanoseconds notice;
    std::uint32_t remaining;
    std::uint32_t free;
    bool imports;
    const char* target_region;
    double weight;
    nanoseconds deadline;
    std::size_t action; ///< Index into `reclaim_action`.
    bool meets_deadline;
};

/// A stream of 1,000 tokens so far with 1 GB of KV cache, which takes 1 s to export and costs 2 cents to send
/// to another region.
reclaim_snapshot make_single_stream(const stream_case& example)
{
    const target served = service_target{service_id("s")};
    reclaim_snapshot snapshot;
    snapshot.egress = {{region_id("a"), 2}};
    snapshot.leaving = {{endpoint_id("l"), region_id("a"), served, example.notice, 1e9, 100}};
    snapshot.streams = {{request_id("r"),
                         endpoint_id("l"),
                         900,
                         100,
                         example.remaining,
                         1'000'000'000,
                         example.deadline,
                         {}}};
    snapshot.targets = {{endpoint_id("t"), region_id(example.target_region), served, example.free,
                         example.imports, 1000, 50}};
    return snapshot;
}

} // namespace

TEST_CASE("each stream gets the cheapest option that meets its deadline")
{
    const stream_case cases[] = {
        {"finishes in time", seconds(5), 400, 9, true, "a", 1, seconds(60), 0, true},
        {"too long to finish", seconds(5), 600, 9, true, "a", 1, seconds(60), 1, true},
        {"no time to export", milliseconds(900), 600, 9, true, "a", 1, seconds(60), 2, true},
        {"target cannot import", seconds(5), 600, 9, false, "a", 1, seconds(60), 2, true},
        {"transfer costs more than recomputation", seconds(20), 2500, 9, true, "b", 1999, seconds(60), 2,
         true},
        {"recomputation costs more than transfer", seconds(20), 2500, 9, true, "b", 2001, seconds(60), 1,
         true},
        {"only recomputation meets the deadline", seconds(20), 2500, 9, true, "b", 1e6, seconds(52), 2, true},
        {"no option meets the deadline: earliest end", seconds(5), 600, 9, true, "a", 1, seconds(1), 1,
         false},
        {"no free slot", seconds(5), 600, 0, true, "a", 1, seconds(60), 3, false},
    };
    for (const auto& example : cases) {
        INFO(example.description);
        const auto plan =
            plan_reclaim(make_single_stream(example), {.microcents_per_recomputed_token = example.weight});
        CHECK(plan.streams[0].action.index() == example.action);
        CHECK(plan.streams[0].meets_deadline == example.meets_deadline);
    }
    auto unknown = make_single_stream(cases[0]);
    unknown.leaving.clear();
    CHECK_THROWS_AS(plan_reclaim(unknown, {}), unknown_leaving_endpoint);
}

TEST_CASE("reclaiming a failure domain recomputes at most a tenth of the tokens of a restart")
{
    const auto snapshot = make_reclaim_snapshot({});
    for (const double weight : {cost_heavy_weight, recompute_heavy_weight}) {
        const auto plan = plan_reclaim(snapshot, {.microcents_per_recomputed_token = weight});
        CHECK(plan.recomputed_tokens * 10 <= restart_tokens(snapshot));
        CHECK(plan.late == 0);
        CHECK(plan.waiting == 0);
    }
}

TEST_CASE(
    "property: a plan respects slots, export bandwidth and time left, and favours streams with more tokens")
{
    CHECK(rc::check([] {
        reclaim_scenario scenario;
        scenario.leaving = *rc::gen::inRange(1, 6);
        scenario.targets_in_region = *rc::gen::inRange(0, 8);
        scenario.targets_elsewhere = *rc::gen::inRange(0, 8);
        scenario.free_streams = *rc::gen::inRange<std::uint32_t>(0, 30);
        scenario.notice = seconds(*rc::gen::inRange(0, 40));
        scenario.seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto snapshot = make_reclaim_snapshot(scenario);
        const auto plan = plan_reclaim(snapshot, {.microcents_per_recomputed_token = 300});
        std::map<std::string, std::uint32_t> placed;
        std::map<std::string, std::map<nanoseconds, nanoseconds>> exports;
        std::uint64_t least_valuable_placed = UINT64_MAX;
        std::uint64_t most_valuable_waiting = 0;
        for (std::size_t index = 0; index < plan.streams.size(); ++index) {
            const auto& stream = snapshot.streams[index];
            const auto& action = plan.streams[index].action;
            const std::uint32_t cached = stream.cached.empty() ? 0 : stream.cached[0].tokens;
            const std::uint64_t value =
                stream.prompt_tokens + stream.produced_tokens - std::min(cached, stream.prompt_tokens);
            const auto length = std::chrono::duration_cast<nanoseconds>(
                std::chrono::duration<double>(static_cast<double>(stream.kv_bytes) / 1.25e9));
            if (const auto* moved = std::get_if<move_cache>(&action)) {
                ++placed[moved->to.value()];
                exports[stream.endpoint.value()][moved->export_start] = moved->export_start + length;
            } else if (const auto* continued = std::get_if<continue_elsewhere>(&action)) {
                ++placed[continued->to.value()];
            }
            if (std::holds_alternative<wait_for_capacity>(action))
                most_valuable_waiting = std::max(most_valuable_waiting, value);
            else if (!std::holds_alternative<finish_here>(action))
                least_valuable_placed = std::min(least_valuable_placed, value);
        }
        for (const auto& [to, count] : placed)
            RC_ASSERT(count <= scenario.free_streams);
        RC_ASSERT(most_valuable_waiting <= least_valuable_placed);
        for (const auto& [from, intervals] : exports) {
            nanoseconds free_at{0};
            for (const auto& [begin, end] : intervals) {
                RC_ASSERT(begin >= free_at);
                RC_ASSERT(end <= scenario.notice);
                free_at = end;
            }
        }
    }));
}

} // namespace siskinwharf::routing

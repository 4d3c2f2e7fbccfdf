#include <catch2/catch.hpp>

#include "../benchmarks/batch_simulation.h"

namespace siskinwharf::claims {

namespace {

const monotonic_time start{};

cloud::table_write make_write(const std::string& key, std::size_t size = 10)
{
    return {key, std::string(size, 'x'), cloud::require_absent{}};
}

batch_limits small_limits()
{
    return {3, 100, milliseconds{30}, 8, 2};
}

} // namespace

TEST_CASE("a write can be withdrawn until its group is in flight")
{
    // Guards against a write that is reported as not sent but is sent later, and against a wrong queue size.
    claim_batcher batcher(small_limits());
    const auto a = batcher.submit(make_write("a"), start);
    const auto b = batcher.submit(make_write("b"), start);
    REQUIRE((a && b));
    CHECK(batcher.withdraw(*a));
    CHECK_FALSE(batcher.withdraw(*a));
    const auto first = batcher.next_batch(start + milliseconds{30});
    REQUIRE(first);
    CHECK(first->transaction.writes == std::vector{make_write("b")});
    CHECK_FALSE(batcher.withdraw(*b));
    // A write that waits for a retry because its group conflicted is not in flight.
    const auto c = batcher.submit(make_write("c"), start);
    const auto d = batcher.submit(make_write("d"), start);
    const auto second = batcher.next_batch(start + milliseconds{30});
    REQUIRE((c && d && second));
    CHECK(batcher.on_result(second->number, cloud::table_conflict{{{0, std::nullopt}}}).size() == 1);
    CHECK(batcher.withdraw(*d));
    CHECK(batcher.on_result(first->number, cloud::table_committed{}).size() == 1);
    CHECK(batcher.size() == 0);
    CHECK_FALSE(batcher.next_batch(start + milliseconds{60}));
}

TEST_CASE("a group is committed when it reaches a limit and not before")
{
    struct limit_case {
        std::string name;
        std::vector<cloud::table_write> writes;
        milliseconds waited;
        std::size_t expected; // Number of writes in the first group, 0 if no group is due.
    };
    const std::vector<limit_case> cases{
        {"nothing reached", {make_write("a"), make_write("b")}, milliseconds{29}, 0},
        {"age", {make_write("a"), make_write("b")}, milliseconds{30}, 2},
        {"count", {make_write("a"), make_write("b"), make_write("c"), make_write("d")}, milliseconds{0}, 3},
        {"bytes", {make_write("a", 60), make_write("b", 60)}, milliseconds{0}, 1},
        {"one write above the byte limit", {make_write("a", 200)}, milliseconds{0}, 1},
        {"two writes of one row", {make_write("a"), make_write("a"), make_write("b")}, milliseconds{0}, 1},
    };
    for (const auto& [name, writes, waited, expected] : cases) {
        INFO(name);
        claim_batcher batcher(small_limits());
        for (const auto& write : writes)
            CHECK(batcher.submit(write, start));
        const auto batch = batcher.next_batch(start + waited);
        CHECK((batch ? batch->transaction.writes.size() : 0) == expected);
    }
}

TEST_CASE("each write of a group gets its own result")
{
    struct result_case {
        std::string name;
        cloud::commit_result result;
        std::vector<std::size_t> answered; // Index of the variant alternative for each write with a result.
        std::size_t committed_again;
    };
    const cloud::table_row row{"b", "v", 4};
    const std::vector<result_case> cases{
        {"committed", cloud::table_committed{}, {0, 0, 0}, 0},
        {"one conflicts", cloud::table_conflict{{{1, row}}}, {1}, 2},
        {"all conflict", cloud::table_conflict{{{0, row}, {1, row}, {2, row}}}, {1, 1, 1}, 0},
        {"conflict of no write in the group", cloud::table_conflict{{{7, row}}}, {2, 2, 2}, 0},
        {"not sent", cloud::table_unavailable{}, {2, 2, 2}, 0},
        {"answer lost", cloud::table_uncertain{}, {3, 3, 3}, 0},
    };
    for (const auto& [name, result, answered, committed_again] : cases) {
        INFO(name);
        claim_batcher batcher(small_limits());
        for (const auto* key : {"a", "b", "c"})
            CHECK(batcher.submit(make_write(key), start));
        const auto answers = batcher.on_result(batcher.next_batch(start)->number, result);
        std::vector<std::size_t> alternatives;
        for (const auto& answer : answers) {
            alternatives.push_back(answer.result.index());
            if (const auto* conflict = std::get_if<cloud::table_conflict>(&answer.result))
                CHECK(conflict->rows == std::vector{cloud::table_conflict_row{0, row}});
        }
        CHECK(alternatives == answered);
        const auto again = batcher.next_batch(start);
        CHECK((again ? again->transaction.writes.size() : 0) == committed_again);
        CHECK(batcher.size() == committed_again);
    }
}

TEST_CASE("a full queue refuses writes, so that an outage of the table does not exhaust the memory")
{
    claim_batcher batcher(small_limits());
    for (std::size_t index = 0; index < 8; ++index)
        CHECK(batcher.submit(make_write(std::to_string(index)), start));
    CHECK_FALSE(batcher.submit(make_write("late"), start));
    const auto first = batcher.next_batch(start);
    CHECK(batcher.next_batch(start));
    // Two transactions are in flight, which is the limit.
    CHECK_FALSE(batcher.next_batch(start + seconds{1}));
    CHECK_FALSE(batcher.submit(make_write("late"), start));
    CHECK(batcher.on_result(first->number, cloud::table_uncertain{}).size() == 3);
    CHECK(batcher.on_result(first->number, cloud::table_uncertain{}).empty());
    CHECK(batcher.submit(make_write("late"), start));
}

TEST_CASE("300 transactions/s complete thousands of grouped claim writes/s but only 300 single writes/s")
{
    batch_load load;
    load.writes_per_second = 6000;
    const auto grouped = simulate_batches(load, {});
    CHECK(grouped.completed_per_second > 5800);
    CHECK(grouped.refused == 0);
    CHECK(grouped.wait_p95 < milliseconds{150});
    batch_limits single;
    single.maximum_writes = 1;
    const auto ungrouped = simulate_batches(load, single);
    CHECK(ungrouped.completed_per_second < 301);
}

} // namespace siskinwharf::claims

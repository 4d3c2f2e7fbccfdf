#include <catch2/catch.hpp>

#include "siskinwharf/usage/synchronized_clock.h"
#include "siskinwharf/usage/usage_error.h"
#include "siskinwharf/usage/usage_ledger.h"

namespace siskinwharf::usage {

TEST_CASE("a lost, repeated or late message does not change a total")
{
    usage_ledger first(instance_id("a"), 1);
    usage_ledger second(instance_id("b"), 2);
    first.add(account_id("bakery"), 10);
    const auto early = first.own_entries(10);
    first.add(account_id("bakery"), 10);
    second.add(account_id("bakery"), 10);
    for (const auto& entry : first.own_entries(10))
        second.merge(entry);
    for (const auto& entry : early)
        second.merge(entry);
    CHECK(second.total(10) == window_counts{{account_id("bakery"), 3}});
}

TEST_CASE("the counts of a restarted process do not replace those before the restart")
{
    usage_ledger reader(instance_id("r"), 9);
    reader.merge({instance_id("a"), 1, 4, {{account_id("x"), 5}}});
    reader.merge({instance_id("a"), 2, 4, {{account_id("x"), 2}}});
    CHECK(reader.total(4) == window_counts{{account_id("x"), 7}});
}

TEST_CASE("sums of other failure domains are counted once, whichever of their relays sends them")
{
    usage_ledger reader(instance_id("r"), 9);
    reader.add(account_id("x"), 4);
    reader.merge({instance_id("a"), 1, 4, {{account_id("x"), 5}}});
    const failure_domain_id domain("montego-a");
    reader.merge_domain(domain, {instance_id("first-relay"), 3, 4, {{account_id("x"), 10}}});
    reader.merge_domain(domain, {instance_id("second-relay"), 7, 4, {{account_id("x"), 11}}});
    CHECK(reader.total(4) == window_counts{{account_id("x"), 17}});
    // The sums of other domains are not passed on.
    CHECK(reader.domain_entries(4) ==
          std::vector<usage_entry>{{instance_id("r"), 9, 4, {{account_id("x"), 6}}}});
}

TEST_CASE("stored counts are decoded and damaged ones are an error")
{
    const window_counts counts{{account_id("a"), 3}, {account_id("b=c"), 0}};
    CHECK(decode_counts(encode(counts)) == counts);
    CHECK(decode_counts("").empty());
    CHECK_THROWS_AS(decode_counts("a"), usage_error);
    CHECK_THROWS_AS(decode_counts("a=1x"), usage_error);
}

TEST_CASE("a minority of wrong clocks does not shift the synchronized time")
{
    const monotonic_time start{};
    const wall_time day{milliseconds(1'000'000)};
    synchronized_clock own(day + milliseconds(2'400), start); // This process started with a wrong clock.
    for (const auto* peer : {"a", "b", "c", "d"})
        own.observe(instance_id(peer), day, start);
    own.observe(instance_id("e"), day - milliseconds(9'000), start);
    CHECK(own.now(start + seconds(1)) == day + seconds(1));
}

} // namespace siskinwharf::usage

#include <catch2/catch.hpp>

#include "siskinwharf/membership/load_changes.h"

namespace siskinwharf::membership {

TEST_CASE(
    "a digest is sent when the load changed, and again after the repeat period for those that missed it")
{
    load_changes changes;
    const monotonic_time start;
    const peer::load_digest first{1, 4, 12, 100};
    const peer::load_digest second{2, 0, 16, 50};
    CHECK(changes.select(start, {first, second}) == std::vector{first, second});

    // The sequence rises with each report of an engine, so it alone must not cause a message.
    const peer::load_digest first_later{1, 4, 12, 101};
    const peer::load_digest second_busy{2, 1, 15, 51};
    CHECK(changes.select(start + load_poll_period, {first_later, second_busy}) == std::vector{second_busy});
    CHECK(changes.select(start + 2 * load_poll_period, {first_later, second_busy}).empty());

    CHECK(changes.select(start + load_repeat_period, {first_later, second_busy}) == std::vector{first_later});
}

TEST_CASE("an endpoint that comes back to this poller is sent at once, because others reported it in between")
{
    load_changes changes;
    const monotonic_time start;
    const peer::load_digest digest{1, 4, 12, 100};
    CHECK(changes.select(start, {digest}).size() == 1);
    CHECK(changes.select(start + load_poll_period, {}).empty());
    CHECK(changes.select(start + 2 * load_poll_period, {digest}).size() == 1);
}

TEST_CASE("digests are sent less often in large failure domains, where each goes to many members")
{
    CHECK(polls_per_send(1) == 1);
    CHECK(polls_per_send(16) == 1);
    CHECK(polls_per_send(17) == 2);
    CHECK(polls_per_send(30) == 2);
    load_repeats repeats;
    const monotonic_time start;
    repeats.receive(start, {1, 16, 0, 100});
    CHECK(repeats.due(start + 2 * load_poll_period, 2).empty());
    CHECK(repeats.due(start + 3 * load_poll_period, 2).size() == 1);
}

TEST_CASE(
    "an unchanged load is applied again while its poller is heard, so that a shift between senders shows")
{
    load_repeats repeats;
    const monotonic_time start;
    const peer::load_digest digest{1, 16, 0, 100};
    const auto first = repeats.receive(start, digest);
    // The digest of the next poll may still be on its way, and own streams that started since must count.
    CHECK(repeats.due(start + load_poll_period, 1).empty());
    auto last = first.sequence;
    for (int second = 2; second <= 12; ++second) {
        const auto due = repeats.due(start + second * load_poll_period, 1);
        REQUIRE(due.size() == 1);
        CHECK(due.front().digest == digest);
        CHECK(due.front().age == load_poll_period * 3 / 2);
        CHECK(due.front().sequence > last);
        last = due.front().sequence;
    }
    // The next report of the engine must not count as older than the repeats.
    CHECK(repeats.receive(start, {1, 15, 1, 101}).sequence > last);
    CHECK(repeats.due(start + load_repeat_period + 3 * load_poll_period, 1).empty());
}

} // namespace siskinwharf::membership

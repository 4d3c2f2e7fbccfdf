#include <catch2/catch.hpp>

#include "siskinwharf/dispatch/answer_pace.h"

namespace siskinwharf::dispatch {

namespace {

constexpr monotonic_time start{};

void add_ended(answer_pace& pace, milliseconds taken, std::uint64_t answer_tokens)
{
    const auto answer = pace.begin(answer_tokens, start);
    pace.end(answer, start + taken);
}

} // namespace

TEST_CASE("an answer is expected to take half as long again as the slowest one lately")
{
    answer_pace pace;
    CHECK_FALSE(pace.longest(100, start));
    add_ended(pace, milliseconds(100), 100);
    add_ended(pace, milliseconds(4'000), 400);
    CHECK(pace.longest(100, start) == milliseconds(1'500));
    for (int count = 0; count < 64; ++count)
        add_ended(pace, milliseconds(200), 100);
    CHECK(pace.longest(100, start) == milliseconds(300));
}

TEST_CASE("the answers that end first make all answers look short")
{
    answer_pace pace;
    const auto slow = pace.begin(100, start);
    add_ended(pace, milliseconds(200), 100);
    CHECK(pace.longest(100, start + milliseconds(4'000)) == milliseconds(6'000));
    pace.end(slow, start + milliseconds(5'000));
    CHECK(pace.longest(100, start + milliseconds(9'000)) == milliseconds(7'500));
    // An answer ends once.
    pace.end(slow, start + milliseconds(20'000));
    CHECK(pace.longest(100, start + milliseconds(20'000)) == milliseconds(7'500));
}

} // namespace siskinwharf::dispatch

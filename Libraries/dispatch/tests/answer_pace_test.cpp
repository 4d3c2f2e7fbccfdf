#include <catch2/catch.hpp>

#include "siskinwharf/dispatch/answer_pace.h"

namespace siskinwharf::dispatch {

TEST_CASE("an answer is expected to take half as long again as the slowest one lately")
{
    answer_pace pace;
    CHECK_FALSE(pace.longest(100));
    pace.add(milliseconds(100), 100);
    pace.add(milliseconds(4'000), 400);
    CHECK(pace.longest(100) == milliseconds(1'500));
    // A request that allows no answer says nothing about the pace.
    pace.add(milliseconds(9'000), 0);
    CHECK(pace.longest(100) == milliseconds(1'500));
    for (int count = 0; count < 64; ++count)
        pace.add(milliseconds(200), 100);
    CHECK(pace.longest(100) == milliseconds(300));
}

} // namespace siskinwharf::dispatch

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

TEST_CASE("an answer is expected to take half as long again as the answers lately")
{
    answer_pace pace;
    CHECK_FALSE(pace.expected(100, start));
    add_ended(pace, milliseconds(4'000), 400);
    CHECK(pace.expected(100, start) == milliseconds(1'500));
    // An answer that allows one token says little about the pace of long ones.
    add_ended(pace, milliseconds(90), 1);
    CHECK(pace.expected(100, start) == milliseconds(1'530));
    for (int count = 0; count < 64; ++count)
        add_ended(pace, milliseconds(200), 100);
    CHECK(pace.expected(100, start) == milliseconds(300));
}

TEST_CASE("the answers that end first make all answers look short")
{
    answer_pace pace;
    const auto slow = pace.begin(100, start);
    add_ended(pace, milliseconds(200), 100);
    // The running answer counts once it has taken longer than expected.
    CHECK(pace.expected(100, start + milliseconds(100)) == milliseconds(300));
    CHECK(pace.expected(100, start + milliseconds(4'000)) == milliseconds(3'150));
    pace.end(slow, start + milliseconds(5'000));
    CHECK(pace.expected(100, start + milliseconds(9'000)) == milliseconds(3'900));
    // An answer ends once.
    pace.end(slow, start + milliseconds(20'000));
    CHECK(pace.expected(100, start + milliseconds(20'000)) == milliseconds(3'900));
}

TEST_CASE("answers of requests that name no number of tokens say nothing about the pace")
{
    answer_pace pace;
    add_ended(pace, milliseconds(2'000), 0);
    CHECK_FALSE(pace.expected(100, start));
    add_ended(pace, milliseconds(200), 100);
    CHECK_FALSE(pace.expected(0, start));
    CHECK(pace.expected(100, start) == milliseconds(300));
}

} // namespace siskinwharf::dispatch

#include <array>
#include <vector>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "siskinwharf/base/digest.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/base/hash.h"
#include "siskinwharf/base/log_buffer.h"

namespace siskinwharf {

TEST_CASE("digests match published test vectors")
{
    CHECK(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    // RFC 4231, test case 2.
    CHECK(to_hex(hmac_sha256("Jefe", "what do ya want for nothing?")) ==
          "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    CHECK(equal_constant_time("ab", "ab"));
    CHECK_FALSE(equal_constant_time("ab", "ac"));
    CHECK_FALSE(equal_constant_time("ab", "abc"));
}

TEST_CASE("a field value with control characters cannot forge a second log line")
{
    CHECK(format_event(event::request_refused, {{"account", "a\nE105 x"}, {"type", "overload"}}) ==
          "I202 request_refused account=\"a\\x0aE105 x\" type=overload");
}

TEST_CASE("event numbers rise, so that none is used twice")
{
    for (std::size_t index = 1; index < event::all.size(); ++index)
        CHECK(event::all[index - 1].number < event::all[index].number);
}

TEST_CASE("the hash is stable, because entry processes of different versions must agree on it")
{
    CHECK(hash64("") == mix64(0xCBF29CE484222325ULL));
    CHECK(hash64("a") != hash64("b"));
}

TEST_CASE("a log that nobody reads neither blocks nor grows, and its lost lines are counted")
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    log_buffer output(ends[1]);
    const std::string line(200, 'x');
    constexpr int lines = 5'000; // A megabyte: more than the pipe and the buffer hold.
    for (int count = 0; count < lines; ++count) {
        output.add(221, line);
        output.flush();
    }
    CHECK(output.waiting() <= log_buffer::capacity);
    CHECK(output.has_dropped());
    const auto dropped = output.take_dropped();
    REQUIRE(dropped.contains(221));
    CHECK(dropped.at(221) < lines);
    CHECK_FALSE(output.has_dropped());
    // A reader that comes back gets what was kept.
    std::vector<char> received(log_buffer::capacity);
    REQUIRE(read(ends[0], received.data(), received.size()) > 0);
    const auto before = output.waiting();
    output.flush();
    CHECK(output.waiting() < before);
    close(ends[0]);
    close(ends[1]);
}

} // namespace siskinwharf

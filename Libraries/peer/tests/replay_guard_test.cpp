#include <catch2/catch.hpp>

#include "siskinwharf/peer/replay_guard.h"

namespace siskinwharf::peer {

TEST_CASE("a recorded frame is refused, and a frame that was overtaken is not")
{
    constexpr std::uint64_t start = 1'000'000;
    struct step {
        std::uint64_t sequence;
        bool accepted;
    };
    const step steps[] = {
        {start, true},
        {start, false},
        {start + 3, true},
        {start + 1, true},
        {start + 1, false},
        {start + 3, false},
        {start + 1 + replay_guard::window, true},
        {start + 1, false},                       // Older than the window.
        {start + 2, true},                        // The oldest in the window, never seen.
        {start + 3, false},                       // In the window and seen.
        {start + 3 + replay_guard::window, true}, // Takes the bit of a sequence that was seen.
        {start + 2 + replay_guard::window, true}, // Not seen, although its bit was used before.
        {start + 9 * replay_guard::window, true}, // Beyond the window.
        {start + 9 * replay_guard::window, false},
    };
    replay_guard guard;
    for (const auto& [sequence, accepted] : steps) {
        CAPTURE(sequence);
        CHECK(guard.accept(instance_id("a"), sequence).has_value() == !accepted);
    }
    // Another sender has its own window.
    CHECK(guard.accept(instance_id("b"), start) == std::nullopt);
}

TEST_CASE("the memory for senders is bounded, because instances are replaced all the time")
{
    replay_guard guard;
    for (std::uint64_t index = 0; index <= replay_guard::sender_limit; ++index)
        REQUIRE(guard.accept(instance_id(std::to_string(index)), index) == std::nullopt);
    // Only the sender with the lowest sequence was dropped.
    CHECK(guard.accept(instance_id("1"), 1) != std::nullopt);
}

} // namespace siskinwharf::peer

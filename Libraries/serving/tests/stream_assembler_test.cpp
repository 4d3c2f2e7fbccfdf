#include <catch2/catch.hpp>

#include <algorithm>

#include <rapidcheck.h>

#include "siskinwharf/serving/stream_assembler.h"

namespace siskinwharf::serving {

TEST_CASE("chunks of a superseded attempt never reach the answer")
{
    stream_assembler assembler;
    const auto first = assembler.begin_attempt();
    CHECK(assembler.accept({first, 0, "a"}) == chunk_result::delivered);
    CHECK(assembler.accept({first, 2, "stale"}) == chunk_result::held);
    const auto second = assembler.begin_attempt();
    CHECK(assembler.accept({first, 1, "stale"}) == chunk_result::superseded);
    assembler.finish(first, 1);
    CHECK_FALSE(assembler.complete());
    CHECK(assembler.accept({second, 1, "b"}) == chunk_result::delivered);
    CHECK(assembler.accept({second, 2, "c"}) == chunk_result::delivered);
    assembler.finish(second, 3);
    CHECK(assembler.complete());
    CHECK(assembler.tokens() == std::vector<std::string>{"a", "b", "c"});
}

TEST_CASE("the reorder buffer is bounded, so that a faulty endpoint cannot exhaust memory")
{
    stream_assembler assembler;
    const auto attempt = assembler.begin_attempt();
    CHECK(assembler.accept({attempt, stream_assembler::reorder_window_tokens, "x"}) ==
          chunk_result::too_early);
    CHECK(assembler.accept({attempt, stream_assembler::reorder_window_tokens - 1, "x"}) ==
          chunk_result::held);
}

TEST_CASE("a chunk after the announced end is not delivered")
{
    stream_assembler assembler;
    const auto attempt = assembler.begin_attempt();
    assembler.finish(attempt, 1);
    CHECK(assembler.accept({attempt, 1, "x"}) == chunk_result::conflict);
    CHECK(assembler.accept({attempt, 0, "a"}) == chunk_result::delivered);
    CHECK(assembler.complete());
}

TEST_CASE("every offset is delivered once and in order despite late, duplicate and superseded chunks")
{
    const bool passed = rc::check([] {
        const auto length = *rc::gen::inRange<std::size_t>(1, 40);
        stream_assembler assembler;
        std::vector<std::string> seen;
        for (int rounds = *rc::gen::inRange(1, 4); rounds > 0; --rounds) {
            const auto old_attempt = assembler.attempt();
            const auto attempt = assembler.begin_attempt();
            const auto start = assembler.tokens().size();
            std::vector<token_chunk> chunks;
            for (std::size_t offset = start; offset < length; ++offset) {
                chunks.push_back({attempt, offset, "t" + std::to_string(offset)});
                if (*rc::gen::arbitrary<bool>())
                    chunks.push_back({attempt, offset, "t" + std::to_string(offset)});
                if (*rc::gen::arbitrary<bool>())
                    chunks.push_back({old_attempt, offset, "stale"});
            }
            // Swaps of neighbours simulate late chunks.
            for (std::size_t index = 1; index < chunks.size(); ++index) {
                if (*rc::gen::arbitrary<bool>())
                    std::swap(chunks[index - 1], chunks[index]);
            }
            const auto used =
                rounds == 1 ? chunks.size() : *rc::gen::inRange<std::size_t>(0, chunks.size() + 1);
            for (std::size_t index = 0; index < used; ++index) {
                assembler.accept(chunks[index]);
                const auto& tokens = assembler.tokens();
                for (auto offset = seen.size(); offset < tokens.size(); ++offset)
                    seen.push_back(tokens[offset]);
            }
        }
        assembler.finish(assembler.attempt(), length);
        RC_ASSERT(assembler.complete());
        RC_ASSERT(seen.size() == length);
        for (std::size_t offset = 0; offset < length; ++offset)
            RC_ASSERT(seen[offset] == "t" + std::to_string(offset));
    });
    CHECK(passed);
}

} // namespace siskinwharf::serving

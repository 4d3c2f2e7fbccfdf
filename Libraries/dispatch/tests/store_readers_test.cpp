#include <catch2/catch.hpp>

#include "siskinwharf/dispatch/store_readers.h"

namespace siskinwharf::dispatch {

namespace {

/// Processes of one failure domain that exchange messages in steps.
struct domain {
    explicit domain(std::size_t size) : candidates(size)
    {
        for (std::size_t index = 0; index < size; ++index)
            candidates[index].process = instance_id("entry-" + std::to_string(index));
    }

    void step()
    {
        std::vector<bool> reading;
        for (std::size_t index = 0; index < candidates.size(); ++index)
            reading.push_back(reads(index));
        for (std::size_t index = 0; index < candidates.size(); ++index)
            candidates[index].is_reading = reading[index];
    }

    [[nodiscard]] bool reads(std::size_t index) const
    {
        auto others = candidates;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
        return is_store_reader(candidates[index].process, others);
    }

    [[nodiscard]] std::vector<std::size_t> readers() const
    {
        std::vector<std::size_t> result;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (candidates[index].is_reading)
                result.push_back(index);
        }
        return result;
    }

    std::vector<store_reader_candidate> candidates;
};

} // namespace

TEST_CASE("two processes of a large failure domain read the store, and all of a small one")
{
    domain small(4);
    small.step();
    CHECK(small.readers().size() == 4);
    domain large(14);
    large.step();
    large.step();
    CHECK(large.readers().size() == 2);
}

TEST_CASE("no process relies on a reader that the store does not answer")
{
    // Guards against a failure domain that misses a change because both of its readers have lost the store.
    domain processes(10);
    processes.step();
    processes.step();
    const auto first = processes.readers();
    REQUIRE(first.size() == 2);
    for (const auto index : first)
        processes.candidates[index].store_response_age = maximum_reader_staleness + milliseconds(1);
    processes.step();
    CHECK(processes.readers().size() == 10);
    processes.step();
    processes.step();
    // The readers without the store keep trying.
    CHECK(processes.readers().size() == 4);
    for (const auto index : first)
        processes.candidates[index].store_response_age = milliseconds(0);
    processes.step();
    processes.step();
    CHECK(processes.readers() == first);
}

TEST_CASE("a reader that is not heard is replaced before its last answer from the store is old")
{
    // Guards against a change that both readers of a failure domain read, or missed, just before they died.
    domain processes(10);
    processes.step();
    processes.step();
    const auto first = processes.readers();
    REQUIRE(first.size() == 2);
    for (const auto index : first) {
        processes.candidates[index].store_response_age = milliseconds(1'100);
        processes.candidates[index].silence = maximum_reader_silence;
    }
    processes.step();
    CHECK(processes.readers() == first);
    for (const auto index : first)
        processes.candidates[index].silence = maximum_reader_silence + milliseconds(1);
    processes.step();
    CHECK(processes.readers().size() == 10);
}

} // namespace siskinwharf::dispatch

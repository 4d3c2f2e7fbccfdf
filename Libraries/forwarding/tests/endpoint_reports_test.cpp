#include <catch2/catch.hpp>

#include "endpoint_reports.h"

namespace siskinwharf::forwarding {

namespace {

constexpr monotonic_time start{seconds(1'000)};

/// Bytes of the reports that go with this number of messages, some time after the last crash.
std::size_t bytes_of_messages(const traffic_state& state, milliseconds after_crash, std::uint64_t messages)
{
    std::size_t bytes = 0;
    for (std::uint64_t sequence = 1; sequence <= messages; ++sequence) {
        for (const auto& datagram :
             encode_reports(state, instance_id("entry-1"), 1, sequence, start + after_crash))
            bytes += datagram.size();
    }
    return bytes;
}

} // namespace

TEST_CASE("records of crashes do not use up the network of a large deployment")
{
    process_settings settings;
    settings.instance = instance_id("entry-1");
    traffic_state state(settings, 1, usage::wall_time{}, start);
    CHECK(bytes_of_messages(state, milliseconds(0), 48) == 0);
    for (std::uint64_t crash = 1; crash <= 40; ++crash) {
        const std::string digest(64, static_cast<char>('a' + crash % 26));
        CHECK(state.count_crash({account_id("bakery"), digest}, crash, start) !=
              admission::content_status::healthy);
        state.count_part_crash({crash, crash + 100}, crash, start);
    }
    // Peers learn of new crashes with each message, and later of them now and then.
    CHECK(encode_reports(state, instance_id("entry-1"), 1, 1, start + milliseconds(100)).size() > 1);
    // A process of a large deployment sends 48 messages a second, and may send 10 KB for control. Half of it
    // is left to the states.
    constexpr std::uint64_t seconds_counted = 100;
    const auto later = bytes_of_messages(state, milliseconds(60'000), 48 * seconds_counted);
    CHECK(later > 0);
    CHECK(later / seconds_counted <= 5'000);
}

} // namespace siskinwharf::forwarding

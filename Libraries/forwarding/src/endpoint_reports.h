#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "siskinwharf/forwarding/traffic_state.h"

namespace siskinwharf::forwarding {

/// Number of state messages of which one carries the records of crashes while nothing is new about them.
inline constexpr std::uint64_t messages_per_crash_repetition = 64;

/// Returns the datagrams that go with the state message of this sequence number: records of crashes while
/// they are new and now and then, and what endpoints said lately of their limits. Large deployments send some
/// 50 messages a second, and records of crashes are kept for minutes.
[[nodiscard]] std::vector<std::string> encode_reports(const traffic_state& state, const instance_id& process,
                                                      std::uint64_t start, std::uint64_t sequence,
                                                      monotonic_time now);

} // namespace siskinwharf::forwarding

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "siskinwharf/admission/part_quarantine.h"
#include "siskinwharf/base/identifier.h"

namespace siskinwharf::exchange {

/// Prompt parts whose requests crashed endpoints, as known to the sender from all processes. Sent with each
/// state in a datagram of its own, so that each fits into one packet.
struct part_crash_update {
    instance_id process;
    std::uint64_t start = 0;
    std::vector<admission::part_crash_record> parts;

    bool operator==(const part_crash_update&) const = default;
};

/// Maximum number of records in a `part_crash_update`, so that it fits into a packet.
inline constexpr std::size_t maximum_part_records_per_message = 10;

[[nodiscard]] std::string encode(const part_crash_update& update);

} // namespace siskinwharf::exchange

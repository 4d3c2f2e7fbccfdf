#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "siskinwharf/admission/quarantine.h"
#include "siskinwharf/base/identifier.h"

namespace siskinwharf::exchange {

/// Contents of requests that crashed endpoints, as known to the sender from all processes. Sent with each
/// state, in datagrams of their own, because a state with them would not fit into a packet.
struct quarantine_update {
    instance_id process;
    std::uint64_t start = 0;
    std::vector<admission::quarantine_record> crashes;

    bool operator==(const quarantine_update&) const = default;
};

/// Maximum number of records in a `quarantine_update`, so that it fits into a packet.
inline constexpr std::size_t maximum_quarantine_records_per_message = 10;

/// Splits records into messages that each fit into a packet.
[[nodiscard]] std::vector<quarantine_update>
quarantine_updates(const instance_id& process, std::uint64_t start,
                   const std::vector<admission::quarantine_record>& crashes);

[[nodiscard]] std::string encode(const quarantine_update& update);

} // namespace siskinwharf::exchange

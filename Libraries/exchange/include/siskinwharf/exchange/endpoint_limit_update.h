#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/dispatch/endpoint_constraints.h"

namespace siskinwharf::exchange {

/// What endpoints said lately of the requests that they take.
struct endpoint_limit_update {
    instance_id process;
    std::uint64_t start = 0;
    std::vector<dispatch::endpoint_limit> limits; ///< Rates in steps of 0.001 a second.

    bool operator==(const endpoint_limit_update&) const = default;
};

/// Maximum number of limits in an `endpoint_limit_update`, so that it fits into a packet.
inline constexpr std::size_t maximum_limits_per_message = 32;

/// Splits limits into messages that each fit into a packet.
[[nodiscard]] std::vector<endpoint_limit_update>
endpoint_limit_updates(const instance_id& process, std::uint64_t start,
                       const std::vector<dispatch::endpoint_limit>& limits);

[[nodiscard]] std::string encode(const endpoint_limit_update& update);

} // namespace siskinwharf::exchange

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "siskinwharf/base/time.h"

namespace siskinwharf::control {

/// Since when, at least, an instance has made no call under the lease.
struct caller_age {
    std::string instance; ///< Empty if it is unknown which instances made calls.
    /// At the time of the write. Negative if a call without a response may still arrive.
    milliseconds age{0};

    auto operator<=>(const caller_age&) const = default;
};

/// Value of the table row `lease/<failure domain>`. An empty holder marks a released lease; its record stays
/// in the table so that the fencing token never decreases.
struct lease_record {
    std::string holder;        ///< `<instance>#<start>`, see `instance_of`.
    std::uint64_t fencing = 0; ///< Fencing token; increases by one with each new holder.
    std::uint64_t attempt = 0; ///< Number of the holder's write, by which it recognizes its own writes.
    /// The instances that made the last calls, without the calls that `holder` has made since it became the
    /// holder. An instance that is missing has made none within the duration of the lease.
    std::vector<caller_age> callers{};

    auto operator<=>(const lease_record&) const = default;
};

/// Returns the name of the instance on which a holder runs: the part of its name before the last `#`.
[[nodiscard]] std::string instance_of(std::string_view holder);

/// Encodes the record as `<fencing> <attempt> <holder>` and a line `<age in milliseconds> <instance>` for
/// each caller.
[[nodiscard]] std::string encode(const lease_record& record);

/// Decodes a value that `encode` has produced. Returns nothing if the first line is malformed. A value
/// without callers, as software before this field wrote it, or with malformed ones yields one of unknown
/// instance.
[[nodiscard]] std::optional<lease_record> decode_lease_record(std::string_view value);

} // namespace siskinwharf::control

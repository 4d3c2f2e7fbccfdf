#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinwharf::control {

/// Value of the table row `lease/<failure domain>`. An empty holder marks a released lease; its record stays
/// in the table so that the fencing token never decreases.
struct lease_record {
    std::string holder;
    std::uint64_t fencing = 0; ///< Fencing token; increases by one with each new holder.
    std::uint64_t attempt = 0; ///< Number of the holder's write, by which it recognizes its own writes.

    auto operator<=>(const lease_record&) const = default;
};

/// Encodes the record as `<fencing> <attempt> <holder>`.
[[nodiscard]] std::string encode(const lease_record& record);

/// Decodes a value that `encode` has produced. Returns nothing for a malformed one.
[[nodiscard]] std::optional<lease_record> decode_lease_record(std::string_view value);

} // namespace siskinwharf::control

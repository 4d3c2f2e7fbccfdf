#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinwharf::control {

/// Value of the table row `lease/<failure domain>`. A record without a holder was released; it stays in the
/// table so that the fencing token never falls.
struct lease_record {
    std::string holder;
    std::uint64_t fencing = 0; ///< Rises by one with each new holder.
    std::uint64_t attempt = 0; ///< Number of the holder's write, by which it recognises a write of its own.

    auto operator<=>(const lease_record&) const = default;
};

/// `<fencing> <attempt> <holder>`
[[nodiscard]] std::string encode(const lease_record& record);

/// Returns nothing for a value that `encode` does not produce.
[[nodiscard]] std::optional<lease_record> decode_lease_record(std::string_view value);

} // namespace siskinwharf::control

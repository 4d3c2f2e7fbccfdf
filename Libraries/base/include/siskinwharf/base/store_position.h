#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace siskinwharf {

/// A point in the history of the platform's store. When the store is restored from an older copy, its era
/// rises and it assigns versions again, so versions of two eras cannot be compared. Positions are ordered by
/// era, then by version.
struct store_position {
    std::uint64_t era = 0; ///< 0 if the store names none.
    std::uint64_t version = 0;

    auto operator<=>(const store_position&) const = default;
};

/// Identifies the content of a configuration: the version that its operators gave it, and the newest era of
/// the store in which it was read. Operators may give one version to two contents, if the store lost the
/// first.
struct configuration_position {
    std::uint64_t version = 0; ///< 0: none.
    std::uint64_t era = 0;

    auto operator<=>(const configuration_position&) const = default;
};

/// `<era>:<version>`, for log lines.
[[nodiscard]] inline std::string to_string(const store_position& position)
{
    return std::to_string(position.era) + ":" + std::to_string(position.version);
}

} // namespace siskinwharf

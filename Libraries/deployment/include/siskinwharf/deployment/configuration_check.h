#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "siskinwharf/deployment/snapshot.h"

namespace siskinwharf::deployment {

/// What is wrong with an entry of a configuration.
enum class configuration_fault {
    duplicate_name,  ///< Two services or accounts have one name; only one of them is used.
    duplicate_key,   ///< Two accounts hold one key; it counts for one of them.
    unknown_service, ///< A route leads to a service that the configuration lacks: its requests are refused.
    never_matches,   ///< No request or caller can ever match the entry.
    contradicts_limits, ///< Two limits of the entry cannot both take effect.
    older_version,      ///< The version is not above the one in force, so processes ignore the configuration.
};

[[nodiscard]] std::string_view to_string(configuration_fault fault);

/// One fault of a configuration.
struct configuration_finding {
    configuration_fault fault = configuration_fault::never_matches;
    std::string entry;  ///< Kind and name of the entry, such as `route "orders"`.
    std::string detail; ///< What is wrong with it.

    auto operator<=>(const configuration_finding&) const = default;
};

/// Returns the faults of a configuration that could be decoded: entries that never match, and limits that
/// contradict each other. Keys are not part of the texts.
[[nodiscard]] std::vector<configuration_finding> check_configuration(const snapshot_content& content);

/// Returns the fault of a version that does not replace the one in force, or nothing.
[[nodiscard]] std::vector<configuration_finding> check_succession(const snapshot_content& next,
                                                                  const snapshot_content& in_force);

} // namespace siskinwharf::deployment

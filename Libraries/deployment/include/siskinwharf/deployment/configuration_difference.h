#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "siskinwharf/deployment/snapshot.h"

namespace siskinwharf::deployment {

enum class change_kind { added, removed, changed };

[[nodiscard]] std::string_view to_string(change_kind kind);

/// An entry that differs between two versions of a configuration.
struct configuration_change {
    change_kind kind = change_kind::changed;
    std::string entry;               ///< Kind and name of the entry, such as `service "orders"`.
    std::vector<std::string> fields; ///< Names of what changed; empty for an entry that was added or removed.

    auto operator<=>(const configuration_change&) const = default;
};

/// Returns what differs between two versions: routes, services, accounts, then limits and access. Routes are
/// compared by host and path prefix, services and accounts by name. Values are not part of the texts, because
/// some are keys.
[[nodiscard]] std::vector<configuration_change> find_changes(const snapshot_content& before,
                                                             const snapshot_content& after);

} // namespace siskinwharf::deployment

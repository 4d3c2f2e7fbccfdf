#pragma once

#include <optional>
#include <string>
#include <vector>

#include "siskinwharf/routing/routing_table.h"

namespace siskinwharf::entry {

/// What is known of a request when its version is chosen.
struct version_question {
    const model_id& model;
    const std::vector<std::string>& versions; ///< That may serve it, the preferred one first.
    const failure_domain_id& domain;          ///< Of the entry process.
    const std::vector<endpoint_id>& excluded;
};

/// The version with the most free slots in the own failure domain, then elsewhere. If no endpoint takes work
/// for any of the versions, another version of the model that an endpoint serves: after several changes in
/// quick succession endpoints may still have an older one. Nothing if no endpoint of the model takes work.
[[nodiscard]] std::optional<std::string> choose_version(const routing::routing_table& table,
                                                        const version_question& question);

/// Whether an endpoint in any state has the version.
[[nodiscard]] bool is_served(const routing::routing_table& table, const routing::model_target& target);

} // namespace siskinwharf::entry

#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "siskinwharf/base/identifier.h"

namespace siskinwharf::membership {

/// The member that does a piece of work, by rendezvous hash: all processes with the same members agree
/// without a message, and only the work of a departed member moves. Nothing if there are no members.
[[nodiscard]] std::optional<instance_id> work_owner(std::string_view work,
                                                    const std::vector<instance_id>& members);

/// The member that polls the load of an endpoint.
[[nodiscard]] std::optional<instance_id> polling_owner(const endpoint_id& endpoint,
                                                       const std::vector<instance_id>& members);

/// The endpoints that `self` polls, in their given order.
[[nodiscard]] std::vector<endpoint_id> polled_endpoints(const instance_id& self,
                                                        const std::vector<instance_id>& members,
                                                        const std::vector<endpoint_id>& endpoints);

} // namespace siskinwharf::membership

#pragma once

#include <optional>
#include <vector>

#include "siskinwharf/base/identifier.h"

namespace siskinwharf::membership {

/// The member that polls the load of an endpoint, by rendezvous hash: all processes with the same members
/// agree without a message, and only the endpoints of a departed member move. Nothing if there are no
/// members.
[[nodiscard]] std::optional<instance_id> polling_owner(const endpoint_id& endpoint,
                                                       const std::vector<instance_id>& members);

/// The endpoints that `self` polls, in their given order.
[[nodiscard]] std::vector<endpoint_id> polled_endpoints(const instance_id& self,
                                                        const std::vector<instance_id>& members,
                                                        const std::vector<endpoint_id>& endpoints);

} // namespace siskinwharf::membership

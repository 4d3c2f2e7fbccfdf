#pragma once

#include <string_view>
#include <vector>

#include "siskinwharf/cloud/instance_list.h"

namespace siskinwharf::cloud {

/// Decodes the body of the instance list. Throws `boost::system::system_error` for a malformed body.
[[nodiscard]] std::vector<instance_record> decode_instances(std::string_view body);

} // namespace siskinwharf::cloud

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "siskinwharf/cloud/cloud_api.h"

namespace siskinwharf::cloud {

/// Encodes the JSON body of a start request.
[[nodiscard]] std::string encode_start(const start_request& wanted);
/// The `decode_` functions throw an exception derived from `std::exception` for a malformed body.
[[nodiscard]] std::vector<cloud_offer> decode_offers(std::string_view body);
[[nodiscard]] cloud_instance decode_cloud_instance(std::string_view body);
[[nodiscard]] std::vector<cloud_instance> decode_cloud_instances(std::string_view body);
[[nodiscard]] notice_page decode_notices(std::string_view body);
/// Returns the `error` member of the body of a rejected request.
[[nodiscard]] std::string decode_error_name(std::string_view body);

} // namespace siskinwharf::cloud

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "siskinwharf/cloud/cloud_api.h"

namespace siskinwharf::cloud {

/// Encodes the JSON body of a start request.
[[nodiscard]] std::string encode_start(const start_request& request);
/// Decodes the list of offers. Throws an exception derived from `std::exception` for a malformed body.
[[nodiscard]] std::vector<cloud_offer> decode_offers(std::string_view body);
/// Decodes one instance. Throws an exception derived from `std::exception` for a malformed body.
[[nodiscard]] cloud_instance decode_cloud_instance(std::string_view body);
/// Decodes the list of instances. Throws an exception derived from `std::exception` for a malformed body.
[[nodiscard]] std::vector<cloud_instance> decode_cloud_instances(std::string_view body);
/// Decodes reclaim notices. Throws an exception derived from `std::exception` for a malformed body.
[[nodiscard]] notice_page decode_notices(std::string_view body);
/// Returns the `error` member of the body of a rejected request. Throws an exception derived from
/// `std::exception` for a malformed body.
[[nodiscard]] std::string decode_error_name(std::string_view body);

} // namespace siskinwharf::cloud

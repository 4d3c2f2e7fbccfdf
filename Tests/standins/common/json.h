#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "http_exchange.h"

namespace siskinwharf::standins {

/// Parses a JSON object. An empty body is an empty object. Throws `bad_request`.
[[nodiscard]] boost::json::object parse_object(std::string_view text);

/// Members of an object, with a value for a missing or null member. Throw `bad_request` on a wrong type.
[[nodiscard]] std::string string_member(const boost::json::object& object, std::string_view name,
                                        std::string otherwise = {});
[[nodiscard]] std::int64_t integer_member(const boost::json::object& object, std::string_view name,
                                          std::int64_t otherwise = 0);
[[nodiscard]] double number_member(const boost::json::object& object, std::string_view name,
                                   double otherwise = 0);
[[nodiscard]] bool boolean_member(const boost::json::object& object, std::string_view name,
                                  bool otherwise = false);
[[nodiscard]] boost::json::array array_member(const boost::json::object& object, std::string_view name);
[[nodiscard]] std::vector<std::string> strings_member(const boost::json::object& object,
                                                      std::string_view name);
/// The objects of an array.
[[nodiscard]] std::vector<boost::json::object> objects_member(const boost::json::object& object,
                                                              std::string_view name);
[[nodiscard]] boost::json::object object_member(const boost::json::object& object, std::string_view name);

[[nodiscard]] http_response json_response(unsigned status, const boost::json::value& body);
/// A response `{"error":type}`.
[[nodiscard]] http_response error_response(unsigned status, std::string_view type);

} // namespace siskinwharf::standins

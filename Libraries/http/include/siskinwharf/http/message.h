#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinwharf::http {

/// One header field. Names compare without regard to case.
struct header_field {
    std::string name;
    std::string value;

    auto operator<=>(const header_field&) const = default;
};

/// A request with its whole body, as the front end hands it to a handler.
struct request {
    std::string method;
    std::string path;  ///< Without the query.
    std::string query; ///< Without the question mark.
    std::vector<header_field> headers;
    std::string body;
    bool has_empty_query = false; ///< The target ends with a question mark.

    /// Path and query as they are sent.
    [[nodiscard]] std::string target() const;
    /// Returns the value of the first header of this name.
    [[nodiscard]] std::optional<std::string_view> find_header(std::string_view name) const;
    /// Returns the percent-decoded value of a query parameter.
    [[nodiscard]] std::optional<std::string> find_parameter(std::string_view name) const;
};

/// A response with its whole body.
struct response {
    int status = 200;
    std::vector<header_field> headers;
    std::string body;

    [[nodiscard]] std::optional<std::string_view> find_header(std::string_view name) const;
};

/// Names of headers are compared without regard to case.
[[nodiscard]] bool equal_ignoring_case(std::string_view left, std::string_view right);

/// A JSON response with the content type set.
[[nodiscard]] response json_response(int status, std::string body);

/// Percent-encodes a value for use in a query or as one path segment.
[[nodiscard]] std::string percent_encode(std::string_view value);

/// An IP address and port.
struct address {
    std::string ip;
    unsigned short port = 0;

    auto operator<=>(const address&) const = default;
};

} // namespace siskinwharf::http

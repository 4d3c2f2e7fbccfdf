#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>

namespace siskinwharf::claims {

/// Largest body in bytes that a claim's row keeps. A row that holds text of this size in JSON stays below the
/// 64 KiB that common table services accept for one row, also when each byte is escaped or encoded.
inline constexpr std::size_t maximum_stored_body = std::size_t{8} * 1024;

/// The response of a finished call as resends get it. Without a body only status and digest are known.
struct stored_response {
    unsigned status = 0; ///< HTTP status code.
    std::string content_type;
    std::string digest; ///< SHA-256 of the body in hexadecimal digits.
    std::optional<std::string> body;

    auto operator<=>(const stored_response&) const = default;
};

/// Returns the response to store. The body is dropped if it has more than `maximum_stored_body` bytes, and
/// the content type if it has more than 256.
[[nodiscard]] stored_response make_stored_response(unsigned status, std::string content_type,
                                                   std::string body);

} // namespace siskinwharf::claims

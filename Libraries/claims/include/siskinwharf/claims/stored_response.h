#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>

namespace siskinwharf::claims {

/// Maximum size in bytes of a body that is stored in a claim's row. A JSON row with a body of this size stays
/// below the 64 KiB that common table services accept for one row, even if each byte is escaped or
/// hex-encoded.
inline constexpr std::size_t maximum_stored_body = std::size_t{8} * 1024;

/// The response of a completed call, returned to later resends of the call. If the body was not stored, only
/// the status and the digest are known.
struct stored_response {
    unsigned status = 0; ///< HTTP status code.
    std::string content_type;
    std::string digest; ///< SHA-256 of the body in hexadecimal digits.
    std::optional<std::string> body;

    auto operator<=>(const stored_response&) const = default;
};

/// Returns the response to store. The body is dropped if it is larger than `maximum_stored_body` bytes. The
/// content type is dropped if it is longer than 256 bytes or not ASCII.
[[nodiscard]] stored_response make_stored_response(unsigned status, std::string content_type,
                                                   std::string body);

} // namespace siskinwharf::claims

#pragma once

#include <set>
#include <string>
#include <string_view>

#include "siskinwharf/claims/claim_identity.h"

namespace siskinwharf::claims {

/// Most attempts that one token names. Bounds the request header to about 1.5 KB.
inline constexpr std::size_t maximum_released_attempts = 16;

/// Returns a token which states that none of these attempts has sent or will ever send: comma-separated parts
/// `v1:<attempt>:<HMAC-SHA-256>`. Of more than `maximum_released_attempts` attempts, those in `required` are
/// kept first. Empty if there are no attempts.
[[nodiscard]] std::string sign_release(std::string_view signing_key, const claim_identity& identity,
                                       const std::set<attempt_number>& attempts,
                                       const std::set<attempt_number>& required);

/// Returns the attempts that a token releases for this call. A part that is malformed or whose signature does
/// not match releases nothing; parts after the first `maximum_released_attempts` are not read.
[[nodiscard]] std::set<attempt_number> verify_release(std::string_view signing_key,
                                                      const claim_identity& identity, std::string_view token);

} // namespace siskinwharf::claims
